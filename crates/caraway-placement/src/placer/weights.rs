//! Weights: which model an endpoint loads that holds none, as after a start.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Model, ModelRef};
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action, OrderEnd,
    replica::{Phase, Replica, Todo, WeightsLoad},
};

/// Loads of weights in a span that the platform allows beyond the weight store's rate.
const WINDOW_SLACK: f64 = 3.0;
/// Pause before a load of weights that the endpoint rejected is tried again.
const REJECTED_PAUSE: Duration = Duration::from_secs(2);

impl Placer {
    /// Plans loads of weights to endpoints that hold none: without them an endpoint serves nobody.
    pub(super) fn plan_weights(&mut self, now: Instant) {
        if self.leaving {
            return;
        }
        let window = self.settings.load_window;
        self.weight_loads.retain(|at| now < *at + window);
        let empty = self.replicas.iter().filter(|(_, r)| r.wants_weights(now));
        let empty: Vec<EndpointId> = empty.map(|(id, _)| id.clone()).collect();
        for id in empty {
            let Some(model) = self.missing_model(now, &id) else {
                continue;
            };
            if self.weight_loads.len() >= self.window_limit(&id) {
                return;
            }
            let Some(replica) = self.replicas.get_mut(&id) else {
                continue;
            };
            replica.weights = Some(WeightsLoad {
                model: model.clone(),
                phase: Phase::Planned,
            });
            replica.todo.push_back(Todo {
                action: Action::Load,
                model: ModelRef {
                    model,
                    adapter: None,
                },
                sent: 0,
            });
            self.weight_loads.push_back(now);
            self.pump(now, &id);
        }
    }

    /// Returns when a further load of weights may begin, where one is wanted.
    pub(super) fn weights_wake(&self) -> Option<Instant> {
        let is_empty = |r: &Replica| r.models.is_empty() && r.weights.is_none();
        let is_wanted = !self.leaving && self.replicas.values().any(is_empty);
        let first = self.weight_loads.front().filter(|_| is_wanted)?;
        Some(*first + self.settings.load_window)
    }

    /// Tells whether endpoints of `service` can hold `model`.
    pub(super) fn offers(&self, service: &str, model: &str) -> bool {
        let engine = self.engines.get(service);
        engine.is_some_and(|e| e.models.iter().any(|m| *m.name == *model))
    }

    /// Returns when an endpoint will hold `model`; `None` where one does, or where none loads it.
    pub(super) fn weights_ready(&self, now: Instant, model: &Arc<str>) -> Option<Instant> {
        if self.replicas.values().any(|r| r.has_model(model)) {
            return None;
        }
        let loading = self.replicas.values().filter_map(|r| {
            let weights = r.weights.as_ref().filter(|w| w.model == *model)?;
            let since = match weights.phase {
                Phase::Loading { since, .. } => since,
                _ => now,
            };
            let engine = self.engines.get(&r.endpoint.service)?;
            let spec = engine.models.iter().find(|m| m.name == *model)?;
            Some((since + spec.disk_load_time).max(now))
        });
        loading.min()
    }

    /// Notes how an order to load weights ended.
    pub(super) fn on_weights_end(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        end: OrderEnd,
    ) {
        let (lag, pause) = (self.settings.report_lag, self.settings.pause);
        let step = self.settings.weights_poll;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        match end {
            OrderEnd::Accepted => {
                if let Some(weights) = &mut replica.weights {
                    let poll = Some(now + step);
                    weights.phase = Phase::Loading { since: now, poll };
                }
                replica.count_order(now);
            }
            OrderEnd::Holds => self.on_weights(now, endpoint, &model.model),
            OrderEnd::NotSent => {
                replica.weights = None;
                replica.paused = Some(now + pause);
            }
            OrderEnd::Unanswered => {
                if let Some(weights) = &mut replica.weights {
                    weights.phase = Phase::Doubtful;
                }
                replica.doubt(now, lag);
            }
            OrderEnd::Conflict => {
                replica.weights = None;
                replica.doubt(now, Duration::ZERO);
            }
            _ => {
                replica.weights = None;
                replica.paused = Some(now + REJECTED_PAUSE);
            }
        }
    }

    /// Notes what an endpoint answered to the question whether its weights are there.
    pub(super) fn on_weights_poll(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        end: OrderEnd,
    ) {
        let step = self.settings.weights_poll;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        if end == OrderEnd::Holds {
            self.on_weights(now, endpoint, &model.model);
        } else if let Some(weights) = &mut replica.weights
            && let Phase::Loading { poll, .. } = &mut weights.phase
        {
            *poll = Some(now + step);
            if matches!(end, OrderEnd::Conflict | OrderEnd::Rejected) {
                replica.doubt(now, Duration::ZERO);
            }
        }
    }

    fn on_weights(&mut self, now: Instant, endpoint: &EndpointId, model: &Arc<str>) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.weights = None;
            replica.busy = false;
            replica.add_model(model);
        }
        self.serve(now, endpoint);
    }

    /// Chooses the model that an endpoint without one should hold: that which is asked for most
    /// against its copies.
    fn missing_model(&self, now: Instant, endpoint: &EndpointId) -> Option<Arc<str>> {
        let replica = self.replicas.get(endpoint)?;
        let engine = self.engines.get(&replica.endpoint.service)?;
        let fits = engine
            .models
            .iter()
            .filter(|m| m.weight_mb <= engine.memory_mb);
        let best = fits.max_by(|a, b| self.need(now, a).total_cmp(&self.need(now, b)));
        best.map(|m| m.name.clone())
    }

    /// Returns how much a model is asked for, against the endpoints that hold it or will.
    fn need(&self, now: Instant, model: &Model) -> f64 {
        let asked = self.popularity.keys().filter(|m| m.model == model.name);
        let asked: f64 = asked.map(|m| self.popularity_of(now, m)).sum();
        let holds = |r: &&Replica| {
            let coming = r.weights.as_ref().is_some_and(|w| w.model == model.name);
            coming || r.has_model(&model.name)
        };
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let copies = self.replicas.values().filter(holds).count() as f64;
        // One request more keeps models apart that nobody asks for.
        (asked + 1.0) / (copies + 1.0)
    }

    /// Returns how many loads of weights a span may have in this zone.
    fn window_limit(&self, endpoint: &EndpointId) -> usize {
        let replica = self.replicas.get(endpoint);
        let engine = replica.and_then(|r| self.engines.get(&r.endpoint.service));
        let rate = engine.map_or(0.0, |e| e.loads_per_second);
        let span = self.settings.load_window.as_secs_f64();
        let all = rate * span * self.settings.load_factor + WINDOW_SLACK;
        let share = all / f64::from(self.settings.zones.max(1));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count that is not negative; the largest is as good as no limit"
        )]
        let limit = share as usize;
        limit.max(1)
    }
}

impl Replica {
    /// Tells whether a load of weights can be ordered.
    fn wants_weights(&self, now: Instant) -> bool {
        let is_known = self.orders.is_some() && !self.busy;
        self.models.is_empty() && self.weights.is_none() && is_known && self.is_usable(now)
    }

    /// Notes that it holds the weights of `model`.
    pub(super) fn add_model(&mut self, model: &Arc<str>) {
        if !self.has_model(model) {
            self.models.push(model.clone());
        }
    }
}
