//! [`CentralPolicy`]: the baselines that the shipped policy is compared with.
//!
//! The baselines are least-loaded with LRU eviction, consistent hashing with LRU eviction, and an
//! offline reference that also knows when each adapter is requested next. All of them know the
//! present state without delay, which is an advantage over a real policy.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use caraway_node::{AttemptOutcome, LoadResult};
use caraway_types::LoadName;

use super::{
    engine::Attempt,
    scenario::{MILLISECOND, Plan},
    simulator::{PolicyDriver, Simulator},
};

/// Delay before the retry of a failed load, in microseconds.
const LOAD_RETRY_DELAY: u64 = 500 * MILLISECOND;
/// Interval of checks for expired requests, and for loads that the store lets the offline reference
/// start, in microseconds.
const POLL_INTERVAL: u64 = 10 * MILLISECOND;
/// Points of each replica on the hash ring.
const RING_POINTS: u64 = 64;

/// How replicas, and loads to evict, are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BaselineKind {
    /// The replica with the fewest assigned requests; evicts the least recently used load.
    LeastLoaded,
    /// Consistent hashing of the adapter; evicts the least recently used load.
    Hashing,
    /// A replica that holds or queues the adapter, or else the one where a load costs least; evicts
    /// the load whose next use is latest.
    Offline,
}

/// A message that the policy schedules for itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Message {
    /// Start the queued loads of one replica.
    StartLoads(usize),
    /// Refuse expired requests and, for the offline reference, start loads on all replicas.
    Poll,
}

/// An occupied slot.
#[derive(Clone, Debug)]
struct Slot {
    load: LoadName,
    /// Whether the transfer has ended.
    resident: bool,
    /// Attempts that use the load; it can't be evicted meanwhile.
    pins: u32,
    /// Time of the last start or end of an attempt, in microseconds.
    last_used: u64,
}

/// The policy's view of a replica.
#[derive(Clone, Debug, Default)]
struct Replica {
    /// Occupied slots, by adapter.
    slots: BTreeMap<u32, Slot>,
    /// Requests that wait for a load, by adapter.
    waiting: BTreeMap<u32, Vec<usize>>,
    /// Adapters to load.
    load_queue: VecDeque<u32>,
    /// Requests that wait or run here.
    assigned: u32,
}

/// A baseline policy that decides for all replicas in one place.
#[derive(Debug)]
pub(crate) struct CentralPolicy {
    kind: BaselineKind,
    /// The hash ring: points with their replicas, sorted.
    ring: Vec<(u64, usize)>,
    replicas: Vec<Replica>,
    /// Arrival times of all requests by adapter, for the offline reference.
    arrivals_by_adapter: Vec<Vec<u64>>,
    /// Number of loads so far; part of the next load's name.
    load_count: u64,
}

type Sim<'a> = Simulator<'a, Message>;

impl CentralPolicy {
    pub(crate) fn new(kind: BaselineKind, plan: &Plan, sim: &Sim<'_>) -> Self {
        let mut ring: Vec<(u64, usize)> = (0..plan.replicas)
            .flat_map(|r| (0..RING_POINTS).map(move |p| (hash(r as u64 * 1000 + p), r)))
            .collect();
        ring.sort_unstable();
        let mut arrivals_by_adapter = vec![Vec::new(); plan.adapters];
        for r in sim.requests {
            arrivals_by_adapter[r.adapter as usize].push(r.arrival);
        }
        Self {
            kind,
            ring,
            replicas: vec![Replica::default(); plan.replicas],
            arrivals_by_adapter,
            load_count: 0,
        }
    }

    /// Returns the replica for a request, or replica 0 when none is usable.
    fn choose_replica(&self, sim: &Sim<'_>, request: usize) -> usize {
        let r = &sim.requests[request];
        let is_reachable =
            |replica: usize| sim.is_connected(Plan::zone_of(r.instance), Plan::zone_of(replica));
        let is_usable = |replica: &usize| is_reachable(*replica) && sim.is_up(*replica);
        let all = 0..self.replicas.len();
        match self.kind {
            BaselineKind::Hashing => {
                let point = hash(u64::from(r.adapter) + 7_000_000);
                let from = self.ring.partition_point(|(p, _)| *p < point);
                let clockwise = self.ring[from..].iter().chain(&self.ring[..from]);
                clockwise
                    .map(|(_, replica)| *replica)
                    .find(is_usable)
                    .unwrap_or(0)
            }
            BaselineKind::LeastLoaded => all
                .filter(is_usable)
                .min_by_key(|replica| self.replicas[*replica].assigned)
                .unwrap_or(0),
            BaselineKind::Offline => {
                let holds_adapter = |replica: &usize| {
                    let slot = self.replicas[*replica].slots.get(&r.adapter);
                    slot.is_some() || self.replicas[*replica].waiting.contains_key(&r.adapter)
                };
                all.clone()
                    .filter(is_usable)
                    .find(holds_adapter)
                    .or_else(|| {
                        all.filter(is_usable)
                            .min_by_key(|replica| self.load_cost(sim, *replica))
                    })
                    .unwrap_or(0)
            }
        }
    }

    /// Returns a rank by which a replica with a free slot comes first, then the one whose load to
    /// evict is used again latest; among equals the one with the fewest queued loads.
    fn load_cost(&self, sim: &Sim<'_>, replica: usize) -> (u64, usize) {
        let r = &self.replicas[replica];
        let queued = r.load_queue.len();
        if r.slots.len() + queued < sim.plan.slots as usize {
            return (0, queued);
        }
        let latest = self
            .choose_victim(sim, replica)
            .map_or(0, |a| self.next_use(sim, a));
        (u64::MAX - latest, queued)
    }

    /// Returns the time of the adapter's next arrival.
    fn next_use(&self, sim: &Sim<'_>, adapter: u32) -> u64 {
        let times = &self.arrivals_by_adapter[adapter as usize];
        let next = times.partition_point(|t| *t <= sim.now);
        times.get(next).copied().unwrap_or(u64::MAX - 1)
    }

    /// Returns the adapter to evict; `None` when every load is in transfer or in use.
    fn choose_victim(&self, sim: &Sim<'_>, replica: usize) -> Option<u32> {
        let idle = self.replicas[replica]
            .slots
            .iter()
            .filter(|(_, s)| s.resident && s.pins == 0);
        if self.kind == BaselineKind::Offline {
            idle.map(|(a, _)| *a).max_by_key(|a| self.next_use(sim, *a))
        } else {
            idle.min_by_key(|(_, s)| s.last_used).map(|(a, _)| *a)
        }
    }

    /// Starts an attempt if the adapter is resident; returns whether it started.
    fn try_start(&mut self, sim: &mut Sim<'_>, replica: usize, request: usize) -> bool {
        let adapter = sim.requests[request].adapter;
        let Some(slot) = self.replicas[replica].slots.get_mut(&adapter) else {
            return false;
        };
        if !slot.resident {
            return false;
        }
        slot.pins += 1;
        slot.last_used = sim.now;
        let load = slot.load.clone();
        if sim.start_attempt(replica, request, 0, &load).is_err() {
            self.replicas[replica].slots.remove(&adapter);
            return false;
        }
        true
    }

    /// Lets a request wait for a load of its adapter.
    fn enqueue(&mut self, sim: &mut Sim<'_>, replica: usize, request: usize) {
        let adapter = sim.requests[request].adapter;
        let r = &mut self.replicas[replica];
        let requests = r.waiting.entry(adapter).or_default();
        requests.push(request);
        if requests.len() == 1 && !r.slots.contains_key(&adapter) {
            r.load_queue.push_back(adapter);
        }
        self.start_loads(sim, replica);
    }

    /// Starts queued loads while slots can be freed and, for the offline reference, the store is
    /// ready.
    fn start_loads(&mut self, sim: &mut Sim<'_>, replica: usize) {
        if !sim.is_up(replica) {
            return;
        }
        while let Some(adapter) = self.next_load(replica) {
            if self.kind == BaselineKind::Offline && !sim.store.can_start_now(sim.now) {
                return;
            }
            if self.replicas[replica].slots.len() >= sim.plan.slots as usize {
                let Some(victim) = self.choose_victim(sim, replica) else {
                    return;
                };
                if let Some(slot) = self.replicas[replica].slots.remove(&victim) {
                    sim.unload(replica, &slot.load, (1, replica));
                }
            }
            self.replicas[replica].load_queue.retain(|a| *a != adapter);
            self.load_count += 1;
            let load: LoadName = format!("a{adapter}#{}", self.load_count).into();
            let slot = Slot {
                load: load.clone(),
                resident: false,
                pins: 0,
                last_used: sim.now,
            };
            self.replicas[replica].slots.insert(adapter, slot);
            if sim
                .start_load(replica, &load, adapter, (1, replica))
                .is_err()
            {
                self.replicas[replica].slots.remove(&adapter);
                self.replicas[replica].load_queue.push_back(adapter);
                sim.schedule_message(LOAD_RETRY_DELAY, Message::StartLoads(replica));
                return;
            }
        }
    }

    /// Returns the adapter to load next: the first in the queue, or for the offline reference the
    /// one with the most waiting requests.
    fn next_load(&self, replica: usize) -> Option<u32> {
        let r = &self.replicas[replica];
        if self.kind != BaselineKind::Offline {
            return r.load_queue.front().copied();
        }
        let waiters = |a: &u32| r.waiting.get(a).map_or(0, Vec::len);
        r.load_queue.iter().copied().rev().max_by_key(waiters)
    }

    /// Starts loads on all replicas, first where the most requests wait for the next load.
    fn start_loads_everywhere(&mut self, sim: &mut Sim<'_>) {
        let mut replicas_by_waiters: Vec<usize> = (0..self.replicas.len()).collect();
        let waiters = |replica: &usize| {
            let next = self.next_load(*replica);
            next.and_then(|a| self.replicas[*replica].waiting.get(&a))
                .map_or(0, Vec::len)
        };
        replicas_by_waiters.sort_by_key(|replica| std::cmp::Reverse(waiters(replica)));
        for replica in replicas_by_waiters {
            self.start_loads(sim, replica);
        }
    }

    /// Refuses the waiting requests whose deadline has passed.
    fn refuse_expired(&mut self, sim: &mut Sim<'_>) {
        for r in &mut self.replicas {
            let mut emptied = BTreeSet::new();
            for (adapter, requests) in &mut r.waiting {
                let is_expired = |q: &usize| sim.requests[*q].deadline <= sim.now;
                let expired: Vec<usize> = requests.iter().copied().filter(is_expired).collect();
                requests.retain(|q| !is_expired(q));
                for request in expired {
                    r.assigned -= 1;
                    sim.record_refusal(request);
                }
                if requests.is_empty() {
                    emptied.insert(*adapter);
                }
            }
            r.waiting.retain(|a, _| !emptied.contains(a));
            r.load_queue.retain(|a| !emptied.contains(a));
        }
    }
}

impl PolicyDriver for CentralPolicy {
    type Message = Message;

    fn on_start(&mut self, sim: &mut Sim<'_>) {
        sim.schedule_message(POLL_INTERVAL, Message::Poll);
    }

    fn on_arrival(&mut self, sim: &mut Sim<'_>, request: usize) {
        let replica = self.choose_replica(sim, request);
        self.replicas[replica].assigned += 1;
        if !self.try_start(sim, replica, request) {
            self.enqueue(sim, replica, request);
        }
    }

    fn on_message(&mut self, sim: &mut Sim<'_>, message: Message) {
        match message {
            Message::StartLoads(replica) => self.start_loads(sim, replica),
            Message::Poll => {
                self.refuse_expired(sim);
                if self.kind == BaselineKind::Offline {
                    self.start_loads_everywhere(sim);
                }
                sim.schedule_message(POLL_INTERVAL, Message::Poll);
            }
        }
    }

    fn on_attempt_end(
        &mut self,
        sim: &mut Sim<'_>,
        replica: usize,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let adapter = sim.requests[attempt.request].adapter;
        self.replicas[replica].assigned -= 1;
        if let Some(slot) = self.replicas[replica].slots.get_mut(&adapter) {
            slot.pins = slot.pins.saturating_sub(1);
            slot.last_used = sim.now;
        }
        if outcome == AttemptOutcome::NotRun {
            self.on_arrival(sim, attempt.request);
        }
        self.start_loads(sim, replica);
    }

    fn on_load_end(
        &mut self,
        sim: &mut Sim<'_>,
        replica: usize,
        load: &LoadName,
        result: LoadResult,
    ) {
        let found = self.replicas[replica]
            .slots
            .iter_mut()
            .find(|(_, s)| s.load == *load);
        let Some((adapter, slot)) = found else {
            return;
        };
        let adapter = *adapter;
        if result == LoadResult::Failed {
            self.replicas[replica].slots.remove(&adapter);
            if self.replicas[replica].waiting.contains_key(&adapter) {
                self.replicas[replica].load_queue.push_back(adapter);
            }
            sim.schedule_message(LOAD_RETRY_DELAY, Message::StartLoads(replica));
            return;
        }
        slot.resident = true;
        for request in self.replicas[replica]
            .waiting
            .remove(&adapter)
            .unwrap_or_default()
        {
            self.try_start(sim, replica, request);
        }
        self.start_loads(sim, replica);
    }

    fn on_engine_restart(&mut self, sim: &mut Sim<'_>, replica: usize) {
        self.replicas[replica].slots.clear();
        let waiting: Vec<u32> = self.replicas[replica].waiting.keys().copied().collect();
        self.replicas[replica].load_queue = waiting.into();
        self.start_loads(sim, replica);
    }
}

/// Hashes a value with the finaliser of `SplitMix64`.
fn hash(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
