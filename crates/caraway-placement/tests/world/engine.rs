//! A simulated engine endpoint that holds adapters and carries out orders as the deployments'
//! engines do.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use caraway_placement::{Action, Order, OrderEnd, Report};
use caraway_routes::ModelRef;

use super::MODEL;

/// Time by which a report lags behind.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Time of a load from a copy in memory, as a fraction of a load from the weight store.
const RELOAD_PART: f64 = 0.1;

/// Result of an order.
pub(crate) enum Carried {
    /// The order ended with this outcome.
    End(OrderEnd),
    /// A fetch of the adapter from the weight store started.
    Fetched,
    /// A load of the model's weights started.
    Weights,
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
    leaving: bool,
}

/// A simulated engine endpoint.
#[derive(Debug)]
pub(crate) struct Engine {
    places: usize,
    limit: usize,
    orders: u64,
    /// When its model's weights are loaded; `None` if no load was ordered.
    weights: Option<Instant>,
    copies: HashMap<ModelRef, Copy>,
    /// Versions that are being replaced: the earliest time at which each is gone, and its runs.
    replaced: Vec<(ModelRef, Instant, u32)>,
    recent: VecDeque<(ModelRef, u64)>,
    history: VecDeque<(Instant, Report)>,
    pub(crate) unloads_under_run: usize,
    pub(crate) runs_begun: Vec<(ModelRef, u64)>,
}

impl Engine {
    /// Creates an engine that holds its model's weights from the time `weights` on.
    pub(crate) fn new(places: usize, limit: usize, weights: Option<Instant>) -> Self {
        Self {
            places,
            limit,
            orders: 0,
            weights,
            copies: HashMap::new(),
            replaced: Vec::new(),
            recent: VecDeque::new(),
            history: VecDeque::new(),
            unloads_under_run: 0,
            runs_begun: Vec::new(),
        }
    }

    /// Returns the number of adapters that it is fetching from the weight store.
    pub(crate) fn fetching(&self, now: Instant) -> usize {
        let fetching = |c: &&Copy| c.fetched && c.ready > now;
        self.copies.values().filter(fetching).count()
    }

    /// Returns whether it holds its model's weights.
    pub(crate) fn has_weights(&self, now: Instant) -> bool {
        self.weights.is_some_and(|at| at <= now)
    }

    /// Starts a run; returns false if the adapter is not ready.
    pub(crate) fn start_run(&mut self, now: Instant, model: &ModelRef) -> bool {
        if model.adapter.is_none() {
            return self.has_weights(now);
        }
        match self.copies.get_mut(model) {
            Some(copy) if copy.ready <= now && !copy.leaving => {
                copy.runs += 1;
                self.runs_begun.push((model.clone(), copy.version));
                true
            }
            _ => false,
        }
    }

    /// Returns the versions that runs started on, in order.
    pub(crate) fn versions_run(&self) -> impl Iterator<Item = u64> {
        self.runs_begun.iter().map(|(_, version)| *version)
    }

    pub(crate) fn end_run(&mut self, model: &ModelRef) {
        let former = self.replaced.iter_mut();
        if let Some((_, _, runs)) = former.into_iter().find(|(m, _, r)| m == model && *r > 0) {
            *runs -= 1;
            return;
        }
        if let Some(copy) = self.copies.get_mut(model) {
            copy.runs = copy.runs.saturating_sub(1);
            if copy.leaving && copy.runs == 0 {
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
    ) -> Carried {
        self.note(now);
        let carried = self.carry_out(now, order, load, version);
        self.note(now);
        carried
    }

    /// Returns the state of [`REPORT_LAG`] ago.
    pub(crate) fn report(&self, now: Instant) -> Report {
        let seen = now.checked_sub(REPORT_LAG).unwrap_or(now);
        let old = self.history.iter().rev().find(|(at, _)| *at <= seen);
        let mut report = old.map_or_else(Report::default, |(_, r)| r.clone());
        if self.weights.is_some_and(|at| at <= seen) {
            report.busy = false;
            report.models = vec![MODEL.into()];
        }
        // An adapter that was loading in the recorded state may have become ready by `seen`.
        let arrived = |m: &ModelRef| self.copies.get(m).is_some_and(|c| c.ready <= seen);
        let (there, coming): (Vec<_>, Vec<_>) = report.incoming.drain(..).partition(|m| arrived(m));
        report.incoming = coming;
        report.held.extend(there.into_iter().map(|m| (m, 1)));
        report
    }

    fn carry_out(&mut self, now: Instant, order: &Order, load: Duration, version: u64) -> Carried {
        let model = &order.model;
        if model.adapter.is_none() {
            return self.load_weights(now, order, load);
        }
        if !self.has_weights(now) {
            return Carried::End(OrderEnd::Rejected);
        }
        let current = self.copies.get(model).map(|c| (c.version, c.ready, c.runs));
        match (order.action, current) {
            (Action::Load, Some((held, ready, _))) if held == version => {
                if ready <= now {
                    return Carried::End(OrderEnd::Holds);
                }
                return Carried::End(OrderEnd::Accepted);
            }
            (Action::Unload, None) => return Carried::End(OrderEnd::Holds),
            _ => {}
        }
        if order.expect != self.orders {
            return Carried::End(OrderEnd::Conflict);
        }
        self.orders += 1;
        match order.action {
            Action::Unload => self.unload(model),
            Action::Load => self.load(now, model, load, version),
        }
    }

    fn load_weights(&mut self, now: Instant, order: &Order, load: Duration) -> Carried {
        match self.weights {
            Some(at) if at <= now => Carried::End(OrderEnd::Holds),
            Some(_) => Carried::End(OrderEnd::Accepted),
            None if order.expect == self.orders => {
                self.orders += 1;
                self.weights = Some(now + load);
                Carried::Weights
            }
            None => Carried::End(OrderEnd::Conflict),
        }
    }

    fn unload(&mut self, model: &ModelRef) -> Carried {
        let runs = self.copies.get(model).map_or(0, |c| c.runs);
        if runs > 0 {
            self.unloads_under_run += 1;
            if let Some(copy) = self.copies.get_mut(model) {
                copy.leaving = true;
            }
            return Carried::End(OrderEnd::Accepted);
        }
        self.copies.remove(model);
        Carried::End(OrderEnd::Holds)
    }

    fn load(&mut self, now: Instant, model: &ModelRef, load: Duration, version: u64) -> Carried {
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
        if self.copies.len() + self.replaced.len() >= self.places {
            self.copies.clear();
            self.replaced.clear();
            self.orders = 0;
            return Carried::Crashed;
        }
        let name = (model.clone(), version);
        let kept = self.recent.contains(&name);
        self.recent.retain(|r| *r != name);
        self.recent.push_back(name);
        if self.recent.len() > self.limit {
            self.recent.pop_front();
        }
        let took = if kept {
            load.mul_f64(RELOAD_PART)
        } else {
            load
        };
        let copy = Copy {
            version,
            ready: now + took,
            fetched: !kept,
            runs: 0,
            leaving: false,
        };
        self.copies.insert(model.clone(), copy);
        if kept {
            Carried::End(OrderEnd::Accepted)
        } else {
            Carried::Fetched
        }
    }

    fn note(&mut self, now: Instant) {
        let there = |c: &Copy| c.ready <= now;
        let has_weights = self.has_weights(now);
        let report = Report {
            orders: self.orders,
            busy: self.weights.is_some() && !has_weights,
            models: if has_weights {
                vec![MODEL.into()]
            } else {
                Vec::new()
            },
            held: self
                .copies
                .iter()
                .filter(|(_, c)| there(c))
                .map(|(m, c)| (m.clone(), c.version))
                .collect(),
            incoming: self
                .copies
                .iter()
                .filter(|(_, c)| !there(c))
                .map(|(m, _)| m.clone())
                .collect(),
            running: self.copies.values().map(|c| c.runs).sum(),
            waiting: 0,
        };
        self.history.push_back((now, report));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}

/// Number of recorded states that are kept for reports.
const HISTORY: usize = 64;
