//! A simulated engine endpoint that holds adapters and carries out orders as the deployments'
//! engines do.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use caraway_placement::{Action, Order, OrderOutcome, Report};
use caraway_routes::ModelRef;

use super::MODEL;

/// Time by which a report lags behind.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Time of a load from a copy in memory, as a fraction of a load from the weight store.
const RELOAD_FRACTION: f64 = 0.1;

/// Result of an order.
pub(crate) enum OrderEffect {
    /// The order ended with this outcome.
    Outcome(OrderOutcome),
    /// A fetch of the adapter from the weight store started.
    FetchStarted,
    /// A load of the model's weights started.
    WeightsLoadStarted,
    /// The endpoint had no slot left for the adapter and crashed.
    Crashed,
}

#[derive(Clone, Debug)]
struct Copy {
    version: u64,
    /// When the load is complete.
    ready: Instant,
    fetched: bool,
    runs: u32,
    unloading: bool,
}

/// A simulated engine endpoint.
#[derive(Debug)]
pub(crate) struct Engine {
    adapter_slots: usize,
    cache_limit: usize,
    accepted_orders: u64,
    /// When its model's weights are loaded; `None` if no load was ordered.
    weights_ready: Option<Instant>,
    copies: HashMap<ModelRef, Copy>,
    /// Versions that are being replaced: the earliest time at which each is gone, and its runs.
    replaced: Vec<(ModelRef, Instant, u32)>,
    cached: VecDeque<(ModelRef, u64)>,
    states: VecDeque<(Instant, Report)>,
    pub(crate) unloads_during_run: usize,
    pub(crate) runs_started: Vec<(ModelRef, u64)>,
}

impl Engine {
    /// Creates an engine that holds its model's weights from the time `weights_ready` on.
    pub(crate) fn new(
        adapter_slots: usize,
        cache_limit: usize,
        weights_ready: Option<Instant>,
    ) -> Self {
        Self {
            adapter_slots,
            cache_limit,
            accepted_orders: 0,
            weights_ready,
            copies: HashMap::new(),
            replaced: Vec::new(),
            cached: VecDeque::new(),
            states: VecDeque::new(),
            unloads_during_run: 0,
            runs_started: Vec::new(),
        }
    }

    /// Returns the number of adapters that it is fetching from the weight store.
    pub(crate) fn fetching(&self, now: Instant) -> usize {
        let fetching = |c: &&Copy| c.fetched && c.ready > now;
        self.copies.values().filter(fetching).count()
    }

    /// Returns whether it holds its model's weights.
    pub(crate) fn has_weights(&self, now: Instant) -> bool {
        self.weights_ready.is_some_and(|at| at <= now)
    }

    /// Starts a run; returns false if the adapter is not ready.
    pub(crate) fn start_run(&mut self, now: Instant, model: &ModelRef) -> bool {
        if model.adapter.is_none() {
            return self.has_weights(now);
        }
        match self.copies.get_mut(model) {
            Some(copy) if copy.ready <= now && !copy.unloading => {
                copy.runs += 1;
                self.runs_started.push((model.clone(), copy.version));
                true
            }
            _ => false,
        }
    }

    /// Returns the versions that runs started on, in order.
    pub(crate) fn run_versions(&self) -> impl Iterator<Item = u64> {
        self.runs_started.iter().map(|(_, version)| *version)
    }

    pub(crate) fn end_run(&mut self, model: &ModelRef) {
        let former = self.replaced.iter_mut();
        if let Some((_, _, runs)) = former.into_iter().find(|(m, _, r)| m == model && *r > 0) {
            *runs -= 1;
            return;
        }
        if let Some(copy) = self.copies.get_mut(model) {
            copy.runs = copy.runs.saturating_sub(1);
            if copy.unloading && copy.runs == 0 {
                self.copies.remove(model);
            }
        }
    }

    /// Carries out an order, and records the state before and after it for later reports.
    pub(crate) fn execute(
        &mut self,
        now: Instant,
        order: &Order,
        load: Duration,
        version: u64,
    ) -> OrderEffect {
        self.record_state(now);
        let effect = self.apply(now, order, load, version);
        self.record_state(now);
        effect
    }

    /// Returns the state of [`REPORT_LAG`] ago.
    pub(crate) fn report(&self, now: Instant) -> Report {
        let as_of = now.checked_sub(REPORT_LAG).unwrap_or(now);
        let old = self.states.iter().rev().find(|(at, _)| *at <= as_of);
        let mut report = old.map_or_else(Report::default, |(_, r)| r.clone());
        if self.weights_ready.is_some_and(|at| at <= as_of) {
            report.loading_weights = false;
            report.models = vec![MODEL.into()];
        }
        // An adapter that was loading in the recorded state may have become ready by `as_of`.
        let arrived = |m: &ModelRef| self.copies.get(m).is_some_and(|c| c.ready <= as_of);
        let (ready, incoming): (Vec<_>, Vec<_>) =
            report.incoming.drain(..).partition(|m| arrived(m));
        report.incoming = incoming;
        report.adapters.extend(ready.into_iter().map(|m| (m, 1)));
        report
    }

    fn apply(&mut self, now: Instant, order: &Order, load: Duration, version: u64) -> OrderEffect {
        let model = &order.model;
        if model.adapter.is_none() {
            return self.load_weights(now, order, load);
        }
        if !self.has_weights(now) {
            return OrderEffect::Outcome(OrderOutcome::Rejected);
        }
        let current = self.copies.get(model).map(|c| (c.version, c.ready, c.runs));
        match (order.action, current) {
            (Action::Load, Some((held, ready, _))) if held == version => {
                if ready <= now {
                    return OrderEffect::Outcome(OrderOutcome::Complete);
                }
                return OrderEffect::Outcome(OrderOutcome::Accepted);
            }
            (Action::Unload, None) => return OrderEffect::Outcome(OrderOutcome::Complete),
            _ => {}
        }
        if order.expected_orders != self.accepted_orders {
            return OrderEffect::Outcome(OrderOutcome::Conflict);
        }
        self.accepted_orders += 1;
        match order.action {
            Action::Unload => self.unload(model),
            Action::Load => self.load(now, model, load, version),
        }
    }

    fn load_weights(&mut self, now: Instant, order: &Order, load: Duration) -> OrderEffect {
        match self.weights_ready {
            Some(at) if at <= now => OrderEffect::Outcome(OrderOutcome::Complete),
            Some(_) => OrderEffect::Outcome(OrderOutcome::Accepted),
            None if order.expected_orders == self.accepted_orders => {
                self.accepted_orders += 1;
                self.weights_ready = Some(now + load);
                OrderEffect::WeightsLoadStarted
            }
            None => OrderEffect::Outcome(OrderOutcome::Conflict),
        }
    }

    fn unload(&mut self, model: &ModelRef) -> OrderEffect {
        let runs = self.copies.get(model).map_or(0, |c| c.runs);
        if runs > 0 {
            self.unloads_during_run += 1;
            if let Some(copy) = self.copies.get_mut(model) {
                copy.unloading = true;
            }
            return OrderEffect::Outcome(OrderOutcome::Accepted);
        }
        self.copies.remove(model);
        OrderEffect::Outcome(OrderOutcome::Complete)
    }

    fn load(
        &mut self,
        now: Instant,
        model: &ModelRef,
        load: Duration,
        version: u64,
    ) -> OrderEffect {
        self.replaced
            .retain(|(_, ready, runs)| *runs > 0 || *ready > now);
        if let Some(former) = self.copies.remove(model) {
            // A replacement waits for the runs of the former version, and both take a slot until
            // then, as two versions that are loading do.
            if former.runs > 0 || former.ready > now {
                let replaced = (model.clone(), former.ready, former.runs);
                self.replaced.push(replaced);
            }
        }
        if self.copies.len() + self.replaced.len() >= self.adapter_slots {
            self.copies.clear();
            self.replaced.clear();
            self.accepted_orders = 0;
            return OrderEffect::Crashed;
        }
        let name = (model.clone(), version);
        let was_cached = self.cached.contains(&name);
        self.cached.retain(|r| *r != name);
        self.cached.push_back(name);
        if self.cached.len() > self.cache_limit {
            self.cached.pop_front();
        }
        let load_time = if was_cached {
            load.mul_f64(RELOAD_FRACTION)
        } else {
            load
        };
        let copy = Copy {
            version,
            ready: now + load_time,
            fetched: !was_cached,
            runs: 0,
            unloading: false,
        };
        self.copies.insert(model.clone(), copy);
        if was_cached {
            OrderEffect::Outcome(OrderOutcome::Accepted)
        } else {
            OrderEffect::FetchStarted
        }
    }

    fn record_state(&mut self, now: Instant) {
        let is_ready = |c: &Copy| c.ready <= now;
        let has_weights = self.has_weights(now);
        let report = Report {
            accepted_orders: self.accepted_orders,
            loading_weights: self.weights_ready.is_some() && !has_weights,
            models: if has_weights {
                vec![MODEL.into()]
            } else {
                Vec::new()
            },
            adapters: self
                .copies
                .iter()
                .filter(|(_, c)| is_ready(c))
                .map(|(m, c)| (m.clone(), c.version))
                .collect(),
            incoming: self
                .copies
                .iter()
                .filter(|(_, c)| !is_ready(c))
                .map(|(m, _)| m.clone())
                .collect(),
            running: self.copies.values().map(|c| c.runs).sum(),
            waiting: 0,
        };
        self.states.push_back((now, report));
        if self.states.len() > MAX_STATES {
            self.states.pop_front();
        }
    }
}

/// Number of recorded states that are kept for reports.
const MAX_STATES: usize = 64;
