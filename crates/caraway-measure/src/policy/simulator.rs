//! [`World`]: the virtual clock with the fakes of engines and store.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use caraway_node::{AttemptOutcome, LoadResult};
use caraway_types::{FencingToken, LoadName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    arrivals::Request,
    engine::{Engine, Held, Run},
    figures::{Outcome, Tally},
    scenario::{MILLI, Plan, SECOND, Scenario},
    store::{Store, Transfer},
};

/// After the last arrival the run goes on for at most this long.
const DRAIN: u64 = 120 * SECOND;
/// Time between two restarts of engines in the scenario of that name.
const RESTART_GAP: u64 = 60 * SECOND;
/// A restarted engine takes no calls for this long.
const RESTART_TIME: u64 = 5 * SECOND;
/// Time until a load is known to have failed while the store is down.
const FAIL_TIME: u64 = SECOND;
/// Share of answers to loads that are lost while the store is down.
const LOST_SHARE: f64 = 0.2;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Event<M> {
    Arrive(usize),
    EndStep(usize, u64),
    StoreReady,
    Transferred(Transfer, LoadResult),
    Fault(Fault),
    /// Whatever the driver sends itself.
    Driver(M),
}

/// A fault that begins or ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Restart(usize),
    Restarted(usize),
    StoreSpeed(u64),
    StoreDown(bool),
    Cut(bool),
}

/// What a policy hears of the world.
pub(crate) trait Driver: Sized {
    /// Messages that it sends itself.
    type Message;

    /// Prepares the run.
    fn begin(&mut self, world: &mut World<'_, Self::Message>);
    /// A request reaches its instance.
    fn arrived(&mut self, world: &mut World<'_, Self::Message>, request: usize);
    /// A message is due.
    fn message(&mut self, world: &mut World<'_, Self::Message>, message: Self::Message);
    /// An attempt has ended.
    fn finished(
        &mut self,
        world: &mut World<'_, Self::Message>,
        engine: usize,
        run: &Run,
        done: AttemptOutcome,
    );
    /// A load has ended.
    fn loaded(
        &mut self,
        world: &mut World<'_, Self::Message>,
        engine: usize,
        load: &LoadName,
        result: LoadResult,
    );
    /// An engine came back empty.
    fn restarted(&mut self, _world: &mut World<'_, Self::Message>, _engine: usize) {}
}

#[derive(Debug)]
struct Entry<M> {
    at: u64,
    order: u64,
    event: Event<M>,
}

impl<M> PartialEq for Entry<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<M> Eq for Entry<M> {}

impl<M> PartialOrd for Entry<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Entry<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The virtual clock with the fakes of engines and store.
#[derive(Debug)]
pub(crate) struct World<'a, M = ()> {
    pub(crate) plan: &'a Plan,
    pub(crate) requests: &'a [Request],
    pub(crate) now: u64,
    pub(crate) engines: Vec<Engine>,
    pub(crate) store: Store,
    pub(crate) tally: Tally,
    pub(crate) cut: bool,
    down: Vec<bool>,
    step_ids: Vec<u64>,
    heap: BinaryHeap<Reverse<Entry<M>>>,
    order: u64,
    store_due: bool,
    owners: BTreeMap<usize, (FencingToken, usize)>,
    rng: ChaCha8Rng,
}

impl<'a, M> World<'a, M> {
    pub(crate) fn new(plan: &'a Plan, requests: &'a [Request]) -> Self {
        let engine = |i| Engine::new(plan.slots, plan.max_batch, i % 2 == 0);
        let mut world = Self {
            plan,
            requests,
            now: 0,
            engines: (0..plan.replicas).map(engine).collect(),
            store: Store::new(plan.store_rate),
            tally: Tally {
                outcomes: vec![Outcome::default(); requests.len()],
                ..Tally::default()
            },
            cut: false,
            down: vec![false; plan.replicas],
            step_ids: vec![0; plan.replicas],
            heap: BinaryHeap::new(),
            order: 0,
            store_due: false,
            owners: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed),
        };
        if let Some(first) = requests.first() {
            world.at(first.at, Event::Arrive(0));
        }
        world.plan_faults();
        world
    }

    fn plan_faults(&mut self) {
        let plan = self.plan;
        match plan.scenario {
            Scenario::Restart => {
                for (i, at) in (1..plan.seconds * SECOND / RESTART_GAP).enumerate() {
                    let engine = i * 4 % plan.replicas;
                    self.at(at * RESTART_GAP, Event::Fault(Fault::Restart(engine)));
                }
            }
            Scenario::StoreSlow => {
                self.at(plan.point(1, 3), Event::Fault(Fault::StoreSpeed(8)));
                self.at(plan.point(2, 3), Event::Fault(Fault::StoreSpeed(1)));
            }
            Scenario::StoreDown => {
                self.at(plan.point(1, 3), Event::Fault(Fault::StoreDown(true)));
                self.at(plan.point(1, 2), Event::Fault(Fault::StoreDown(false)));
            }
            Scenario::ZoneCut => {
                self.at(plan.point(1, 3), Event::Fault(Fault::Cut(true)));
                self.at(plan.point(2, 3), Event::Fault(Fault::Cut(false)));
            }
            Scenario::Steady | Scenario::Shift | Scenario::Flood => {}
        }
    }

    /// Runs the policy to the end and returns what was collected.
    pub(crate) fn run<D: Driver<Message = M>>(mut self, driver: &mut D) -> Tally {
        driver.begin(&mut self);
        let end = self.plan.seconds * SECOND + DRAIN;
        while let Some(Reverse(entry)) = self.heap.pop() {
            if entry.at > end {
                break;
            }
            self.now = entry.at;
            self.step(driver, entry.event);
        }
        self.tally
    }

    fn step<D: Driver<Message = M>>(&mut self, driver: &mut D, event: Event<M>) {
        match event {
            Event::Arrive(i) => {
                if let Some(next) = self.requests.get(i + 1) {
                    self.at(next.at, Event::Arrive(i + 1));
                }
                driver.arrived(self, i);
            }
            Event::EndStep(engine, id) => self.end_step(driver, engine, id),
            Event::StoreReady => {
                self.store_due = false;
                self.start_transfers();
            }
            Event::Transferred(transfer, result) => self.transferred(driver, &transfer, result),
            Event::Fault(fault) => self.fault(driver, fault),
            Event::Driver(message) => driver.message(self, message),
        }
    }

    /// Plans an event.
    pub(crate) fn at(&mut self, at: u64, event: Event<M>) {
        self.order += 1;
        let order = self.order;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Plans a message of the driver after a delay.
    pub(crate) fn send(&mut self, delay: u64, message: M) {
        self.at(self.now + delay, Event::Driver(message));
    }

    /// Tells whether figures count now.
    fn counts(&self) -> bool {
        self.now >= self.plan.warm_up() && self.now < self.plan.seconds * SECOND
    }

    /// Starts an attempt; on refusal says why it did not run.
    pub(crate) fn start(
        &mut self,
        engine: usize,
        request: usize,
        attempt: u64,
        load: &LoadName,
    ) -> Result<(), AttemptOutcome> {
        if self.down[engine] {
            return Err(AttemptOutcome::NotRun);
        }
        let wanted = &self.requests[request];
        let held = self.engines[engine].loads.get(load);
        let Some((adapter, since)) = held.and_then(|h| h.since.map(|s| (h.adapter, s))) else {
            return Err(AttemptOutcome::NotResident);
        };
        if adapter != wanted.adapter {
            self.tally.violations.wrong_adapters += 1;
        }
        self.tally.outcomes[request].stall = since.saturating_sub(wanted.at);
        self.engines[engine].waiting.push_back(Run {
            request,
            attempt,
            load: load.clone(),
            left: wanted.tokens,
            first: true,
        });
        self.begin_step(engine);
        Ok(())
    }

    fn begin_step(&mut self, engine: usize) {
        if self.engines[engine].stepping {
            return;
        }
        if let Some(time) = self.engines[engine].begin_step() {
            self.step_ids[engine] += 1;
            let id = self.step_ids[engine];
            self.at(self.now + time, Event::EndStep(engine, id));
        }
    }

    fn end_step<D: Driver<Message = M>>(&mut self, driver: &mut D, engine: usize, id: u64) {
        if self.step_ids[engine] != id {
            return;
        }
        if self.counts() {
            self.tally.steps += 1;
            self.tally.step_requests += self.engines[engine].running.len() as u64;
        }
        let (first, ended) = self.engines[engine].end_step();
        for run in first {
            let outcome = &mut self.tally.outcomes[run.request];
            outcome.first.get_or_insert(self.now);
        }
        for run in &ended {
            self.tally.outcomes[run.request].served = true;
            driver.finished(self, engine, run, AttemptOutcome::Complete);
        }
        self.begin_step(engine);
    }

    /// Orders a load.
    pub(crate) fn load(
        &mut self,
        engine: usize,
        load: &LoadName,
        adapter: u32,
        from: (FencingToken, usize),
    ) -> Result<(), LoadResult> {
        if self.down[engine] {
            return Err(LoadResult::Failed);
        }
        self.fence(engine, from)?;
        let e = &mut self.engines[engine];
        if e.loads.len() >= e.slots as usize {
            return Err(LoadResult::SlotsFull);
        }
        let since = None;
        e.loads.insert(load.clone(), Held { adapter, since });
        let transfer = Transfer {
            engine,
            incarnation: e.incarnation,
            load: load.clone(),
        };
        if self.counts() {
            self.tally.loads += 1;
        }
        if !self.store.order(self.now, transfer) {
            self.tally.violations.store_limits += 1;
        }
        self.start_transfers();
        Ok(())
    }

    fn fence(&mut self, engine: usize, from: (FencingToken, usize)) -> Result<(), LoadResult> {
        let e = &mut self.engines[engine];
        if e.checks && from.0 < e.max_fence {
            return Err(LoadResult::Stale(e.max_fence));
        }
        e.max_fence = e.max_fence.max(from.0);
        let owner = self.owners.entry(engine).or_insert(from);
        if from.0 < owner.0 || (from.0 == owner.0 && from.1 != owner.1) {
            self.tally.violations.rival_holders += 1;
        } else {
            *owner = from;
        }
        Ok(())
    }

    /// Orders an unload; true when nothing of the load is left.
    pub(crate) fn unload(
        &mut self,
        engine: usize,
        load: &LoadName,
        from: (FencingToken, usize),
    ) -> bool {
        if self.down[engine] || self.fence(engine, from).is_err() {
            return false;
        }
        if self.engines[engine].users(load) > 0 {
            self.tally.violations.pinned_evictions += 1;
        }
        if self.engines[engine].loads.remove(load).is_some() && self.counts() {
            self.tally.evictions += 1;
        }
        true
    }

    fn start_transfers(&mut self) {
        while let Some((transfer, time)) = self.store.start(self.now) {
            let lost = self.store.down && self.rng.random::<f64>() < LOST_SHARE;
            let (time, result) = match (self.store.down, lost) {
                (true, true) => (time, LoadResult::Unknown),
                (true, false) => (FAIL_TIME, LoadResult::Failed),
                _ => (time, LoadResult::Resident),
            };
            self.at(self.now + time, Event::Transferred(transfer, result));
        }
        if let Some(wait) = self.store.wait()
            && !self.store_due
        {
            self.store_due = true;
            self.at(self.now + wait, Event::StoreReady);
        }
    }

    fn transferred<D: Driver<Message = M>>(
        &mut self,
        driver: &mut D,
        transfer: &Transfer,
        result: LoadResult,
    ) {
        self.store.transit -= 1;
        let engine = transfer.engine;
        let e = &mut self.engines[engine];
        if e.incarnation != transfer.incarnation {
            driver.loaded(self, engine, &transfer.load, LoadResult::Failed);
            return;
        }
        if result == LoadResult::Failed {
            e.loads.remove(&transfer.load);
        } else if let Some(held) = e.loads.get_mut(&transfer.load) {
            held.since = Some(self.now);
        }
        driver.loaded(self, engine, &transfer.load, result);
    }

    fn fault<D: Driver<Message = M>>(&mut self, driver: &mut D, fault: Fault) {
        match fault {
            Fault::StoreSpeed(factor) => self.store.slow = factor,
            Fault::StoreDown(down) => self.store.down = down,
            Fault::Cut(cut) => self.cut = cut,
            Fault::Restart(engine) => {
                self.down[engine] = true;
                self.step_ids[engine] += 1;
                for run in self.engines[engine].restart() {
                    driver.finished(self, engine, &run, AttemptOutcome::NotRun);
                }
                let back = Event::Fault(Fault::Restarted(engine));
                self.at(self.now + RESTART_TIME, back);
            }
            Fault::Restarted(engine) => {
                self.down[engine] = false;
                driver.restarted(self, engine);
            }
        }
    }

    /// Tells whether an engine answers.
    pub(crate) fn answers(&self, engine: usize) -> bool {
        !self.down[engine]
    }

    /// Notes the refusal of a request.
    pub(crate) fn refuse(&mut self, request: usize) {
        self.tally.outcomes[request].refused = true;
    }

    /// One way between two zones, in microseconds.
    pub(crate) fn delay(&self, a: usize, b: usize) -> u64 {
        if a == b {
            MILLI / 4
        } else {
            self.plan.zone_delay
        }
    }

    /// Tells whether a message between two zones passes; the last zone is the one cut off.
    pub(crate) fn passes(&self, a: usize, b: usize) -> bool {
        !self.cut || (a == 2) == (b == 2)
    }
}
