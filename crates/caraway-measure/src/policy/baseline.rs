//! [`Central`]: the policies that the product is compared with.
//!
//! They know all of the present without delay, which flatters them: least-loaded with LRU
//! eviction, consistent hashing with LRU eviction, and an offline reference that also knows when
//! each adapter is asked for next.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use caraway_node::{AttemptOutcome, LoadResult};
use caraway_types::LoadName;

use super::{
    engine::Run,
    scenario::{MILLI, Plan},
    world::{Driver, World},
};

/// A failed load is tried again after this time.
const RETRY: u64 = 500 * MILLI;
/// Time between two looks at the store by the offline reference.
const LOOK: u64 = 10 * MILLI;
/// Points of a replica on the hash ring.
const RING_POINTS: u64 = 64;

/// How replicas and victims are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    LeastLoaded,
    Hashing,
    Offline,
}

/// A message to itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Wake {
    /// Look at the queue of one replica, or of all.
    Pump(usize),
    Look,
}

#[derive(Clone, Debug)]
struct Slot {
    name: LoadName,
    resident: bool,
    pins: u32,
    used: u64,
}

#[derive(Clone, Debug, Default)]
struct Replica {
    slots: BTreeMap<u32, Slot>,
    /// Adapters that wait for a load, with their requests.
    waiting: BTreeMap<u32, Vec<usize>>,
    order: VecDeque<u32>,
    assigned: u32,
}

/// A policy with one place of decision.
#[derive(Debug)]
pub(crate) struct Central {
    choice: Choice,
    ring: Vec<(u64, usize)>,
    replicas: Vec<Replica>,
    /// Arrival times by adapter, for the offline reference.
    future: Vec<Vec<u64>>,
    named: u64,
}

type Here<'a> = World<'a, Wake>;

impl Central {
    pub(crate) fn new(choice: Choice, plan: &Plan, world: &Here<'_>) -> Self {
        let mut ring: Vec<(u64, usize)> = (0..plan.replicas)
            .flat_map(|r| (0..RING_POINTS).map(move |p| (mix(r as u64 * 1000 + p), r)))
            .collect();
        ring.sort_unstable();
        let mut future = vec![Vec::new(); plan.adapters];
        for r in world.requests {
            future[r.adapter as usize].push(r.at);
        }
        Self {
            choice,
            ring,
            replicas: vec![Replica::default(); plan.replicas],
            future,
            named: 0,
        }
    }

    fn pick(&self, world: &Here<'_>, request: usize) -> usize {
        let r = &world.requests[request];
        let near = |e: usize| world.passes(Plan::zone(r.instance), Plan::zone(e));
        let usable = |e: &usize| near(*e) && world.answers(*e);
        let all = 0..self.replicas.len();
        match self.choice {
            Choice::Hashing => {
                let point = mix(u64::from(r.adapter) + 7_000_000);
                let from = self.ring.partition_point(|(p, _)| *p < point);
                let round = self.ring[from..].iter().chain(&self.ring[..from]);
                round.map(|(_, e)| *e).find(usable).unwrap_or(0)
            }
            Choice::LeastLoaded => all
                .filter(usable)
                .min_by_key(|e| self.replicas[*e].assigned)
                .unwrap_or(0),
            Choice::Offline => {
                let has = |e: &usize| {
                    let slot = self.replicas[*e].slots.get(&r.adapter);
                    slot.is_some() || self.replicas[*e].waiting.contains_key(&r.adapter)
                };
                all.clone()
                    .filter(usable)
                    .find(has)
                    .or_else(|| {
                        all.filter(usable)
                            .min_by_key(|e| self.victim_rank(world, *e))
                    })
                    .unwrap_or(0)
            }
        }
    }

    /// Ranks replicas by what a load would cost: a free slot first, then the latest next use.
    fn victim_rank(&self, world: &Here<'_>, e: usize) -> (u64, usize) {
        let r = &self.replicas[e];
        let queued = r.order.len();
        if r.slots.len() + queued < world.plan.slots as usize {
            return (0, queued);
        }
        let latest = self.victim(world, e).map_or(0, |a| self.next_use(world, a));
        (u64::MAX - latest, queued)
    }

    fn next_use(&self, world: &Here<'_>, adapter: u32) -> u64 {
        let times = &self.future[adapter as usize];
        let next = times.partition_point(|t| *t <= world.now);
        times.get(next).copied().unwrap_or(u64::MAX - 1)
    }

    fn victim(&self, world: &Here<'_>, e: usize) -> Option<u32> {
        let idle = self.replicas[e]
            .slots
            .iter()
            .filter(|(_, s)| s.resident && s.pins == 0);
        if self.choice == Choice::Offline {
            idle.map(|(a, _)| *a)
                .max_by_key(|a| self.next_use(world, *a))
        } else {
            idle.min_by_key(|(_, s)| s.used).map(|(a, _)| *a)
        }
    }

    fn start(&mut self, world: &mut Here<'_>, e: usize, request: usize) -> bool {
        let adapter = world.requests[request].adapter;
        let Some(slot) = self.replicas[e].slots.get_mut(&adapter) else {
            return false;
        };
        if !slot.resident {
            return false;
        }
        slot.pins += 1;
        slot.used = world.now;
        let name = slot.name.clone();
        if world.start(e, request, 0, &name).is_err() {
            self.replicas[e].slots.remove(&adapter);
            return false;
        }
        true
    }

    fn queue(&mut self, world: &mut Here<'_>, e: usize, request: usize) {
        let adapter = world.requests[request].adapter;
        let r = &mut self.replicas[e];
        let waits = r.waiting.entry(adapter).or_default();
        waits.push(request);
        if waits.len() == 1 && !r.slots.contains_key(&adapter) {
            r.order.push_back(adapter);
        }
        self.pump(world, e);
    }

    fn pump(&mut self, world: &mut Here<'_>, e: usize) {
        if !world.answers(e) {
            return;
        }
        while let Some(adapter) = self.next_load(e) {
            if self.choice == Choice::Offline && !world.store.ready(world.now) {
                return;
            }
            if self.replicas[e].slots.len() >= world.plan.slots as usize {
                let Some(victim) = self.victim(world, e) else {
                    return;
                };
                if let Some(slot) = self.replicas[e].slots.remove(&victim) {
                    world.unload(e, &slot.name, (1, e));
                }
            }
            self.replicas[e].order.retain(|a| *a != adapter);
            self.named += 1;
            let name: LoadName = format!("a{adapter}#{}", self.named).into();
            let slot = Slot {
                name: name.clone(),
                resident: false,
                pins: 0,
                used: world.now,
            };
            self.replicas[e].slots.insert(adapter, slot);
            if world.load(e, &name, adapter, (1, e)).is_err() {
                self.replicas[e].slots.remove(&adapter);
                self.replicas[e].order.push_back(adapter);
                world.send(RETRY, Wake::Pump(e));
                return;
            }
        }
    }

    fn next_load(&self, e: usize) -> Option<u32> {
        let r = &self.replicas[e];
        if self.choice != Choice::Offline {
            return r.order.front().copied();
        }
        let waiters = |a: &u32| r.waiting.get(a).map_or(0, Vec::len);
        r.order.iter().copied().rev().max_by_key(waiters)
    }

    fn look(&mut self, world: &mut Here<'_>) {
        let mut order: Vec<usize> = (0..self.replicas.len()).collect();
        let waiters = |e: &usize| {
            let next = self.next_load(*e);
            next.and_then(|a| self.replicas[*e].waiting.get(&a))
                .map_or(0, Vec::len)
        };
        order.sort_by_key(|e| std::cmp::Reverse(waiters(e)));
        for e in order {
            self.pump(world, e);
        }
    }

    fn expire(&mut self, world: &mut Here<'_>) {
        for r in &mut self.replicas {
            let mut gone = BTreeSet::new();
            for (adapter, waits) in &mut r.waiting {
                let late = |q: &usize| world.requests[*q].deadline <= world.now;
                let lost: Vec<usize> = waits.iter().copied().filter(late).collect();
                waits.retain(|q| !late(q));
                for request in lost {
                    r.assigned -= 1;
                    world.refuse(request);
                }
                if waits.is_empty() {
                    gone.insert(*adapter);
                }
            }
            r.waiting.retain(|a, _| !gone.contains(a));
            r.order.retain(|a| !gone.contains(a));
        }
    }
}

impl Driver for Central {
    type Message = Wake;

    fn begin(&mut self, world: &mut Here<'_>) {
        world.send(LOOK, Wake::Look);
    }

    fn arrived(&mut self, world: &mut Here<'_>, request: usize) {
        let e = self.pick(world, request);
        self.replicas[e].assigned += 1;
        if !self.start(world, e, request) {
            self.queue(world, e, request);
        }
    }

    fn message(&mut self, world: &mut Here<'_>, message: Wake) {
        match message {
            Wake::Pump(e) => self.pump(world, e),
            Wake::Look => {
                self.expire(world);
                if self.choice == Choice::Offline {
                    self.look(world);
                }
                world.send(LOOK, Wake::Look);
            }
        }
    }

    fn finished(&mut self, world: &mut Here<'_>, e: usize, run: &Run, done: AttemptOutcome) {
        let adapter = world.requests[run.request].adapter;
        self.replicas[e].assigned -= 1;
        if let Some(slot) = self.replicas[e].slots.get_mut(&adapter) {
            slot.pins = slot.pins.saturating_sub(1);
            slot.used = world.now;
        }
        if done == AttemptOutcome::NotRun {
            self.arrived(world, run.request);
        }
        self.pump(world, e);
    }

    fn loaded(&mut self, world: &mut Here<'_>, e: usize, load: &LoadName, result: LoadResult) {
        let found = self.replicas[e]
            .slots
            .iter_mut()
            .find(|(_, s)| s.name == *load);
        let Some((adapter, slot)) = found else {
            return;
        };
        let adapter = *adapter;
        if result == LoadResult::Failed {
            self.replicas[e].slots.remove(&adapter);
            if self.replicas[e].waiting.contains_key(&adapter) {
                self.replicas[e].order.push_back(adapter);
            }
            world.send(RETRY, Wake::Pump(e));
            return;
        }
        slot.resident = true;
        for request in self.replicas[e]
            .waiting
            .remove(&adapter)
            .unwrap_or_default()
        {
            self.start(world, e, request);
        }
        self.pump(world, e);
    }

    fn restarted(&mut self, world: &mut Here<'_>, e: usize) {
        self.replicas[e].slots.clear();
        let waiting: Vec<u32> = self.replicas[e].waiting.keys().copied().collect();
        self.replicas[e].order = waiting.into();
        self.pump(world, e);
    }
}

/// Mixes bits, after the finaliser of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
