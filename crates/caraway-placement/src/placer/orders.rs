//! Sends orders, one at a time to each endpoint, and handles their outcomes.

use std::time::{Duration, Instant};

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action, Order, OrderNumber, OrderOutcome, Output,
    replica::{AdapterState, InFlightOrder, LoadPoll, LoadTiming, Phase, QueuedOrder, Replica},
};

/// Weight of the newest load in the moving average of load times.
const LOAD_TIME_SMOOTHING: f64 = 0.1;
/// Attempts of an order without response after which the endpoint's report is fetched instead.
const MAX_ATTEMPTS: u8 = 3;
/// Multiple of the average load time after which the endpoint's report is fetched.
const STUCK_LOAD_FACTOR: u32 = 10;
/// Multiple of the shortest load time above which a load counts as slowed by concurrent ones.
const SLOW_LOAD_FACTOR: f64 = 1.2;
/// Change of the limit of concurrent loads after each load.
const LOAD_LIMIT_STEP: f64 = 0.2;
/// Delay before repeating a poll that conflicted with another order: a few round trips within a
/// zone.
const POLL_CONFLICT_DELAY: Duration = Duration::from_millis(2);
/// Delay of the next poll as a fraction of the load's time so far, but at least the poll interval;
/// keeps slow loads from causing ever more polls in total.
const POLL_BACKOFF_FRACTION: f64 = 0.1;
/// Fraction of the average load time after which a load is first polled.
const FIRST_POLL_FRACTION: f64 = 0.96;
/// Minimum number of consecutive loads that were complete at their first poll for the last of them
/// to count towards the average load time. In a shorter sequence they may all be loads from the
/// endpoint's memory, which holds a third or more of the adapters that a zone needs.
const MIN_FIRST_POLL_LOADS: u32 = 16;

impl Placer {
    /// Handles the outcome of an order.
    pub fn on_order_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        number: OrderNumber,
        outcome: OrderOutcome,
    ) {
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let poll = replica.polls.remove(&number);
        // A load that is still in progress changes nothing for other requests.
        let may_change_plan = poll.is_none() || outcome != OrderOutcome::Accepted;
        let order = replica.in_flight.take_if(|o| o.number == number);
        match outcome {
            OrderOutcome::Fenced => {
                self.outputs.push(Output::Superseded(endpoint.clone()));
                return;
            }
            OrderOutcome::WrongEndpoint => {
                self.on_endpoint_gone(now, endpoint);
                return;
            }
            _ => {}
        }
        if let Some(poll) = poll {
            if poll.model.adapter.is_none() {
                self.on_weights_poll_outcome(now, endpoint, &poll.model, outcome);
            } else {
                self.on_poll_outcome(now, endpoint, &poll, outcome);
            }
        } else if let Some(order) = order {
            if order.model.adapter.is_none() {
                self.on_weights_outcome(now, endpoint, &order.model, outcome);
            } else {
                self.on_adapter_outcome(now, endpoint, order, outcome);
            }
        }
        self.send_due_orders(now, endpoint);
        if may_change_plan {
            self.plan_loads(now);
        }
    }

    /// Sends every endpoint the orders and polls that are due.
    pub(super) fn send_all_due(&mut self, now: Instant) {
        let ids: Vec<EndpointId> = self.replicas.keys().cloned().collect();
        for id in ids {
            self.send_due_orders(now, &id);
        }
    }

    /// Sends an endpoint what is due: the next order if none is in flight, and polls of loads in
    /// progress.
    pub(super) fn send_due_orders(&mut self, now: Instant, endpoint: &EndpointId) {
        if self.stopping {
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

    fn on_adapter_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        order: InFlightOrder,
        outcome: OrderOutcome,
    ) {
        if outcome == OrderOutcome::Unanswered && order.retries + 1 < MAX_ATTEMPTS {
            // The endpoint carries out only one of several attempts, as each expects the same
            // number of accepted orders.
            if let Some(replica) = self.replicas.get_mut(endpoint) {
                replica.queue.push_front(QueuedOrder {
                    action: order.action,
                    model: order.model,
                    retries: order.retries + 1,
                });
            }
            return;
        }
        match outcome {
            OrderOutcome::Unanswered | OrderOutcome::Conflict => {
                self.on_uncertain_outcome(now, endpoint, order, outcome);
            }
            _ => match order.action {
                Action::Load => self.on_load_outcome(now, endpoint, &order.model, outcome),
                Action::Unload => self.on_unload_outcome(now, endpoint, &order.model, outcome),
            },
        }
    }

    /// Handles an outcome that leaves it unknown what the endpoint holds.
    fn on_uncertain_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        order: InFlightOrder,
        outcome: OrderOutcome,
    ) {
        let lag = self.settings.report_lag;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(adapter) = replica.adapters.get_mut(&order.model) else {
            return;
        };
        if outcome == OrderOutcome::Conflict {
            replica.queue.push_front(QueuedOrder {
                action: order.action,
                model: order.model,
                retries: 0,
            });
            replica.mark_uncertain(now, Duration::ZERO);
        } else {
            adapter.phase = Phase::Uncertain;
            replica.mark_uncertain(now, lag);
        }
    }

    fn on_load_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        outcome: OrderOutcome,
    ) {
        let first_poll = self.first_poll_delay();
        let (reload, pause) = (self.settings.reload_time, self.settings.endpoint_pause);
        let (cache_limit, lag) = (self.settings.cached_adapters, self.settings.report_lag);
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let may_hold_unknown_copies = replica.may_hold_unknown_copies();
        let Some(adapter) = replica.adapters.get_mut(model) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                let (wait, timing) = match (adapter.cached, may_hold_unknown_copies) {
                    (true, _) => (reload, LoadTiming::Started),
                    (false, true) => (reload, LoadTiming::MaybeCached),
                    (false, false) => (first_poll, LoadTiming::Started),
                };
                let poll_at = Some(now + wait);
                adapter.phase = Phase::Loading {
                    since: now,
                    poll_at,
                };
                adapter.timing = timing;
                self.fetched += u64::from(!adapter.cached);
                replica.record_accepted(now);
            }
            OrderOutcome::Complete => {
                adapter.set_ready();
                replica.add_cached(model, cache_limit);
                self.grant_for_model(now, model);
            }
            OrderOutcome::NotSent => {
                replica.cancel_load(model);
                replica.paused_until = Some(now + pause);
            }
            _ => {
                replica.cancel_load(model);
                replica.mark_uncertain(now, lag);
            }
        }
    }

    fn on_poll_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        poll: &LoadPoll,
        outcome: OrderOutcome,
    ) {
        let model = &poll.model;
        let (poll_interval, lag) = (self.settings.poll_interval, self.settings.report_lag);
        let (pause, stuck_after) = (
            self.settings.endpoint_pause,
            self.load_time * STUCK_LOAD_FACTOR,
        );
        let first_poll = self.first_poll_delay();
        let cache_limit = self.settings.cached_adapters;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(adapter) = replica.adapters.get_mut(model) else {
            return;
        };
        let Phase::Loading { since, poll_at } = &mut adapter.phase else {
            return;
        };
        let last_poll_failed = adapter.poll_failed;
        adapter.poll_failed = matches!(outcome, OrderOutcome::Unanswered | OrderOutcome::NotSent);
        match outcome {
            OrderOutcome::Complete => {
                let (since, was_cached, timing) = (*since, adapter.cached, adapter.timing);
                adapter.set_ready();
                replica.add_cached(model, cache_limit);
                // If the endpoint missed the last poll, the load may have completed at any time
                // since.
                if !was_cached && !last_poll_failed {
                    self.record_load(now.saturating_duration_since(since), timing);
                }
                self.grant_for_model(now, model);
            }
            OrderOutcome::NotSent => {
                *poll_at = Some(now + pause);
                replica.paused_until = Some(now + pause);
            }
            // Another order was accepted meanwhile, or its response is still in flight.
            OrderOutcome::Conflict
                if replica.in_flight.is_some()
                    || replica
                        .accepted_orders
                        .is_some_and(|o| o != poll.expected_orders) =>
            {
                *poll_at = Some(now + POLL_CONFLICT_DELAY);
            }
            OrderOutcome::Conflict => {
                *poll_at = Some(now + poll_interval);
                replica.mark_uncertain(now, Duration::ZERO);
            }
            OrderOutcome::Accepted if adapter.timing == LoadTiming::MaybeCached => {
                adapter.timing = LoadTiming::Started;
                *poll_at = Some((*since + first_poll).max(now + poll_interval));
            }
            _ => {
                if adapter.timing == LoadTiming::Started && outcome == OrderOutcome::Accepted {
                    adapter.timing = LoadTiming::Incomplete;
                }
                let elapsed = now.saturating_duration_since(*since);
                *poll_at = Some(now + poll_interval.max(elapsed.mul_f64(POLL_BACKOFF_FRACTION)));
                if elapsed > stuck_after && replica.accepted_orders.is_some() {
                    replica.mark_uncertain(now, lag);
                }
            }
        }
    }

    fn on_unload_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        outcome: OrderOutcome,
    ) {
        let (lag, pause) = (self.settings.report_lag, self.settings.endpoint_pause);
        let cache_limit = self.settings.cached_adapters;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(adapter) = replica.adapters.get_mut(model) else {
            return;
        };
        match outcome {
            OrderOutcome::Complete => {
                replica.adapters.remove(model);
                replica.add_cached(model, cache_limit);
                replica.record_accepted(now);
            }
            OrderOutcome::Accepted => {
                adapter.phase = Phase::Unloading;
                replica.record_accepted(now);
                replica.report_at = Some(now + lag);
            }
            OrderOutcome::NotSent => {
                adapter.phase = Phase::Ready;
                replica.paused_until = Some(now + pause);
            }
            _ => {
                replica.adapters.remove(model);
                replica.mark_uncertain(now, lag);
            }
        }
    }

    /// Returns the time after the start of a load from the weight store at which it is first
    /// polled.
    fn first_poll_delay(&self) -> Duration {
        self.load_time.mul_f64(FIRST_POLL_FRACTION)
    }

    /// Records how long a load took and adjusts the limit of concurrent loads.
    ///
    /// Other zones use the same weight store, and its free capacity is not reported. Loads that
    /// take longer than the shortest one indicate that too many are in flight.
    ///
    /// A load that is complete at its first poll says little about load times: the endpoint may have
    /// loaded the adapter from its memory, long before the poll, without this placer knowing of the
    /// copy that an earlier holder's load left there.
    fn record_load(&mut self, elapsed: Duration, timing: LoadTiming) {
        self.first_poll_loads = match timing {
            LoadTiming::Unknown | LoadTiming::MaybeCached => return,
            LoadTiming::Started => self.first_poll_loads + 1,
            LoadTiming::Incomplete => 0,
        };
        if timing == LoadTiming::Incomplete || self.first_poll_loads >= MIN_FIRST_POLL_LOADS {
            let (old, new) = (self.load_time.as_secs_f64(), elapsed.as_secs_f64());
            let average = old + LOAD_TIME_SMOOTHING * (new - old);
            self.load_time = Duration::from_secs_f64(average.max(0.0));
            let least = self.min_load_time.map_or(elapsed, |l| l.min(elapsed));
            self.min_load_time = Some(least);
        }
        let is_slowed = self
            .min_load_time
            .is_some_and(|l| elapsed > l.mul_f64(SLOW_LOAD_FACTOR));
        let step = if is_slowed {
            -LOAD_LIMIT_STEP
        } else {
            LOAD_LIMIT_STEP
        };
        let (floor, ceiling) = self.load_limit_bounds();
        self.load_limit = (self.load_limit + step).clamp(floor, ceiling);
    }

    /// Clamps the limit of concurrent loads to its bounds when endpoints come and go.
    pub(super) fn clamp_load_limit(&mut self) {
        let (floor, ceiling) = self.load_limit_bounds();
        self.load_limit = self.load_limit.clamp(floor, ceiling);
    }

    fn load_limit_bounds(&self) -> (f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let endpoints = self.replicas.len() as f64;
        let floor = (endpoints * self.settings.load_limit_floor).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let ceiling = endpoints * self.settings.endpoint_load_limit as f64;
        (floor, ceiling.max(floor))
    }
}

impl Replica {
    /// Returns when the next poll or report is due.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let can_report = !self.report_pending && self.in_flight.is_none();
        let report = self.report_at.filter(|_| can_report);
        let polls = self.adapters.values().filter_map(|a| a.phase.poll_at());
        let weights = self.weights_load.as_ref().and_then(|w| w.phase.poll_at());
        let polls = polls
            .chain(weights)
            .filter(|_| self.accepted_orders.is_some());
        polls.chain(report).min()
    }

    /// Records that the endpoint has accepted an order.
    pub(super) fn record_accepted(&mut self, now: Instant) {
        self.accepted_orders = self.accepted_orders.map(|n| n + 1);
        self.last_ordered = Some(now);
    }

    /// Marks the number of accepted orders as unknown; a report is due after `lag`.
    pub(super) fn mark_uncertain(&mut self, now: Instant, lag: Duration) {
        if let Some(orders) = self.accepted_orders.take() {
            self.min_accepted = orders;
            self.last_ordered = Some(now);
        }
        self.report_at = Some(now + lag);
    }

    /// Removes and returns the next order that can be sent.
    fn next_order(&mut self, now: Instant, number: OrderNumber) -> Option<Order> {
        let expected_orders = self.accepted_orders?;
        if self.in_flight.is_some() || self.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        let QueuedOrder {
            action,
            model,
            retries,
        } = self.next_queued()?;
        let version = self.load_version(action, &model);
        self.in_flight = Some(InFlightOrder {
            number,
            action,
            model: model.clone(),
            retries,
        });
        Some(Order {
            number,
            endpoint: self.endpoint.id.clone(),
            action,
            model,
            version,
            expected_orders,
            is_poll: false,
        })
    }

    /// Returns the version that an order to load `model` names.
    fn load_version(&self, action: Action, model: &ModelRef) -> Option<u64> {
        let adapter = self
            .adapters
            .get(model)
            .filter(|_| action == Action::Load)?;
        Some(adapter.version).filter(|v| *v > 0)
    }

    /// Returns the next poll that is due.
    fn next_poll(&mut self, now: Instant, number: OrderNumber) -> Option<Order> {
        let expected_orders = self.accepted_orders?;
        if let Some(weights) = &mut self.weights_load
            && let Phase::Loading { poll_at, .. } = &mut weights.phase
            && poll_at.is_some_and(|at| at <= now)
        {
            *poll_at = None;
            let model = ModelRef {
                model: weights.model.clone(),
                adapter: None,
            };
            return Some(self.poll_order(number, model, expected_orders));
        }
        let mut due = None;
        for (model, adapter) in &mut self.adapters {
            if let Phase::Loading { poll_at, .. } = &mut adapter.phase
                && poll_at.is_some_and(|at| at <= now)
            {
                *poll_at = None;
                due = Some(model.clone());
                break;
            }
        }
        due.map(|model| self.poll_order(number, model, expected_orders))
    }

    /// Builds a poll: it repeats the order to load `model`, and its outcome tells whether the load
    /// is complete.
    fn poll_order(&mut self, number: OrderNumber, model: ModelRef, expected_orders: u64) -> Order {
        let poll = LoadPoll {
            model: model.clone(),
            expected_orders,
        };
        self.polls.insert(number, poll);
        let version = self.load_version(Action::Load, &model);
        Order {
            number,
            endpoint: self.endpoint.id.clone(),
            action: Action::Load,
            model,
            version,
            expected_orders,
            is_poll: true,
        }
    }

    /// Removes and returns the first queued order that can be carried out now.
    fn next_queued(&mut self) -> Option<QueuedOrder> {
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|o| is_still_valid(o, self.phase(&o.model)));
        self.queue = queue;
        let is_full = self.used_slots() >= self.adapter_slots;
        let fits = |o: &QueuedOrder| {
            let needs_slot = o.action == Action::Load && o.model.adapter.is_some();
            !needs_slot || !is_full
        };
        if let Some(first) = self.queue.iter().position(fits) {
            return self.queue.remove(first);
        }
        if !self.will_free_slot()
            && let Some(order) = self.queue.pop_front()
        {
            // No unload will free a slot for it any more, so another plan is needed.
            self.cancel_load(&order.model);
        }
        None
    }

    /// Cancels a queued load; the version that it would have replaced stays.
    fn cancel_load(&mut self, model: &ModelRef) {
        let replaces = self.adapters.get(model).and_then(|a| a.replaces);
        match replaces {
            Some(version) => {
                self.adapters
                    .insert(model.clone(), AdapterState::ready(version));
            }
            None => {
                self.adapters.remove(model);
            }
        }
    }
}

/// Returns whether a queued order is still valid in this phase of its adapter or weights.
fn is_still_valid(order: &QueuedOrder, phase: Option<Phase>) -> bool {
    match order.action {
        Action::Unload => phase == Some(Phase::UnloadQueued),
        Action::Load => phase == Some(Phase::LoadQueued),
    }
}
