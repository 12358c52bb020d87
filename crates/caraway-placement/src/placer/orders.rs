//! Orders: one at a time to each endpoint, and what their ends say.

use std::time::{Duration, Instant};

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action, OrderEnd, OrderNumber, Output,
    replica::{Outstanding, Phase, Replica, Todo},
};

/// Weight of the newest load in the average time of a load.
const NEWEST_WEIGHT: f64 = 0.1;
/// Part of a load's expected time after which it is asked for the first time.
const FIRST_POLL_PART: f64 = 0.96;

impl Placer {
    /// Notes how an order ended.
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
        let Some(order) = replica.outstanding.take_if(|o| o.number == number) else {
            return;
        };
        match end {
            OrderEnd::Fenced => {
                self.outputs.push(Output::Deposed(endpoint.clone()));
                return;
            }
            OrderEnd::Elsewhere => {
                self.on_gone(now, endpoint);
                return;
            }
            _ if order.is_poll => self.on_poll_end(now, endpoint, &order.model, end),
            _ => match order.action {
                Action::Load => self.on_load_end(now, endpoint, &order.model, end),
                Action::Unload => self.on_unload_end(now, endpoint, &order.model, end),
            },
        }
        self.pump(now, endpoint);
        self.plan(now);
    }

    /// Sends what is due to every endpoint.
    pub(super) fn pump_all(&mut self, now: Instant) {
        let ids: Vec<EndpointId> = self.replicas.keys().cloned().collect();
        for id in ids {
            self.pump(now, &id);
        }
    }

    /// Sends the next order to an endpoint that has none outstanding.
    pub(super) fn pump(&mut self, now: Instant, endpoint: &EndpointId) {
        if self.leaving {
            return;
        }
        let number = self.last_number + 1;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some((outstanding, expect)) = replica.next_order(now, number) else {
            return;
        };
        let (action, model) = (outstanding.action, outstanding.model.clone());
        replica.outstanding = Some(outstanding);
        self.last_number = number;
        self.order(endpoint, number, (action, model, expect));
    }

    fn on_load_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        end: OrderEnd,
    ) {
        let expected = self.load_time.mul_f64(FIRST_POLL_PART);
        let (reload, pause) = (self.settings.reload, self.settings.pause);
        let (recent_limit, lag) = (self.settings.recent, self.settings.report_lag);
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        let Some(held) = replica.held.get_mut(model) else {
            return;
        };
        match end {
            OrderEnd::Accepted => {
                let wait = if held.recent { reload } else { expected };
                let poll = now + wait;
                held.phase = Phase::Loading { since: now, poll };
                self.fetched += u64::from(!held.recent);
                replica.count_order(now);
            }
            OrderEnd::Holds => {
                held.phase = Phase::Ready;
                replica.remember(model, recent_limit);
                self.serve_model(now, model);
            }
            OrderEnd::Unanswered => {
                held.phase = Phase::Doubtful;
                replica.doubt(now, lag);
            }
            OrderEnd::Conflict => {
                replica.todo.push_front(Todo {
                    action: Action::Load,
                    model: model.clone(),
                });
                replica.doubt(now, lag);
            }
            OrderEnd::NotSent => {
                replica.held.remove(model);
                replica.paused = Some(now + pause);
            }
            OrderEnd::Rejected | OrderEnd::Fenced | OrderEnd::Elsewhere => {
                replica.held.remove(model);
                replica.doubt(now, lag);
            }
        }
    }

    fn on_poll_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        end: OrderEnd,
    ) {
        let (step, lag) = (self.settings.poll, self.settings.report_lag);
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
        match end {
            OrderEnd::Holds => {
                let (since, recent) = (*since, held.recent);
                held.phase = Phase::Ready;
                replica.remember(model, recent_limit);
                if !recent {
                    self.average_load(now.saturating_duration_since(since));
                }
                self.serve_model(now, model);
            }
            OrderEnd::Accepted => *poll = now + step,
            _ => {
                *poll = now + step;
                replica.doubt(now, lag);
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
            OrderEnd::Unanswered => {
                held.phase = Phase::Doubtful;
                replica.doubt(now, lag);
            }
            OrderEnd::Conflict => {
                replica.todo.push_front(Todo {
                    action: Action::Unload,
                    model: model.clone(),
                });
                replica.doubt(now, lag);
            }
            OrderEnd::NotSent => {
                held.phase = Phase::Ready;
                replica.paused = Some(now + pause);
            }
            OrderEnd::Rejected | OrderEnd::Fenced | OrderEnd::Elsewhere => {
                replica.held.remove(model);
                replica.doubt(now, lag);
            }
        }
    }

    fn average_load(&mut self, took: Duration) {
        let (old, new) = (self.load_time.as_secs_f64(), took.as_secs_f64());
        let average = old + NEWEST_WEIGHT * (new - old);
        self.load_time = Duration::from_secs_f64(average.max(0.0));
    }
}

impl Replica {
    /// Returns when something is due without an event.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let report = self.report_at.filter(|_| !self.reporting);
        if self.outstanding.is_some() || self.orders.is_none() {
            return report;
        }
        let polls = self.held.values().filter_map(|h| match h.phase {
            Phase::Loading { poll, .. } => Some(poll),
            _ => None,
        });
        polls.chain(report).min()
    }

    /// Notes that the endpoint has accepted an order.
    fn count_order(&mut self, now: Instant) {
        self.orders = self.orders.map(|n| n + 1);
        self.ordered = Some(now);
    }

    /// Notes that the number of accepted orders is not known any more.
    fn doubt(&mut self, now: Instant, lag: Duration) {
        self.orders = None;
        self.ordered = Some(now);
        self.report_at = Some(now + lag);
    }

    /// Takes the next order that can be sent, with the number of orders that it expects.
    fn next_order(&mut self, now: Instant, number: OrderNumber) -> Option<(Outstanding, u64)> {
        let expect = self.orders?;
        if self.outstanding.is_some() || self.paused.is_some_and(|until| now < until) {
            return None;
        }
        if let Some(todo) = self.next_todo() {
            let outstanding = Outstanding {
                number,
                action: todo.action,
                is_poll: false,
                model: todo.model,
            };
            return Some((outstanding, expect));
        }
        let due = self
            .held
            .iter()
            .filter_map(|(model, held)| match held.phase {
                Phase::Loading { poll, .. } if poll <= now => Some((poll, model)),
                _ => None,
            });
        let (_, model) = due.min()?;
        let outstanding = Outstanding {
            number,
            action: Action::Load,
            is_poll: true,
            model: model.clone(),
        };
        Some((outstanding, expect))
    }

    /// Takes the first planned order that still makes sense, unless it has to wait for a place.
    fn next_todo(&mut self) -> Option<Todo> {
        while let Some(todo) = self.todo.front() {
            let held = self.held.get(&todo.model);
            let phase = held.map(|h| h.phase);
            match todo.action {
                Action::Unload if phase == Some(Phase::Leaving) => break,
                Action::Load if phase == Some(Phase::Planned) => {
                    if self.occupied() >= self.places {
                        return None;
                    }
                    break;
                }
                _ => {}
            }
            self.todo.pop_front();
        }
        self.todo.pop_front()
    }
}
