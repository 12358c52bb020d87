//! Loads model weights to endpoints that hold none, as after a start.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{Model, ModelRef};
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action, OrderOutcome,
    replica::{Phase, QueuedOrder, Replica, WeightsLoad},
};

/// Number of loads of weights that the platform allows in each
/// [`PlacerSettings::load_window`](crate::PlacerSettings::load_window), beyond those that the weight
/// store's rate yields.
const LOAD_WINDOW_SLACK: f64 = 3.0;
/// Delay before retrying a load of weights that the endpoint rejected.
const REJECTED_LOAD_DELAY: Duration = Duration::from_secs(2);

impl Placer {
    /// Plans loads of weights to endpoints that hold none; without weights an endpoint can't serve.
    pub(super) fn plan_weights(&mut self, now: Instant) {
        if self.stopping {
            return;
        }
        let window = self.settings.load_window;
        self.recent_weight_loads.retain(|at| now < *at + window);
        let empty = self.replicas.iter().filter(|(_, r)| r.needs_weights(now));
        let empty: Vec<EndpointId> = empty.map(|(id, _)| id.clone()).collect();
        for id in empty {
            let Some(model) = self.choose_model(now, &id) else {
                continue;
            };
            if self.recent_weight_loads.len() >= self.max_window_loads(&id) {
                return;
            }
            let Some(replica) = self.replicas.get_mut(&id) else {
                continue;
            };
            replica.weights_load = Some(WeightsLoad {
                model: model.clone(),
                phase: Phase::LoadQueued,
            });
            replica.queue.push_back(QueuedOrder {
                action: Action::Load,
                model: ModelRef {
                    model,
                    adapter: None,
                },
                retries: 0,
            });
            self.recent_weight_loads.push_back(now);
            self.send_due_orders(now, &id);
        }
    }

    /// Returns when the next load of weights may start, if an endpoint needs one.
    pub(super) fn next_weights_load(&self) -> Option<Instant> {
        let needs_load = |r: &Replica| r.models.is_empty() && r.weights_load.is_none();
        let is_needed = !self.stopping && self.replicas.values().any(needs_load);
        let first = self.recent_weight_loads.front().filter(|_| is_needed)?;
        Some(*first + self.settings.load_window)
    }

    /// Returns whether endpoints of `service` can hold `model`.
    pub(super) fn supports(&self, service: &str, model: &str) -> bool {
        let engine = self.engines.get(service);
        engine.is_some_and(|e| e.models.iter().any(|m| *m.name == *model))
    }

    /// Returns when the first endpoint will hold `model`; `None` if one holds it already or none
    /// loads it.
    pub(super) fn weights_ready_at(&self, now: Instant, model: &Arc<str>) -> Option<Instant> {
        if self.replicas.values().any(|r| r.has_model(model)) {
            return None;
        }
        let loading = self.replicas.values().filter_map(|r| {
            let weights = r.weights_load.as_ref().filter(|w| w.model == *model)?;
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

    /// Handles the outcome of an order to load weights.
    pub(super) fn on_weights_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        outcome: OrderOutcome,
    ) {
        let (lag, pause) = (self.settings.report_lag, self.settings.endpoint_pause);
        let poll_interval = self.settings.weights_poll_interval;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        match outcome {
            OrderOutcome::Accepted => {
                if let Some(weights) = &mut replica.weights_load {
                    let poll_at = Some(now + poll_interval);
                    weights.phase = Phase::Loading {
                        since: now,
                        poll_at,
                    };
                }
                replica.record_accepted(now);
            }
            OrderOutcome::Complete => self.on_weights_loaded(now, endpoint, &model.model),
            OrderOutcome::NotSent => {
                replica.weights_load = None;
                replica.paused_until = Some(now + pause);
            }
            OrderOutcome::Unanswered => {
                if let Some(weights) = &mut replica.weights_load {
                    weights.phase = Phase::Uncertain;
                }
                replica.mark_uncertain(now, lag);
            }
            OrderOutcome::Conflict => {
                replica.weights_load = None;
                replica.mark_uncertain(now, Duration::ZERO);
            }
            _ => {
                replica.weights_load = None;
                replica.paused_until = Some(now + REJECTED_LOAD_DELAY);
            }
        }
    }

    /// Handles the outcome of a poll of a load of weights.
    pub(super) fn on_weights_poll_outcome(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        model: &ModelRef,
        outcome: OrderOutcome,
    ) {
        let poll_interval = self.settings.weights_poll_interval;
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        if outcome == OrderOutcome::Complete {
            self.on_weights_loaded(now, endpoint, &model.model);
        } else if let Some(weights) = &mut replica.weights_load
            && let Phase::Loading { poll_at, .. } = &mut weights.phase
        {
            *poll_at = Some(now + poll_interval);
            if matches!(outcome, OrderOutcome::Conflict | OrderOutcome::Rejected) {
                replica.mark_uncertain(now, Duration::ZERO);
            }
        }
    }

    fn on_weights_loaded(&mut self, now: Instant, endpoint: &EndpointId, model: &Arc<str>) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.weights_load = None;
            replica.loading_weights = false;
            replica.add_model(model);
        }
        self.grant_for_endpoint(now, endpoint);
    }

    /// Chooses the model to load to an endpoint without one: the one with the highest demand per
    /// copy.
    fn choose_model(&self, now: Instant, endpoint: &EndpointId) -> Option<Arc<str>> {
        let replica = self.replicas.get(endpoint)?;
        let engine = self.engines.get(&replica.endpoint.service)?;
        let fits = engine
            .models
            .iter()
            .filter(|m| m.weight_mb <= engine.memory_mb);
        let best = fits.max_by(|a, b| {
            self.demand_per_copy(now, a)
                .total_cmp(&self.demand_per_copy(now, b))
        });
        best.map(|m| m.name.clone())
    }

    /// Returns the demand for a model per endpoint that holds it or is loading it.
    fn demand_per_copy(&self, now: Instant, model: &Model) -> f64 {
        let requests = self.popularity.keys().filter(|m| m.model == model.name);
        let requests: f64 = requests.map(|m| self.popularity_of(now, m)).sum();
        let holds = |r: &&Replica| {
            let is_loading = r
                .weights_load
                .as_ref()
                .is_some_and(|w| w.model == model.name);
            is_loading || r.has_model(&model.name)
        };
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let copies = self.replicas.values().filter(holds).count() as f64;
        // Adding one request ranks models without any by their number of copies.
        (requests + 1.0) / (copies + 1.0)
    }

    /// Returns how many loads of weights this zone may start per window.
    fn max_window_loads(&self, endpoint: &EndpointId) -> usize {
        let replica = self.replicas.get(endpoint);
        let engine = replica.and_then(|r| self.engines.get(&r.endpoint.service));
        let rate = engine.map_or(0.0, |e| e.loads_per_second);
        let window = self.settings.load_window.as_secs_f64();
        let total = rate * window * self.settings.load_factor + LOAD_WINDOW_SLACK;
        let share = total / f64::from(self.settings.zones.max(1));
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
    /// Returns whether a load of weights can be ordered.
    fn needs_weights(&self, now: Instant) -> bool {
        let is_known = self.accepted_orders.is_some() && !self.loading_weights;
        self.models.is_empty() && self.weights_load.is_none() && is_known && self.is_usable(now)
    }

    /// Records that it holds the weights of `model`.
    pub(super) fn add_model(&mut self, model: &Arc<str>) {
        if !self.has_model(model) {
            self.models.push(model.clone());
        }
    }
}
