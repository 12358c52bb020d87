//! [`Simulator`]: the virtual clock, the event queue and the models of the engines and the store.

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
    engine::{Attempt, Engine, EngineLoad},
    figures::{Outcome, Totals},
    scenario::{MILLISECOND, Plan, SECOND, Scenario},
    store::{Store, Transfer},
};

/// Longest time that the run continues after its arrivals, in microseconds.
const DRAIN_TIME: u64 = 120 * SECOND;
/// Time between two engine restarts in [`Scenario::Restart`], in microseconds.
const RESTART_INTERVAL: u64 = 60 * SECOND;
/// Time that a restarting engine answers no calls, in microseconds.
const ENGINE_DOWN_TIME: u64 = 5 * SECOND;
/// Time after which a load fails while the store is down, in microseconds.
const LOAD_FAIL_DELAY: u64 = SECOND;
/// Share of loads that become resident while the store is down, but whose result is lost.
const LOST_RESULT_SHARE: f64 = 0.2;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event<M> {
    /// The request with this index arrives.
    Arrival(usize),
    /// The step with this id ends on this engine.
    EndStep(usize, u64),
    /// The store can start its next transfer.
    StoreReady,
    /// A transfer ends.
    Transferred(Transfer, LoadResult),
    /// A fault begins or ends.
    Fault(Fault),
    /// A message that the policy driver has scheduled for itself.
    Driver(M),
}

/// A fault that begins or ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// An engine goes down and loses its loads and attempts.
    Restart(usize),
    /// An engine is up again.
    Restarted(usize),
    /// Transfers take this many times as long.
    StoreSlowdown(u64),
    /// Loads fail while this is set.
    StoreDown(bool),
    /// The last zone is cut off from the others while this is set.
    Cut(bool),
}

/// The events that a policy receives from the simulator.
pub(crate) trait PolicyDriver: Sized {
    /// Messages that the policy schedules for itself.
    type Message;

    /// Schedules the first messages of the run.
    fn on_start(&mut self, simulator: &mut Simulator<'_, Self::Message>);
    /// Handles the arrival of a request at its instance.
    fn on_arrival(&mut self, simulator: &mut Simulator<'_, Self::Message>, request: usize);
    /// Handles a message that is due.
    fn on_message(&mut self, simulator: &mut Simulator<'_, Self::Message>, message: Self::Message);
    /// Handles the end of an attempt.
    fn on_attempt_end(
        &mut self,
        simulator: &mut Simulator<'_, Self::Message>,
        engine: usize,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    );
    /// Handles the result of a load.
    fn on_load_end(
        &mut self,
        simulator: &mut Simulator<'_, Self::Message>,
        engine: usize,
        load: &LoadName,
        result: LoadResult,
    );
    /// Handles an engine that is up again, without loads.
    fn on_engine_restart(&mut self, _simulator: &mut Simulator<'_, Self::Message>, _engine: usize) {
    }
}

/// An event with its time in microseconds; events at the same time keep the order of scheduling.
#[derive(Debug)]
struct ScheduledEvent<M> {
    at: u64,
    sequence: u64,
    event: Event<M>,
}

impl<M> PartialEq for ScheduledEvent<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<M> Eq for ScheduledEvent<M> {}

impl<M> PartialOrd for ScheduledEvent<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for ScheduledEvent<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The virtual clock, the event queue and the models of the engines and the store.
#[derive(Debug)]
pub(crate) struct Simulator<'a, M = ()> {
    pub(crate) plan: &'a Plan,
    pub(crate) requests: &'a [Request],
    /// The virtual time, in microseconds.
    pub(crate) now: u64,
    pub(crate) engines: Vec<Engine>,
    pub(crate) store: Store,
    pub(crate) totals: Totals,
    /// Whether the last zone is cut off.
    pub(crate) is_zone_cut: bool,
    /// Whether each engine is down for a restart.
    engine_down: Vec<bool>,
    /// Id of each engine's latest step; the end of an older step is ignored.
    step_ids: Vec<u64>,
    events: BinaryHeap<Reverse<ScheduledEvent<M>>>,
    /// Sequence number of the event scheduled last.
    last_sequence: u64,
    /// Whether an [`Event::StoreReady`] is scheduled.
    store_event_pending: bool,
    /// Highest fencing token with its sender, by engine.
    holders: BTreeMap<usize, (FencingToken, usize)>,
    rng: ChaCha8Rng,
}

impl<'a, M> Simulator<'a, M> {
    pub(crate) fn new(plan: &'a Plan, requests: &'a [Request]) -> Self {
        let engine = |i| Engine::new(plan.slots, plan.max_batch, i % 2 == 0);
        let mut simulator = Self {
            plan,
            requests,
            now: 0,
            engines: (0..plan.replicas).map(engine).collect(),
            store: Store::new(plan.store_rate),
            totals: Totals {
                outcomes: vec![Outcome::default(); requests.len()],
                ..Totals::default()
            },
            is_zone_cut: false,
            engine_down: vec![false; plan.replicas],
            step_ids: vec![0; plan.replicas],
            events: BinaryHeap::new(),
            last_sequence: 0,
            store_event_pending: false,
            holders: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5eed),
        };
        if let Some(first) = requests.first() {
            simulator.schedule(first.arrival, Event::Arrival(0));
        }
        simulator.schedule_faults();
        simulator
    }

    /// Schedules the faults of the scenario.
    fn schedule_faults(&mut self) {
        let plan = self.plan;
        match plan.scenario {
            Scenario::Restart => {
                for (i, at) in (1..plan.seconds * SECOND / RESTART_INTERVAL).enumerate() {
                    let engine = i * 4 % plan.replicas;
                    self.schedule(at * RESTART_INTERVAL, Event::Fault(Fault::Restart(engine)));
                }
            }
            Scenario::StoreSlow => {
                self.schedule(plan.fraction(1, 3), Event::Fault(Fault::StoreSlowdown(8)));
                self.schedule(plan.fraction(2, 3), Event::Fault(Fault::StoreSlowdown(1)));
            }
            Scenario::StoreDown => {
                self.schedule(plan.fraction(1, 3), Event::Fault(Fault::StoreDown(true)));
                self.schedule(plan.fraction(1, 2), Event::Fault(Fault::StoreDown(false)));
            }
            Scenario::ZoneCut => {
                self.schedule(plan.fraction(1, 3), Event::Fault(Fault::Cut(true)));
                self.schedule(plan.fraction(2, 3), Event::Fault(Fault::Cut(false)));
            }
            Scenario::Steady | Scenario::Shift | Scenario::Flood => {}
        }
    }

    /// Runs the policy until no event is left or the drain time is over; returns the totals.
    pub(crate) fn run<D: PolicyDriver<Message = M>>(mut self, driver: &mut D) -> Totals {
        driver.on_start(&mut self);
        let end = self.plan.seconds * SECOND + DRAIN_TIME;
        while let Some(Reverse(scheduled)) = self.events.pop() {
            if scheduled.at > end {
                break;
            }
            self.now = scheduled.at;
            self.handle_event(driver, scheduled.event);
        }
        self.totals
    }

    fn handle_event<D: PolicyDriver<Message = M>>(&mut self, driver: &mut D, event: Event<M>) {
        match event {
            Event::Arrival(i) => {
                if let Some(next) = self.requests.get(i + 1) {
                    self.schedule(next.arrival, Event::Arrival(i + 1));
                }
                driver.on_arrival(self, i);
            }
            Event::EndStep(engine, id) => self.end_step(driver, engine, id),
            Event::StoreReady => {
                self.store_event_pending = false;
                self.start_transfers();
            }
            Event::Transferred(transfer, result) => self.end_transfer(driver, &transfer, result),
            Event::Fault(fault) => self.apply_fault(driver, fault),
            Event::Driver(message) => driver.on_message(self, message),
        }
    }

    /// Schedules an event at a time in microseconds.
    pub(crate) fn schedule(&mut self, at: u64, event: Event<M>) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    /// Schedules a message to the policy driver after a delay in microseconds.
    pub(crate) fn schedule_message(&mut self, delay: u64, message: M) {
        self.schedule(self.now + delay, Event::Driver(message));
    }

    /// Returns whether counts are collected now: between the warm-up and the end of arrivals.
    fn is_measuring(&self) -> bool {
        self.now >= self.plan.warm_up_end() && self.now < self.plan.seconds * SECOND
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Returns why the attempt did not run.
    pub(crate) fn start_attempt(
        &mut self,
        engine: usize,
        request: usize,
        attempt: u64,
        load: &LoadName,
    ) -> Result<(), AttemptOutcome> {
        if self.engine_down[engine] {
            return Err(AttemptOutcome::NotRun);
        }
        let wanted = &self.requests[request];
        let load_state = self.engines[engine].loads.get(load);
        let Some((adapter, since)) =
            load_state.and_then(|h| h.resident_since.map(|s| (h.adapter, s)))
        else {
            return Err(AttemptOutcome::NotResident);
        };
        if adapter != wanted.adapter {
            self.totals.violations.wrong_adapters += 1;
        }
        self.totals.outcomes[request].load_stall = since.saturating_sub(wanted.arrival);
        self.engines[engine].waiting.push_back(Attempt {
            request,
            id: attempt,
            load: load.clone(),
            tokens_left: wanted.tokens,
            awaits_first_token: true,
        });
        self.begin_step(engine);
        Ok(())
    }

    fn begin_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        if let Some(time) = self.engines[engine].begin_step() {
            self.step_ids[engine] += 1;
            let id = self.step_ids[engine];
            self.schedule(self.now + time, Event::EndStep(engine, id));
        }
    }

    fn end_step<D: PolicyDriver<Message = M>>(&mut self, driver: &mut D, engine: usize, id: u64) {
        if self.step_ids[engine] != id {
            return;
        }
        if self.is_measuring() {
            self.totals.steps += 1;
            self.totals.step_requests += self.engines[engine].running.len() as u64;
        }
        let (started, ended) = self.engines[engine].end_step();
        for attempt in started {
            let outcome = &mut self.totals.outcomes[attempt.request];
            outcome.first_token_at.get_or_insert(self.now);
        }
        for attempt in &ended {
            self.totals.outcomes[attempt.request].served = true;
            driver.on_attempt_end(self, engine, attempt, AttemptOutcome::Complete);
        }
        self.begin_step(engine);
    }

    /// Starts a load; `sender` is the fencing token with the ordering instance.
    ///
    /// # Errors
    ///
    /// Returns the result of a load that can't start.
    pub(crate) fn start_load(
        &mut self,
        engine: usize,
        load: &LoadName,
        adapter: u32,
        sender: (FencingToken, usize),
    ) -> Result<(), LoadResult> {
        if self.engine_down[engine] {
            return Err(LoadResult::Failed);
        }
        self.check_fencing(engine, sender)?;
        let engine_state = &mut self.engines[engine];
        if engine_state.loads.len() >= engine_state.slots as usize {
            return Err(LoadResult::SlotsFull);
        }
        let resident_since = None;
        engine_state.loads.insert(
            load.clone(),
            EngineLoad {
                adapter,
                resident_since,
            },
        );
        let transfer = Transfer {
            engine,
            incarnation: engine_state.incarnation,
            load: load.clone(),
        };
        if self.is_measuring() {
            self.totals.loads += 1;
        }
        if !self.store.submit(self.now, transfer) {
            self.totals.violations.store_limits += 1;
        }
        self.start_transfers();
        Ok(())
    }

    /// Checks the fencing token of an order, and counts an accepted one that has an older token, or
    /// the holder's token but another sender.
    ///
    /// # Errors
    ///
    /// Returns [`LoadResult::Stale`] when the engine checks fencing tokens and has seen a higher one.
    fn check_fencing(
        &mut self,
        engine: usize,
        sender: (FencingToken, usize),
    ) -> Result<(), LoadResult> {
        let engine_state = &mut self.engines[engine];
        if engine_state.checks_fencing && sender.0 < engine_state.max_fence {
            return Err(LoadResult::Stale(engine_state.max_fence));
        }
        engine_state.max_fence = engine_state.max_fence.max(sender.0);
        let holder = self.holders.entry(engine).or_insert(sender);
        if sender.0 < holder.0 || (sender.0 == holder.0 && sender.1 != holder.1) {
            self.totals.violations.rival_holders += 1;
        } else {
            *holder = sender;
        }
        Ok(())
    }

    /// Unloads a load; returns whether it is gone from the engine.
    pub(crate) fn unload(
        &mut self,
        engine: usize,
        load: &LoadName,
        sender: (FencingToken, usize),
    ) -> bool {
        if self.engine_down[engine] || self.check_fencing(engine, sender).is_err() {
            return false;
        }
        if self.engines[engine].attempt_count(load) > 0 {
            self.totals.violations.pinned_evictions += 1;
        }
        if self.engines[engine].loads.remove(load).is_some() && self.is_measuring() {
            self.totals.evictions += 1;
        }
        true
    }

    /// Starts the transfers that the store's rate allows and schedules their ends.
    fn start_transfers(&mut self) {
        while let Some((transfer, time)) = self.store.start_next(self.now) {
            let lost = self.store.down && self.rng.random::<f64>() < LOST_RESULT_SHARE;
            let (time, result) = match (self.store.down, lost) {
                (true, true) => (time, LoadResult::Unknown),
                (true, false) => (LOAD_FAIL_DELAY, LoadResult::Failed),
                _ => (time, LoadResult::Resident),
            };
            self.schedule(self.now + time, Event::Transferred(transfer, result));
        }
        if let Some(wait) = self.store.time_to_start()
            && !self.store_event_pending
        {
            self.store_event_pending = true;
            self.schedule(self.now + wait, Event::StoreReady);
        }
    }

    /// Ends a transfer; one to an engine that has restarted meanwhile fails.
    fn end_transfer<D: PolicyDriver<Message = M>>(
        &mut self,
        driver: &mut D,
        transfer: &Transfer,
        result: LoadResult,
    ) {
        self.store.in_flight -= 1;
        let engine = transfer.engine;
        let engine_state = &mut self.engines[engine];
        if engine_state.incarnation != transfer.incarnation {
            driver.on_load_end(self, engine, &transfer.load, LoadResult::Failed);
            return;
        }
        if result == LoadResult::Failed {
            engine_state.loads.remove(&transfer.load);
        } else if let Some(load_state) = engine_state.loads.get_mut(&transfer.load) {
            load_state.resident_since = Some(self.now);
        }
        driver.on_load_end(self, engine, &transfer.load, result);
    }

    /// Applies a fault; a restart aborts the engine's attempts, which end as not run.
    fn apply_fault<D: PolicyDriver<Message = M>>(&mut self, driver: &mut D, fault: Fault) {
        match fault {
            Fault::StoreSlowdown(factor) => self.store.slowdown = factor,
            Fault::StoreDown(down) => self.store.down = down,
            Fault::Cut(cut) => self.is_zone_cut = cut,
            Fault::Restart(engine) => {
                self.engine_down[engine] = true;
                self.step_ids[engine] += 1;
                for attempt in self.engines[engine].restart() {
                    driver.on_attempt_end(self, engine, &attempt, AttemptOutcome::NotRun);
                }
                let back = Event::Fault(Fault::Restarted(engine));
                self.schedule(self.now + ENGINE_DOWN_TIME, back);
            }
            Fault::Restarted(engine) => {
                self.engine_down[engine] = false;
                driver.on_engine_restart(self, engine);
            }
        }
    }

    /// Returns whether an engine answers calls.
    pub(crate) fn is_up(&self, engine: usize) -> bool {
        !self.engine_down[engine]
    }

    /// Records the refusal of a request.
    pub(crate) fn record_refusal(&mut self, request: usize) {
        self.totals.outcomes[request].refused = true;
    }

    /// Returns the one-way delay between two zones, in microseconds.
    pub(crate) fn delay(&self, a: usize, b: usize) -> u64 {
        if a == b {
            MILLISECOND / 4
        } else {
            self.plan.zone_delay_us
        }
    }

    /// Returns whether messages pass between two zones; only the last zone can be cut off.
    pub(crate) fn is_connected(&self, a: usize, b: usize) -> bool {
        !self.is_zone_cut || (a == 2) == (b == 2)
    }
}
