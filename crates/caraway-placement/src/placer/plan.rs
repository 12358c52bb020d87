//! Plans adapter loads: which adapter next, to which endpoint, and which one to evict for it.

use std::{collections::HashSet, time::Instant};

use caraway_members::rendezvous_weight;
use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action,
    replica::{Held, Phase, Replica, Timing, Todo},
    waiting::Demand,
};

/// Cost of each rank in an adapter's rendezvous order of endpoints, in ms; lower than the time that
/// a reload saves compared with a load.
const RANK_COST_MS: f64 = 15.0;
/// Cost of evicting an adapter, in ms for each decayed request: one of them will wait for its
/// reload.
const EVICT_COST_MS: f64 = 30.0;
/// Highest popularity of an adapter that is evicted for a further copy, as a fraction of that
/// copy's share of its adapter's popularity.
const COPY_MARGIN: f64 = 0.5;
/// Popularity from which a new version of an adapter is loaded before it is requested.
const REFRESH_POPULARITY: f64 = 0.2;

impl Placer {
    /// Plans loads for waiting requests and of new versions, up to the limit of concurrent loads.
    pub(super) fn plan(&mut self, now: Instant) {
        if self.leaving {
            return;
        }
        let limit = self.transit_limit();
        if self.transit(now) >= limit {
            return;
        }
        for model in self.wanted(now) {
            if self.transit(now) >= limit {
                break;
            }
            if let Some(target) = self.target(now, &model, None) {
                self.start_load(now, &model, &target);
            }
        }
    }

    /// Plans a further copy of an adapter if all its copies have many runs.
    pub(super) fn consider_copy(&mut self, now: Instant, model: &ModelRef) {
        if model.adapter.is_none() || self.is_coming(now, model) {
            return;
        }
        let copies = self.replicas.values().filter(|r| r.is_usable(now));
        let runs = copies.filter_map(|r| r.held.get(model).filter(|h| h.is_ready()));
        let runs: Vec<u32> = runs.map(|h| h.runs).collect();
        let crowded = runs
            .iter()
            .min()
            .is_some_and(|r| *r >= self.settings.copy_runs);
        if !crowded || self.transit(now) * 2 >= self.transit_limit() {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = self.popularity_of(now, model) / (runs.len() + 1) as f64;
        if let Some(target) = self.target(now, model, Some(share * COPY_MARGIN)) {
            self.start_load(now, model, &target);
        }
    }

    /// Returns whether a copy of `model` is being loaded.
    pub(super) fn is_coming(&self, now: Instant, model: &ModelRef) -> bool {
        self.coming(now).any(|(m, _)| m == model)
    }

    /// Returns the adapters that are being loaded by endpoints that respond. An endpoint that does
    /// not respond neither uses the weight store nor serves waiting requests.
    fn coming(&self, now: Instant) -> impl Iterator<Item = (&ModelRef, &Held)> {
        let replicas = self.replicas.values();
        let answering = replicas.filter(move |r| r.is_usable(now) && !r.mute);
        let held = answering.flat_map(|r| &r.held);
        held.filter(|(_, h)| h.is_coming())
    }

    /// Returns how many adapters may be loading from the weight store at once.
    pub(super) fn transit_limit(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count that is small and not negative"
        )]
        let limit = self.transit_limit.round() as usize;
        limit.max(1)
    }

    /// Returns how many adapters are loading from the weight store.
    pub(super) fn transit(&self, now: Instant) -> usize {
        self.coming(now).filter(|(_, h)| !h.recent).count()
    }

    /// Returns the adapters that requests wait for and that are not being loaded, the most valuable
    /// load first.
    ///
    /// When demand exceeds the weight store's rate, first come, first served would make every
    /// request late; so those that can still be on time go first.
    pub(super) fn backlog(&self, now: Instant) -> Vec<ModelRef> {
        let ready = now + self.load_time + self.settings.shortest_run;
        if self.waiting.len() == 0 {
            return Vec::new();
        }
        let coming: HashSet<&ModelRef> = self.coming(now).map(|(m, _)| m).collect();
        let mut demands: Vec<(&ModelRef, Demand)> = self
            .waiting
            .demands(ready)
            .filter(|(m, _)| m.adapter.is_some() && !coming.contains(m))
            .collect();
        demands.sort_by(|a, b| a.1.first(&b.1).then_with(|| a.0.cmp(b.0)));
        demands.into_iter().map(|(m, _)| m.clone()).collect()
    }

    /// Returns when a load at this position of the backlog is complete.
    pub(super) fn ready_at(&self, now: Instant, place: usize) -> Instant {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let rounds = place as f64 / self.transit_limit() as f64;
        now + self.load_time.mul_f64(rounds + 1.0)
    }

    /// Returns the adapters to load: those that requests wait for, then those with a new version.
    fn wanted(&self, now: Instant) -> Vec<ModelRef> {
        let mut wanted = self.backlog(now);
        let outdated = self.newest.keys().filter(|m| self.needs_refresh(now, m));
        wanted.extend(outdated.cloned());
        wanted
    }

    /// Returns whether a popular adapter is held only in an older version.
    fn needs_refresh(&self, now: Instant, model: &ModelRef) -> bool {
        let copies = self.replicas.values().filter_map(|r| r.held.get(model));
        let (mut old, mut current) = (false, false);
        for held in copies {
            if held.in_transit() || self.is_current(model, held.version) {
                current = true;
            } else {
                old = true;
            }
        }
        old && !current
            && !self.waiting.wants(model)
            && self.popularity_of(now, model) > REFRESH_POPULARITY
    }

    /// Chooses the endpoint to load `model` to. An adapter evicted there has at most the popularity
    /// `least`, if given.
    fn target(&self, now: Instant, model: &ModelRef, least: Option<f64>) -> Option<EndpointId> {
        let key = model.to_string();
        let mut order: Vec<(&EndpointId, &Replica)> = self.replicas.iter().collect();
        order.sort_by_key(|(id, _)| std::cmp::Reverse(rendezvous_weight(&key, id)));
        let mut best: Option<(f64, &EndpointId)> = None;
        for (rank, (id, replica)) in order.into_iter().enumerate() {
            if !self.can_load(now, model, replica) {
                continue;
            }
            let evict = if replica.spare() > 0 {
                0.0
            } else if let Some((_, popularity)) = self.victim(now, model, replica) {
                if least.is_some_and(|l| popularity > l) {
                    continue;
                }
                popularity * EVICT_COST_MS
            } else {
                continue;
            };
            let load = if replica.remembers(model) {
                self.settings.reload
            } else {
                self.load_time
            };
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let rank = rank as f64 * RANK_COST_MS;
            let cost = load.as_secs_f64() * 1000.0 + rank + evict + replica.delay_ms(now);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns whether `model` can be loaded at `replica`.
    fn can_load(&self, now: Instant, model: &ModelRef, replica: &Replica) -> bool {
        let replaceable = match replica.held.get(model) {
            None => true,
            Some(held) => {
                held.is_ready() && held.runs == 0 && !self.is_current(model, held.version)
            }
        };
        replaceable
            && replica.is_usable(now)
            && replica.orders.is_some()
            && replica.has_model(&model.model)
            && replica.transit() < self.settings.endpoint_transit
    }

    /// Returns the least popular idle adapter to evict for a load of `model`, with its popularity.
    fn victim<'a>(
        &self,
        now: Instant,
        model: &ModelRef,
        replica: &'a Replica,
    ) -> Option<(&'a ModelRef, f64)> {
        replica
            .held
            .iter()
            .filter(|(m, h)| h.is_ready() && h.runs == 0 && !self.waiting.wants(m) && *m != model)
            .map(|(m, h)| {
                let current = self.is_current(m, h.version);
                let popularity = if current {
                    self.popularity_of(now, m)
                } else {
                    0.0
                };
                (m, popularity)
            })
            .min_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))
    }

    fn start_load(&mut self, now: Instant, model: &ModelRef, endpoint: &EndpointId) {
        let Some(replica) = self.replicas.get(endpoint) else {
            return;
        };
        let former = replica.held.get(model).map(|h| h.version);
        let victim = if replica.spare() > 0 {
            None
        } else {
            self.victim(now, model, replica).map(|(m, _)| m.clone())
        };
        let newest = self.newest.get(model).map(|n| n.version);
        let version = newest.or(self.first_version).unwrap_or(0);
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        if let Some(victim) = victim {
            if let Some(held) = replica.held.get_mut(&victim) {
                held.phase = Phase::Leaving;
            }
            replica.todo.push_back(Todo {
                action: Action::Unload,
                model: victim,
                sent: 0,
            });
        }
        let held = Held {
            phase: Phase::Planned,
            version,
            runs: 0,
            recent: replica.remembers(model),
            former,
            missed: false,
            timing: Timing::default(),
        };
        replica.held.insert(model.clone(), held);
        replica.todo.push_back(Todo {
            action: Action::Load,
            model: model.clone(),
            sent: 0,
        });
        self.pump(now, endpoint);
    }
}
