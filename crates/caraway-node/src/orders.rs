//! How a [`Node`] orders loads and unloads and learns their ends.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use caraway_members::Permission;
use caraway_slots::{Load, LoadState, Snapshot, SnapshotLoad};
use caraway_types::{AccountId, AdapterRef, EndpointId, LoadName, Reason, Refusal, Ticket};

use crate::{
    EngineReport, LoadResult, Node, Output,
    engine::{Engine, load_fence, load_name},
};

/// An engine that had no free slot gets no load for this time.
const FULL_PAUSE: Duration = Duration::from_millis(500);
/// Failures in a row after which requests that wait for the load are refused.
const MAX_FAILURES: u32 = 4;
/// A group whose adapter is resident, but whose batch is full, waits this long for a copy.
const COPY_WAIT: Duration = Duration::from_secs(1);
/// Share of the slots that one account's adapters may take before they are evicted first.
const FAIR_SLOTS: f64 = 0.25;
/// What remains of the cost of evicting an adapter of an account that takes more.
const CROWDING_PART: f64 = 0.05;
/// Costs that are told to peers.
const ROOM_DEPTH: usize = 6;

/// A load that could be evicted.
struct Victim<'a> {
    cost: f64,
    endpoint: &'a EndpointId,
    load: &'a LoadName,
}

impl Node {
    pub(crate) fn on_loaded(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        result: LoadResult,
        out: &mut Vec<Output>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.orders = engine.orders.saturating_sub(1);
        let known = engine.replica.get(load).is_some();
        match result {
            LoadResult::Resident => {
                engine.replica.mark_resident(now, load);
                self.members.on_fence(now, endpoint, load_fence(load));
                if let Some(adapter) = self.adapter_of(endpoint, load) {
                    self.backoffs.record_success(&adapter, endpoint);
                }
                self.fill_batch(now, endpoint, out);
            }
            LoadResult::Unknown => engine.replica.mark_in_doubt(now, load),
            LoadResult::SlotsFull | LoadResult::Stale(_) => {
                engine.blocked = Some(now + FULL_PAUSE);
                if let LoadResult::Stale(fence) = result {
                    self.members.on_fence(now, endpoint, fence);
                }
                self.drop_load(now, endpoint, load);
            }
            LoadResult::Failed if known => self.fail_load(now, endpoint, load, out),
            LoadResult::Failed => {}
        }
    }

    fn adapter_of(&self, endpoint: &EndpointId, load: &str) -> Option<AdapterRef> {
        let load = self.engines.get(endpoint)?.replica.get(load)?;
        Some(load.adapter.clone())
    }

    /// Frees the slot of a load that certainly is not on the engine.
    fn drop_load(&mut self, now: Instant, endpoint: &EndpointId, load: &str) -> Option<Load> {
        let engine = self.engines.get_mut(endpoint)?;
        let lost = engine.replica.remove(now, load)?;
        if engine.fence.is_some() {
            self.note_change(endpoint, &lost.adapter, false);
        }
        Some(lost)
    }

    fn fail_load(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        out: &mut Vec<Output>,
    ) {
        let Some(lost) = self.drop_load(now, endpoint, load) else {
            return;
        };
        let wait = self.backoffs.record_failure(now, &lost.adapter, endpoint);
        if self.backoffs.failure_count(&lost.adapter, endpoint) < MAX_FAILURES {
            return;
        }
        let group = self.waiting.group(&lost.adapter);
        let tickets: Vec<Ticket> = group.iter().map(|w| w.ticket).collect();
        for ticket in tickets {
            let detail = "the adapter could not be loaded";
            let refusal = Refusal::not_run(Reason::LoadFailed, detail).with_retry_after(wait);
            self.refuse(ticket, refusal, out);
        }
    }

    pub(crate) fn on_unloaded(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        done: bool,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.orders = engine.orders.saturating_sub(1);
        if done {
            engine.replica.remove(now, load);
        } else {
            engine.replica.mark_in_doubt(now, load);
        }
    }

    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        report: &EngineReport,
        out: &mut Vec<Output>,
    ) {
        self.members.on_answer(now, endpoint, true);
        self.members.on_fence(now, endpoint, report.max_fence);
        for resident in &report.residents {
            self.members
                .on_fence(now, endpoint, load_fence(&resident.name));
        }
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        if engine.fence.is_none() {
            return;
        }
        engine.reported = true;
        let changes = engine.replica.apply_snapshot(now, &report.snapshot());
        for (_, adapter) in &changes.removed {
            self.note_change(endpoint, adapter, false);
        }
        for load in &changes.resident {
            if let Some(adapter) = self.adapter_of(endpoint, load) {
                self.note_change(endpoint, &adapter, true);
            }
        }
        if !changes.resident.is_empty() {
            self.fill_batch(now, endpoint, out);
        }
    }

    /// Orders loads for the most urgent groups, as far as permits, places and slots allow.
    pub(crate) fn order_loads(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.waiting.total() == 0 {
            self.give_back(now, 0);
            return;
        }
        let mut groups = self.wanted_loads(now);
        let mut places = self.free_places();
        let mut unloading: usize = self.engines.values().map(Engine::unloading).sum();
        while places > 0 && !groups.is_empty() && self.budget.available(now) > unloading {
            let adapter = groups[0].1.clone();
            if let Some(endpoint) = self.free_slot(now, &adapter) {
                self.order_load(now, &endpoint, &adapter, out);
                places -= 1;
                groups.remove(0);
            } else if self.order_unload(now, &adapter, out) {
                unloading += 1;
                places -= 1;
                groups.remove(0);
            } else {
                groups.remove(0);
            }
        }
        let needed = groups.len().min(places as usize) + unloading;
        self.give_back(now, needed);
        let scores = groups.iter().take(places as usize);
        let scores: Vec<f32> = scores.map(|(s, _)| narrow(*s)).collect();
        self.want(now, scores);
    }

    /// Returns the groups that need a load, the most urgent first.
    pub(crate) fn wanted_loads(&self, now: Instant) -> Vec<(f64, AdapterRef)> {
        let mut groups: Vec<(f64, AdapterRef)> = self
            .waiting
            .adapters()
            .filter(|a| self.needs_load(now, a))
            .map(|a| (self.waiting.score(now, a), a.clone()))
            .collect();
        groups.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        groups
    }

    /// Tells whether a group needs a load: nothing of the adapter version is resident or on its
    /// way, or all batches where it is resident are full for a while.
    fn needs_load(&self, now: Instant, adapter: &AdapterRef) -> bool {
        let mut resident = false;
        for (id, engine) in &self.engines {
            let Some(name) = engine.replica.expected(adapter) else {
                continue;
            };
            let state = engine.replica.get(name).map(|l| l.state);
            if !self.is_usable(now, id, name) {
                continue;
            }
            if state != Some(LoadState::Resident) || engine.has_place() {
                return false;
            }
            resident = true;
        }
        let group = self.waiting.group(adapter);
        let waited = |w: &caraway_routing::PendingRequest| {
            now.saturating_duration_since(w.since) > COPY_WAIT
        };
        !resident || group.len() > 1 && group.iter().any(waited)
    }

    fn free_places(&self) -> u32 {
        let used: u32 = self.engines.values().map(Engine::in_transit).sum();
        let unloading: usize = self.engines.values().map(Engine::unloading).sum();
        let unloading = u32::try_from(unloading).unwrap_or(u32::MAX);
        self.budget
            .max_in_transit()
            .saturating_sub(used.saturating_add(unloading))
    }

    fn may_load(&self, now: Instant, endpoint: &EndpointId, adapter: &AdapterRef) -> bool {
        let engine = self.engines.get(endpoint);
        engine.is_some_and(|e| e.may_load(now) && e.replica.expected(adapter).is_none())
            && self.members.permission(now, endpoint) >= Permission::Fill
            && self.members.accepts_work(now, endpoint)
            && self.backoffs.allows(now, adapter, endpoint)
    }

    fn free_slot(&self, now: Instant, adapter: &AdapterRef) -> Option<EndpointId> {
        self.engines
            .iter()
            .filter(|(id, e)| e.replica.free() > 0 && self.may_load(now, id, adapter))
            .max_by_key(|(_, e)| e.batch())
            .map(|(id, _)| id.clone())
    }

    fn order_load(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        adapter: &AdapterRef,
        out: &mut Vec<Output>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let Some(fence) = engine.fence else {
            return;
        };
        let Some(lender) = self.budget.use_permit(now) else {
            return;
        };
        if let Some((owner, back)) = lender {
            self.message(&owner).returns.push(back);
        }
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        self.loads += 1;
        let load = load_name(adapter, fence, self.loads);
        engine
            .replica
            .start_load(now, load.clone(), adapter.clone());
        engine.orders += 1;
        self.waiting.charge(now, adapter);
        self.note_change(endpoint, adapter, true);
        out.push(Output::Load {
            endpoint: endpoint.clone(),
            load,
            adapter: adapter.clone(),
            fence,
        });
    }

    /// Orders the unload of the cheapest load that may be evicted for an adapter version.
    fn order_unload(&mut self, now: Instant, adapter: &AdapterRef, out: &mut Vec<Output>) -> bool {
        let victims = self.victims(now);
        let open = |v: &&Victim<'_>| self.may_load(now, v.endpoint, adapter);
        let least = victims.iter().find(open).map_or(0.0, |v| v.cost);
        let limit = self.cheap_limit(least);
        let cheap = victims.iter().filter(open).filter(|v| v.cost <= limit);
        let chosen = cheap
            .min_by_key(|v| std::cmp::Reverse(self.engines[v.endpoint].batch()))
            .map(|v| (v.endpoint.clone(), v.load.clone()));
        let Some((endpoint, load)) = chosen else {
            return false;
        };
        let lost = self.adapter_of(&endpoint, &load);
        let Some(engine) = self.engines.get_mut(&endpoint) else {
            return false;
        };
        let Some(fence) = engine.fence else {
            return false;
        };
        if !engine.replica.start_unload(now, &load) {
            return false;
        }
        engine.orders += 1;
        if let Some(adapter) = lost {
            self.note_change(&endpoint, &adapter, false);
        }
        out.push(Output::Unload {
            endpoint,
            load,
            fence,
        });
        true
    }

    /// Returns the loads that may be evicted, the cheapest first.
    ///
    /// A load of an earlier holder must have been idle for so long that the earlier holder does
    /// not start requests on it any more, should it still live; see [`Members::idle_limit`].
    ///
    /// [`Members::idle_limit`]: caraway_members::Members::idle_limit
    fn victims(&self, now: Instant) -> Vec<Victim<'_>> {
        let crowding = self.crowding_accounts();
        let mut victims = Vec::new();
        for (endpoint, engine) in &self.engines {
            if engine.fence.is_none() || self.members.permission(now, endpoint) != Permission::Full
            {
                continue;
            }
            let cleared = self.members.may_evict_inherited(now, endpoint);
            for (name, load) in engine.replica.loads() {
                let idle = now.saturating_duration_since(load.last_used);
                let forsaken = cleared && idle >= self.settings.members.idle.get();
                if load.is_idle() && (load.ordered_here || forsaken) {
                    let crowds = load.account.as_ref().is_some_and(|a| crowding.contains(a));
                    let part = if crowds { CROWDING_PART } else { 1.0 };
                    victims.push(Victim {
                        cost: self.cost(now, &load.adapter) * part,
                        endpoint,
                        load: name,
                    });
                }
            }
        }
        victims.sort_by(|a, b| {
            let cost = a.cost.total_cmp(&b.cost);
            cost.then_with(|| (a.endpoint, a.load).cmp(&(b.endpoint, b.load)))
        });
        victims
    }

    /// Returns the accounts whose adapters take more than a fair share of the slots here.
    fn crowding_accounts(&self) -> BTreeSet<&AccountId> {
        let held = self.engines.values().filter(|e| e.fence.is_some());
        let loads = held.clone().flat_map(|e| e.replica.loads());
        let mut slots: BTreeMap<&AccountId, u32> = BTreeMap::new();
        for account in loads.filter_map(|(_, l)| l.account.as_ref()) {
            *slots.entry(account).or_default() += 1;
        }
        let all: u32 = held.map(|e| e.replica.slots()).sum();
        let limit = (f64::from(all) * FAIR_SLOTS).max(1.0);
        let over = slots.into_iter().filter(|(_, n)| f64::from(*n) > limit);
        over.map(|(account, _)| account).collect()
    }

    /// Returns what evicting an adapter version costs: how often it is asked for, by copies.
    fn cost(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let here = |e: &&Engine| e.fence.is_some() && e.replica.resident(adapter).is_some();
        let copies = self.engines.values().filter(here).count();
        let elsewhere = self.directory.find(adapter).len();
        let copies = u32::try_from(copies + elsewhere).unwrap_or(1).max(1);
        self.popularity.rate(now, adapter) / f64::from(copies)
    }

    /// Returns what further loads here would cost, the cheapest first, after those that already
    /// wait.
    pub(crate) fn room_costs(&self, now: Instant) -> Vec<f32> {
        let free = |(id, e): (&EndpointId, &Engine)| {
            let open = e.may_load(now) && self.members.permission(now, id) >= Permission::Fill;
            if open { e.replica.free() as usize } else { 0 }
        };
        let free: usize = self.engines.iter().map(free).sum();
        let waiting = self.wanted_loads(now).len();
        let costs = self.victims(now);
        let costs = costs.into_iter().map(|v| narrow(v.cost));
        std::iter::repeat_n(0.0, free)
            .chain(costs)
            .skip(waiting)
            .take(ROOM_DEPTH)
            .collect()
    }

    /// Returns what one more load here would cost.
    pub(crate) fn room_cost(&self, now: Instant) -> f64 {
        let costs = self.room_costs(now);
        costs.first().map_or(f64::INFINITY, |c| f64::from(*c))
    }
}

impl EngineReport {
    fn snapshot(&self) -> Snapshot {
        let seen = |r: &crate::ReportedLoad| SnapshotLoad {
            name: r.name.clone(),
            adapter: r.adapter.clone(),
            running: r.running,
        };
        Snapshot {
            incarnation: self.incarnation,
            slots: self.slots,
            loads: self.residents.iter().map(seen).collect(),
        }
    }
}

#[expect(clippy::cast_possible_truncation, reason = "a score needs few digits")]
pub(crate) fn narrow(value: f64) -> f32 {
    value as f32
}
