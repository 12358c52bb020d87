//! Loads and unloads that a [`Node`] orders on its engines, their results, and engine reports.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use caraway_members::Permission;
use caraway_slots::{Load, LoadState, SlotLoad, SlotReport};
use caraway_types::{AccountId, AdapterRef, EndpointId, LoadName, Reason, Refusal, Ticket};

use crate::{
    EngineReport, LoadResult, Node, Output,
    engine::{Engine, load_fence, load_name},
};

/// Time without further loads after an engine refused one for lack of a free slot or for a stale
/// fencing token.
const SLOTS_FULL_BACKOFF: Duration = Duration::from_millis(500);
/// Number of consecutive failures of a load at which the requests that wait for it are refused.
const MAX_LOAD_FAILURES: u32 = 4;
/// Waiting time after which an adapter version that is resident only on engines with full batches
/// is loaded on one more engine.
const COPY_DELAY: Duration = Duration::from_secs(1);
/// Fraction of the slots above which an account's adapters are preferred for eviction.
const FAIR_SLOT_SHARE: f64 = 0.25;
/// Factor on the eviction cost of adapters of an account above its [`FAIR_SLOT_SHARE`].
const OVER_SHARE_COST_FACTOR: f64 = 0.05;
/// Maximum number of costs in a capacity report.
const MAX_REPORTED_COSTS: usize = 6;

/// A load that may be evicted.
struct EvictionCandidate<'a> {
    /// Requests per second that the eviction affects; see [`Node::eviction_cost`].
    cost: f64,
    endpoint: &'a EndpointId,
    load: &'a LoadName,
}

impl Node {
    /// Handles the result of a load order.
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
        engine.open_orders = engine.open_orders.saturating_sub(1);
        let is_known = engine.replica.get(load).is_some();
        match result {
            LoadResult::Resident => {
                engine.replica.mark_resident(now, load);
                self.members.on_fence(now, endpoint, load_fence(load));
                if let Some(adapter) = self.load_adapter(endpoint, load) {
                    self.load_backoffs.record_success(&adapter, endpoint);
                }
                self.fill_batch(now, endpoint, out);
            }
            LoadResult::Unknown => engine.replica.mark_in_doubt(now, load),
            LoadResult::SlotsFull | LoadResult::Stale(_) => {
                engine.blocked_until = Some(now + SLOTS_FULL_BACKOFF);
                if let LoadResult::Stale(fence) = result {
                    self.members.on_fence(now, endpoint, fence);
                }
                self.remove_load(now, endpoint, load);
            }
            LoadResult::Failed if is_known => self.on_load_failed(now, endpoint, load, out),
            LoadResult::Failed => {}
        }
    }

    /// Returns the adapter version of a load.
    fn load_adapter(&self, endpoint: &EndpointId, load: &str) -> Option<AdapterRef> {
        let load = self.engines.get(endpoint)?.replica.get(load)?;
        Some(load.adapter.clone())
    }

    /// Frees the slot of a load that is certainly not on the engine, and returns the load.
    fn remove_load(&mut self, now: Instant, endpoint: &EndpointId, load: &str) -> Option<Load> {
        let engine = self.engines.get_mut(endpoint)?;
        let removed = engine.replica.remove(now, load)?;
        if engine.is_held() {
            self.record_change(endpoint, &removed.adapter, false);
        }
        Some(removed)
    }

    /// Delays the retry of a failed load, and refuses its requests after too many failures.
    fn on_load_failed(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        out: &mut Vec<Output>,
    ) {
        let Some(failed) = self.remove_load(now, endpoint, load) else {
            return;
        };
        let backoff = self
            .load_backoffs
            .record_failure(now, &failed.adapter, endpoint);
        if self.load_backoffs.failure_count(&failed.adapter, endpoint) < MAX_LOAD_FAILURES {
            return;
        }
        let group = self.pending.group(&failed.adapter);
        let tickets: Vec<Ticket> = group.iter().map(|r| r.ticket).collect();
        for ticket in tickets {
            let detail = "the adapter could not be loaded";
            let refusal = Refusal::not_run(Reason::LoadFailed, detail).with_retry_after(backoff);
            self.refuse(ticket, refusal, out);
        }
    }

    /// Handles the result of an unload order. Without a confirmation the load may still be
    /// resident.
    pub(crate) fn on_unloaded(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        load: &LoadName,
        confirmed: bool,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.open_orders = engine.open_orders.saturating_sub(1);
        if confirmed {
            engine.replica.remove(now, load);
        } else {
            engine.replica.mark_in_doubt(now, load);
        }
    }

    /// Handles an engine's report: records the fencing tokens in it, and on a held replica updates
    /// the slots and starts requests on loads that became resident.
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
        let changes = engine.replica.apply_report(now, &report.to_snapshot());
        for (_, adapter) in &changes.removed {
            self.record_change(endpoint, adapter, false);
        }
        for load in &changes.resident {
            if let Some(adapter) = self.load_adapter(endpoint, load) {
                self.record_change(endpoint, &adapter, true);
            }
        }
        if !changes.resident.is_empty() {
            self.fill_batch(now, endpoint, out);
        }
    }

    /// Orders loads for the most urgent groups, as far as permits, transit capacity and slots
    /// allow, and requests permits for the remaining ones.
    ///
    /// For a group without a free slot, an unload is ordered; its load follows once the slot is
    /// free, and a permit is kept for it.
    pub(crate) fn order_loads(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.pending.total() == 0 {
            self.return_permits(now, 0);
            return;
        }
        let mut groups = self.groups_to_load(now);
        let mut capacity = self.transit_capacity();
        let mut unloading: usize = self.engines.values().map(Engine::unloading_count).sum();
        while capacity > 0 && !groups.is_empty() && self.load_budget.available(now) > unloading {
            let adapter = groups[0].1.clone();
            if let Some(endpoint) = self.engine_with_free_slot(now, &adapter) {
                self.order_load(now, &endpoint, &adapter, out);
                capacity -= 1;
                groups.remove(0);
            } else if self.order_unload(now, &adapter, out) {
                unloading += 1;
                capacity -= 1;
                groups.remove(0);
            } else {
                groups.remove(0);
            }
        }
        let needed = groups.len().min(capacity as usize) + unloading;
        self.return_permits(now, needed);
        let scores = groups.iter().take(capacity as usize);
        let scores: Vec<f32> = scores.map(|(s, _)| to_f32(*s)).collect();
        self.request_permits(now, scores);
    }

    /// Returns the scores and adapter versions of the groups that need a load, most urgent first.
    pub(crate) fn groups_to_load(&self, now: Instant) -> Vec<(f64, AdapterRef)> {
        let mut groups: Vec<(f64, AdapterRef)> = self
            .pending
            .adapters()
            .filter(|a| self.needs_load(now, a))
            .map(|a| (self.pending.score(now, a), a.clone()))
            .collect();
        groups.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        groups
    }

    /// Returns whether a group of pending requests needs a load: the adapter version is neither
    /// resident, loading nor in doubt on a usable engine, or all batches where it is resident are
    /// full and one of several requests has waited longer than [`COPY_DELAY`].
    fn needs_load(&self, now: Instant, adapter: &AdapterRef) -> bool {
        let mut is_resident = false;
        for (id, engine) in &self.engines {
            let Some(name) = engine.replica.expected(adapter) else {
                continue;
            };
            let state = engine.replica.get(name).map(|l| l.state);
            if !self.is_usable(now, id, name) {
                continue;
            }
            if state != Some(LoadState::Resident) || engine.has_batch_room() {
                return false;
            }
            is_resident = true;
        }
        let group = self.pending.group(adapter);
        let waited_long = |r: &caraway_routing::PendingRequest| {
            now.saturating_duration_since(r.since) > COPY_DELAY
        };
        !is_resident || group.len() > 1 && group.iter().any(waited_long)
    }

    /// Returns the number of further loads that this instance may have in transit. An unload counts
    /// as one, because a load into the freed slot follows.
    fn transit_capacity(&self) -> u32 {
        let in_transit: u32 = self.engines.values().map(Engine::transit_count).sum();
        let unloading: usize = self.engines.values().map(Engine::unloading_count).sum();
        let unloading = u32::try_from(unloading).unwrap_or(u32::MAX);
        self.load_budget
            .max_in_transit()
            .saturating_sub(in_transit.saturating_add(unloading))
    }

    /// Returns whether a load of an adapter version may be ordered on an engine, apart from a free
    /// slot and a permit.
    fn may_load_on(&self, now: Instant, endpoint: &EndpointId, adapter: &AdapterRef) -> bool {
        let engine = self.engines.get(endpoint);
        engine.is_some_and(|e| e.accepts_loads(now) && e.replica.expected(adapter).is_none())
            && self.members.permission(now, endpoint) >= Permission::LoadOnly
            && self.members.accepts_work(now, endpoint)
            && self.load_backoffs.allows(now, adapter, endpoint)
    }

    /// Returns the engine with the fullest batch among those that have a free slot and may load an
    /// adapter version.
    fn engine_with_free_slot(&self, now: Instant, adapter: &AdapterRef) -> Option<EndpointId> {
        self.engines
            .iter()
            .filter(|(id, e)| e.replica.free() > 0 && self.may_load_on(now, id, adapter))
            .max_by_key(|(_, e)| e.batch_size())
            .map(|(id, _)| id.clone())
    }

    /// Uses a permit and orders a load.
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
        let Some(borrowed) = self.load_budget.use_permit(now) else {
            return;
        };
        if let Some((owner, returned)) = borrowed {
            self.message_to(&owner).returns.push(returned);
        }
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        self.load_count += 1;
        let load = load_name(adapter, fence, self.load_count);
        engine
            .replica
            .start_load(now, load.clone(), adapter.clone());
        engine.open_orders += 1;
        self.pending.charge(now, adapter);
        self.record_change(endpoint, adapter, true);
        out.push(Output::Load {
            endpoint: endpoint.clone(),
            load,
            adapter: adapter.clone(),
            fence,
        });
    }

    /// Orders an unload to free a slot for an adapter version, or returns false if no load may be
    /// evicted. Among the candidates up to the cost limit, it chooses one on the engine with the
    /// fullest batch.
    fn order_unload(&mut self, now: Instant, adapter: &AdapterRef, out: &mut Vec<Output>) -> bool {
        let candidates = self.eviction_candidates(now);
        let may_load = |c: &&EvictionCandidate<'_>| self.may_load_on(now, c.endpoint, adapter);
        let min_cost = candidates.iter().find(may_load).map_or(0.0, |c| c.cost);
        let limit = self.cost_limit(min_cost);
        let cheap = candidates
            .iter()
            .filter(may_load)
            .filter(|c| c.cost <= limit);
        let chosen = cheap
            .min_by_key(|c| std::cmp::Reverse(self.engines[c.endpoint].batch_size()))
            .map(|c| (c.endpoint.clone(), c.load.clone()));
        let Some((endpoint, load)) = chosen else {
            return false;
        };
        let evicted = self.load_adapter(&endpoint, &load);
        let Some(engine) = self.engines.get_mut(&endpoint) else {
            return false;
        };
        let Some(fence) = engine.fence else {
            return false;
        };
        if !engine.replica.start_unload(now, &load) {
            return false;
        }
        engine.open_orders += 1;
        if let Some(adapter) = evicted {
            self.record_change(&endpoint, &adapter, false);
        }
        out.push(Output::Unload {
            endpoint,
            load,
            fence,
        });
        true
    }

    /// Returns the loads that may be evicted, cheapest first.
    ///
    /// An inherited load must have been idle for so long that the earlier holder, which may still
    /// be running, no longer starts requests on it; see [`Members::idle_limit`].
    ///
    /// [`Members::idle_limit`]: caraway_members::Members::idle_limit
    fn eviction_candidates(&self, now: Instant) -> Vec<EvictionCandidate<'_>> {
        let over_share = self.accounts_over_share();
        let mut candidates = Vec::new();
        for (endpoint, engine) in &self.engines {
            if engine.fence.is_none() || self.members.permission(now, endpoint) != Permission::Full
            {
                continue;
            }
            let may_evict_inherited = self.members.may_evict_inherited(now, endpoint);
            for (name, load) in engine.replica.loads() {
                let idle = now.saturating_duration_since(load.last_used);
                let is_abandoned = may_evict_inherited && idle >= self.settings.members.idle.get();
                if load.is_idle() && (load.ordered_here || is_abandoned) {
                    let is_over = load
                        .account
                        .as_ref()
                        .is_some_and(|a| over_share.contains(a));
                    let factor = if is_over { OVER_SHARE_COST_FACTOR } else { 1.0 };
                    candidates.push(EvictionCandidate {
                        cost: self.eviction_cost(now, &load.adapter) * factor,
                        endpoint,
                        load: name,
                    });
                }
            }
        }
        candidates.sort_by(|a, b| {
            let cost = a.cost.total_cmp(&b.cost);
            cost.then_with(|| (a.endpoint, a.load).cmp(&(b.endpoint, b.load)))
        });
        candidates
    }

    /// Returns the accounts whose adapters occupy more than [`FAIR_SLOT_SHARE`] of the slots on the
    /// held replicas.
    fn accounts_over_share(&self) -> BTreeSet<&AccountId> {
        let held = self.engines.values().filter(|e| e.is_held());
        let loads = held.clone().flat_map(|e| e.replica.loads());
        let mut slots: BTreeMap<&AccountId, u32> = BTreeMap::new();
        for account in loads.filter_map(|(_, l)| l.account.as_ref()) {
            *slots.entry(account).or_default() += 1;
        }
        let total: u32 = held.map(|e| e.replica.slots()).sum();
        let limit = (f64::from(total) * FAIR_SLOT_SHARE).max(1.0);
        let over = slots.into_iter().filter(|(_, n)| f64::from(*n) > limit);
        over.map(|(account, _)| account).collect()
    }

    /// Returns the cost of evicting one copy of an adapter version: its request rate per second,
    /// divided by the number of copies on all known replicas.
    fn eviction_cost(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let is_resident = |e: &&Engine| e.is_held() && e.replica.resident(adapter).is_some();
        let local = self.engines.values().filter(is_resident).count();
        let remote = self.directory.find(adapter).len();
        let copies = u32::try_from(local + remote).unwrap_or(1).max(1);
        self.popularity.rate(now, adapter) / f64::from(copies)
    }

    /// Returns the costs of the next loads on this instance, cheapest first: zero for a free slot,
    /// otherwise the cost of an eviction. Each group of pending requests that already needs a load
    /// will use the cheapest one left, so as many of the cheapest ones are omitted.
    pub(crate) fn load_costs(&self, now: Instant) -> Vec<f32> {
        let free_slots = |(id, e): (&EndpointId, &Engine)| {
            let may_load =
                e.accepts_loads(now) && self.members.permission(now, id) >= Permission::LoadOnly;
            if may_load {
                e.replica.free() as usize
            } else {
                0
            }
        };
        let free: usize = self.engines.iter().map(free_slots).sum();
        let needed = self.groups_to_load(now).len();
        let costs = self.eviction_candidates(now);
        let costs = costs.into_iter().map(|c| to_f32(c.cost));
        std::iter::repeat_n(0.0, free)
            .chain(costs)
            .skip(needed)
            .take(MAX_REPORTED_COSTS)
            .collect()
    }

    /// Returns the cost of one more load on this instance, or infinity if none is possible.
    pub(crate) fn next_load_cost(&self, now: Instant) -> f64 {
        let costs = self.load_costs(now);
        costs.first().map_or(f64::INFINITY, |c| f64::from(*c))
    }
}

impl EngineReport {
    /// Converts the report to the form that [`Replica`](caraway_slots::Replica) applies.
    fn to_snapshot(&self) -> SlotReport {
        let snapshot_load = |r: &crate::ReportedLoad| SlotLoad {
            name: r.name.clone(),
            adapter: r.adapter.clone(),
            running: r.running,
        };
        SlotReport {
            incarnation: self.incarnation,
            slots: self.slots,
            loads: self.residents.iter().map(snapshot_load).collect(),
        }
    }
}

/// Converts a score or cost to the precision that is sent to peers.
#[expect(clippy::cast_possible_truncation, reason = "a score needs few digits")]
pub(crate) fn to_f32(value: f64) -> f32 {
    value as f32
}
