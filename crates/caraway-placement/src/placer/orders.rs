//! Sends orders, one at a time to each endpoint, and handles their outcomes.

use std::time::{Duration, Instant};

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action, Order, OrderEnd, OrderNumber, Output,
    replica::{Held, Outstanding, Phase, Poll, Replica, Timing, Todo},
};

/// Weight of the newest load in the moving average of load times.
const NEWEST_WEIGHT: f64 = 0.1;
/// Attempts of an order without response after which the endpoint's report is fetched instead.
const SENDINGS: u8 = 3;
/// Multiple of the average load time after which the endpoint's report is fetched.
const STUCK_LOADS: u32 = 10;
/// Multiple of the shortest load time above which a load counts as slowed by concurrent ones.
const SLOW_LOAD: f64 = 1.2;
/// Change of the limit of concurrent loads after each load.
const LIMIT_STEP: f64 = 0.2;
/// Delay before a poll is repeated that conflicted with another order: a few round trips within a
/// zone.
const POLL_AGAIN: Duration = Duration::from_millis(2);
/// Delay of the next poll as a fraction of the load's time so far, if that is longer than the poll
/// interval; keeps slow loads from causing ever more polls in total.
const POLL_PART: f64 = 0.1;
/// Fraction of the average load time after which a load is first polled.
const FIRST_POLL_PART: f64 = 0.96;
/// Consecutive loads found complete by their first poll from which they count towards the average
/// load time. A third or more of the adapters that a zone needs are in its engines' memory, from
/// which they load faster.
const QUICK_LOADS: u32 = 16;

impl Placer {
    /// Handles the outcome of an order.
    pub fn on_order_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        number: OrderNumber,
        end: OrderEnd,
    ) {
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let poll = replica.polls.remove(&number);
        // A load that is still in progress changes nothing for other requests.
        let is_news = poll.is_none() || end != OrderEnd::Accepted;
        let order = replica.outstanding.take_if(|o| o.number == number);
        match end {
            OrderEnd::Fenced => {
                self.outputs.push(Output::Deposed(endpoint.clone()));
                return;
            }
            OrderEnd::Elsewhere => {
                self.on_gone(now, endpoint);
                return;
            }
            _ => {}
        }
        if let Some(poll) = poll {
            if poll.model.adapter.is_none() {
                self.on_weights_poll(now, endpoint, &poll.model, end);
            } else {
                self.on_poll_end(now, endpoint, &poll, end);
            }
        } else if let Some(order) = order {
            if order.model.adapter.is_none() {
                self.on_weights_end(now, endpoint, &order.model, end);
            } else {
                self.on_change_end(now, endpoint, order, end);
            }
        }
        self.pump(now, endpoint);
        if is_news {
            self.plan(now);
        }
    }

    /// Sends every endpoint the orders and polls that are due.
    pub(super) fn pump_all(&mut self, now: Instant) {
        let ids: Vec<EndpointId> = self.replicas.keys().cloned().collect();
        for id in ids {
            self.pump(now, &id);
        }
    }

    /// Sends an endpoint what is due: the next order if none is in flight, and polls of loads in
    /// progress.
    pub(super) fn pump(&mut self, now: Instant, endpoint: &EndpointId) {
        if self.leaving {
            return;
        }
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        if let Some(order) = replica.next_order(now, self.last_number + 1) {
            self.last_number += 1;
            self.outputs.push(Output::Order(order));
        }
        while let Some(poll) = replica.next_poll(now, self.last_number + 1) {
            self.last_number += 1;
            self.outputs.push(Output::Order(poll));
        }
    }

    fn on_change_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        order: Outstanding,
        end: OrderEnd,
    ) {
        if end == OrderEnd::Unanswered && order.sent + 1 < SENDINGS {
            // The endpoint carries out only one of several attempts, as each expects the same
            // number of accepted orders.
            if let Some(replica) = self.replicas.get_mut(endpoint) {
                replica.todo.push_front(Todo {
                    action: order.action,
                    model: order.model,
                    sent: order.sent + 1,
                });
            }
            return;
        }
        match end {
            OrderEnd::Unanswered | OrderEnd::Conflict => {
                self.on_doubt(now, endpoint, order, end);
            }
            _ => match order.action {
                Action::Load => self.on_load_end(now, endpoint, &order.model, end),
                Action::Unload => self.on_unload_end(now, endpoint, &order.model, end),
            },
        }
    }

    /// Handles an outcome that leaves it unknown what the endpoint holds.
    fn on_doubt(&mut self, now: Instant, endpoint: &EndpointId, order: Outstanding, end: OrderEnd) {
        let lag = self.settings.report_lag;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(held) = replica.held.get_mut(&order.model) else {
            return;
        };
        if end == OrderEnd::Conflict {
            replica.todo.push_front(Todo {
                action: order.action,
                model: order.model,
                sent: 0,
            });
            replica.doubt(now, Duration::ZERO);
        } else {
            held.phase = Phase::Doubtful;
            replica.doubt(now, lag);
        }
    }

    fn on_load_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        end: OrderEnd,
    ) {
        let expected = self.first_poll();
        let (reload, pause) = (self.settings.reload, self.settings.pause);
        let (recent_limit, lag) = (self.settings.recent, self.settings.report_lag);
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let has_past = replica.has_past();
        let Some(held) = replica.held.get_mut(model) else {
            return;
        };
        match end {
            OrderEnd::Accepted => {
                let (wait, timing) = match (held.recent, has_past) {
                    (true, _) => (reload, Timing::Started),
                    (false, true) => (reload, Timing::Early),
                    (false, false) => (expected, Timing::Started),
                };
                let poll = Some(now + wait);
                held.phase = Phase::Loading { since: now, poll };
                held.timing = timing;
                self.fetched += u64::from(!held.recent);
                replica.count_order(now);
            }
            OrderEnd::Holds => {
                held.set_ready();
                replica.remember(model, recent_limit);
                self.serve_model(now, model);
            }
            OrderEnd::NotSent => {
                replica.unplan(model);
                replica.paused = Some(now + pause);
            }
            _ => {
                replica.unplan(model);
                replica.doubt(now, lag);
            }
        }
    }

    fn on_poll_end(&mut self, now: Instant, endpoint: &EndpointId, asked: &Poll, end: OrderEnd) {
        let model = &asked.model;
        let (step, lag) = (self.settings.poll, self.settings.report_lag);
        let (pause, patience) = (self.settings.pause, self.load_time * STUCK_LOADS);
        let expected = self.first_poll();
        let recent_limit = self.settings.recent;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(held) = replica.held.get_mut(model) else {
            return;
        };
        let Phase::Loading { since, poll } = &mut held.phase else {
            return;
        };
        let was_missed = held.missed;
        held.missed = matches!(end, OrderEnd::Unanswered | OrderEnd::NotSent);
        match end {
            OrderEnd::Holds => {
                let (since, recent, timing) = (*since, held.recent, held.timing);
                held.set_ready();
                replica.remember(model, recent_limit);
                // If the endpoint missed the last poll, the load may have completed at any time
                // since.
                if !recent && !was_missed {
                    self.note_load(now.saturating_duration_since(since), timing);
                }
                self.serve_model(now, model);
            }
            OrderEnd::NotSent => {
                *poll = Some(now + pause);
                replica.paused = Some(now + pause);
            }
            // Another order was accepted meanwhile, or its response is still in flight.
            OrderEnd::Conflict
                if replica.outstanding.is_some()
                    || replica.orders.is_some_and(|o| o != asked.expect) =>
            {
                *poll = Some(now + POLL_AGAIN);
            }
            OrderEnd::Conflict => {
                *poll = Some(now + step);
                replica.doubt(now, Duration::ZERO);
            }
            OrderEnd::Accepted if held.timing == Timing::Early => {
                held.timing = Timing::Started;
                *poll = Some((*since + expected).max(now + step));
            }
            _ => {
                if held.timing == Timing::Started && end == OrderEnd::Accepted {
                    held.timing = Timing::Awaited;
                }
                let took = now.saturating_duration_since(*since);
                *poll = Some(now + step.max(took.mul_f64(POLL_PART)));
                if took > patience && replica.orders.is_some() {
                    replica.doubt(now, lag);
                }
            }
        }
    }

    fn on_unload_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        end: OrderEnd,
    ) {
        let (lag, pause) = (self.settings.report_lag, self.settings.pause);
        let recent_limit = self.settings.recent;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(held) = replica.held.get_mut(model) else {
            return;
        };
        match end {
            OrderEnd::Holds => {
                replica.held.remove(model);
                replica.remember(model, recent_limit);
                replica.count_order(now);
            }
            OrderEnd::Accepted => {
                held.phase = Phase::Unloading;
                replica.count_order(now);
                replica.report_at = Some(now + lag);
            }
            OrderEnd::NotSent => {
                held.phase = Phase::Ready;
                replica.paused = Some(now + pause);
            }
            _ => {
                replica.held.remove(model);
                replica.doubt(now, lag);
            }
        }
    }

    /// Returns the time after the start of a load from the weight store at which it is first
    /// polled.
    fn first_poll(&self) -> Duration {
        self.load_time.mul_f64(FIRST_POLL_PART)
    }

    /// Records how long a load took and adjusts the limit of concurrent loads.
    ///
    /// Other zones use the same weight store, and its free capacity is not reported. Loads that
    /// take longer than the shortest one indicate that too many are in flight.
    ///
    /// A load found complete by its first poll says little about load times: if the endpoint had
    /// the adapter in memory since the time of an earlier holder, it was complete long before.
    fn note_load(&mut self, took: Duration, timing: Timing) {
        self.quick_loads = match timing {
            Timing::Unknown | Timing::Early => return,
            Timing::Started => self.quick_loads + 1,
            Timing::Awaited => 0,
        };
        if timing == Timing::Awaited || self.quick_loads >= QUICK_LOADS {
            let (old, new) = (self.load_time.as_secs_f64(), took.as_secs_f64());
            let average = old + NEWEST_WEIGHT * (new - old);
            self.load_time = Duration::from_secs_f64(average.max(0.0));
            let least = self.least_load.map_or(took, |l| l.min(took));
            self.least_load = Some(least);
        }
        let is_slowed = self.least_load.is_some_and(|l| took > l.mul_f64(SLOW_LOAD));
        let step = if is_slowed { -LIMIT_STEP } else { LIMIT_STEP };
        let (floor, ceiling) = self.transit_bounds();
        self.transit_limit = (self.transit_limit + step).clamp(floor, ceiling);
    }

    /// Clamps the limit of concurrent loads to its bounds when endpoints come and go.
    pub(super) fn fit_limit(&mut self) {
        let (floor, ceiling) = self.transit_bounds();
        self.transit_limit = self.transit_limit.clamp(floor, ceiling);
    }

    fn transit_bounds(&self) -> (f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let endpoints = self.replicas.len() as f64;
        let floor = (endpoints * self.settings.zone_transit).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let ceiling = endpoints * self.settings.endpoint_transit as f64;
        (floor, ceiling.max(floor))
    }
}

impl Replica {
    /// Returns when the next poll or report is due.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let can_report = !self.reporting && self.outstanding.is_none();
        let report = self.report_at.filter(|_| can_report);
        let polls = self.held.values().filter_map(|h| h.phase.poll());
        let weights = self.weights.as_ref().and_then(|w| w.phase.poll());
        let polls = polls.chain(weights).filter(|_| self.orders.is_some());
        polls.chain(report).min()
    }

    /// Records that the endpoint has accepted an order.
    pub(super) fn count_order(&mut self, now: Instant) {
        self.orders = self.orders.map(|n| n + 1);
        self.ordered = Some(now);
    }

    /// Marks the number of accepted orders as unknown; a report is due after `lag`.
    pub(super) fn doubt(&mut self, now: Instant, lag: Duration) {
        if let Some(orders) = self.orders.take() {
            self.at_least = orders;
            self.ordered = Some(now);
        }
        self.report_at = Some(now + lag);
    }

    /// Removes and returns the next order that can be sent.
    fn next_order(&mut self, now: Instant, number: OrderNumber) -> Option<Order> {
        let expect = self.orders?;
        if self.outstanding.is_some() || self.paused.is_some_and(|until| now < until) {
            return None;
        }
        let Todo {
            action,
            model,
            sent,
        } = self.next_todo()?;
        let version = self.load_version(action, &model);
        self.outstanding = Some(Outstanding {
            number,
            action,
            model: model.clone(),
            sent,
        });
        Some(Order {
            number,
            endpoint: self.endpoint.id.clone(),
            action,
            model,
            version,
            expect,
            is_poll: false,
        })
    }

    /// Returns the version that an order to load `model` names.
    fn load_version(&self, action: Action, model: &ModelRef) -> Option<u64> {
        let held = self.held.get(model).filter(|_| action == Action::Load)?;
        Some(held.version).filter(|v| *v > 0)
    }

    /// Returns the next poll that is due.
    fn next_poll(&mut self, now: Instant, number: OrderNumber) -> Option<Order> {
        let expect = self.orders?;
        if let Some(weights) = &mut self.weights
            && let Phase::Loading { poll, .. } = &mut weights.phase
            && poll.is_some_and(|at| at <= now)
        {
            *poll = None;
            let model = ModelRef {
                model: weights.model.clone(),
                adapter: None,
            };
            return Some(self.ask_whether_there(number, model, expect));
        }
        let mut due = None;
        for (model, held) in &mut self.held {
            if let Phase::Loading { poll, .. } = &mut held.phase
                && poll.is_some_and(|at| at <= now)
            {
                *poll = None;
                due = Some(model.clone());
                break;
            }
        }
        due.map(|model| self.ask_whether_there(number, model, expect))
    }

    /// Builds a poll: it repeats the order to load `model`, and its outcome tells whether the load
    /// is complete.
    fn ask_whether_there(&mut self, number: OrderNumber, model: ModelRef, expect: u64) -> Order {
        let asked = Poll {
            model: model.clone(),
            expect,
        };
        self.polls.insert(number, asked);
        let version = self.load_version(Action::Load, &model);
        Order {
            number,
            endpoint: self.endpoint.id.clone(),
            action: Action::Load,
            model,
            version,
            expect,
            is_poll: true,
        }
    }

    /// Removes and returns the first queued order that can be carried out now.
    fn next_todo(&mut self) -> Option<Todo> {
        let mut todo = std::mem::take(&mut self.todo);
        todo.retain(|t| is_planned(t, self.phase(&t.model)));
        self.todo = todo;
        let is_full = self.occupied() >= self.places;
        let fits = |t: &Todo| {
            let needs_place = t.action == Action::Load && t.model.adapter.is_some();
            !needs_place || !is_full
        };
        if let Some(first) = self.todo.iter().position(fits) {
            return self.todo.remove(first);
        }
        if !self.frees_place()
            && let Some(todo) = self.todo.pop_front()
        {
            // No unload will free a slot for it any more, so another plan is needed.
            self.unplan(&todo.model);
        }
        None
    }

    /// Cancels a queued load; the version that it would have replaced stays.
    fn unplan(&mut self, model: &ModelRef) {
        let former = self.held.get(model).and_then(|h| h.former);
        match former {
            Some(version) => {
                self.held.insert(model.clone(), Held::ready(version));
            }
            None => {
                self.held.remove(model);
            }
        }
    }
}

/// Returns whether a queued order is still valid in this phase of its adapter or weights.
fn is_planned(todo: &Todo, phase: Option<Phase>) -> bool {
    match todo.action {
        Action::Unload => phase == Some(Phase::Leaving),
        Action::Load => phase == Some(Phase::Planned),
    }
}
