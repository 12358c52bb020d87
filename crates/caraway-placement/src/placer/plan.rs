//! Plans adapter loads: which adapter next, to which endpoint, and which one to evict for it.

use std::{collections::HashSet, sync::Arc, time::Instant};

use caraway_members::rendezvous_weight;
use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    Action, AnnouncedVersions,
    replica::{AdapterState, LoadTiming, Phase, QueuedOrder, Replica},
    wait_queue::Demand,
};

/// Cost of each rank in an adapter's rendezvous order of endpoints, in ms; lower than the time that
/// a reload saves compared with a load.
const RANK_COST_MS: f64 = 15.0;
/// Cost of evicting an adapter, in ms for each of its requests in the decayed count: the next
/// request for the adapter will wait until it is loaded again.
const EVICT_COST_MS: f64 = 30.0;
/// Highest popularity of an adapter evicted for a further copy, as a fraction of the popularity per
/// copy of the adapter that is copied.
const COPY_VICTIM_FRACTION: f64 = 0.5;
/// Popularity from which a new version of an adapter is loaded before it is requested.
const REFRESH_POPULARITY: f64 = 0.2;

impl Placer {
    /// Plans loads for waiting requests and of new versions, up to the limit of concurrent loads.
    pub(super) fn plan_loads(&mut self, now: Instant) {
        if self.stopping {
            return;
        }
        let limit = self.load_limit();
        let mut models = self.loadable_models(now, limit);
        if models.is_empty() {
            return;
        }
        for adapter in self.needed_loads(now) {
            if !models.contains(&adapter.model) {
                continue;
            }
            if let Some(target) = self.choose_target(now, &adapter, None) {
                self.start_load(now, &adapter, &target);
                models = self.loadable_models(now, limit);
            } else {
                self.unload_outdated(now, &adapter);
            }
        }
    }

    /// Returns the models for which some endpoint has room for another adapter, none at the limit of
    /// concurrent loads. Under overload there are mostly none, and a search for an endpoint for each
    /// adapter that requests wait for would take longer than the time between two requests.
    fn loadable_models(&self, now: Instant, limit: usize) -> HashSet<Arc<str>> {
        if self.loading_count(now) >= limit {
            return HashSet::new();
        }
        let is_evictable = |(m, a): (&ModelRef, &AdapterState)| {
            let is_needed = self.waiting.contains(m) && self.may_serve(now, m, a.version);
            a.is_ready() && a.runs == 0 && !is_needed
        };
        let replicas = self.replicas.values();
        let with_room = replicas.filter(|r| {
            self.accepts_loads(now, r)
                && (r.free_slots() > 0 || r.adapters.iter().any(is_evictable))
        });
        with_room.flat_map(|r| &r.models).cloned().collect()
    }

    /// Plans a further copy of an adapter if all its copies have many running requests.
    pub(super) fn plan_copy(&mut self, now: Instant, model: &ModelRef) {
        if model.adapter.is_none() {
            return;
        }
        let copies = self.replicas.values().filter(|r| r.is_usable(now));
        let runs = copies.filter_map(|r| r.adapters.get(model).filter(|a| a.is_ready()));
        let runs: Vec<u32> = runs.map(|a| a.runs).collect();
        let is_busy = runs
            .iter()
            .min()
            .is_some_and(|r| *r >= self.settings.copy_threshold);
        if !is_busy
            || self.is_load_in_progress(now, model)
            || self.loading_count(now) * 2 >= self.load_limit()
        {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = self.popularity_of(now, model) / (runs.len() + 1) as f64;
        if let Some(target) = self.choose_target(now, model, Some(share * COPY_VICTIM_FRACTION)) {
            self.start_load(now, model, &target);
        }
    }

    /// Returns whether a copy of `model` is being loaded.
    pub(super) fn is_load_in_progress(&self, now: Instant, model: &ModelRef) -> bool {
        self.loads_in_progress(now).any(|(m, _)| m == model)
    }

    /// Returns the adapters that are being loaded by endpoints that respond. An endpoint that does
    /// not respond neither uses the weight store nor serves waiting requests.
    fn loads_in_progress(&self, now: Instant) -> impl Iterator<Item = (&ModelRef, &AdapterState)> {
        let replicas = self.replicas.values();
        let responding = replicas.filter(move |r| r.is_usable(now) && !r.report_failed);
        let adapters = responding.flat_map(|r| &r.adapters);
        adapters.filter(|(_, a)| a.is_loading_normally())
    }

    /// Returns how many adapters may be loading from the weight store at once.
    pub(super) fn load_limit(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a count that is small and not negative"
        )]
        let limit = self.load_limit.round() as usize;
        limit.max(1)
    }

    /// Returns how many adapters are loading from the weight store.
    pub(super) fn loading_count(&self, now: Instant) -> usize {
        self.loads_in_progress(now)
            .filter(|(_, a)| !a.cached)
            .count()
    }

    /// Returns the adapters that requests wait for and that are not being loaded, the most valuable
    /// load first.
    ///
    /// When demand exceeds the weight store's rate, first come, first served would make every
    /// request late; so those that can still be on time go first.
    pub(super) fn backlog(&self, now: Instant) -> Vec<ModelRef> {
        let ready_at = now + self.load_time + self.settings.min_run_time;
        if self.waiting.len() == 0 {
            return Vec::new();
        }
        let expected: HashSet<&ModelRef> = self.loads_in_progress(now).map(|(m, _)| m).collect();
        let mut demands: Vec<(&ModelRef, Demand)> = self
            .waiting
            .demands(ready_at)
            .filter(|(m, _)| m.adapter.is_some() && !expected.contains(m))
            .filter(|(m, _)| !self.waits_for_reading(now, m))
            .collect();
        demands.sort_by(|a, b| a.1.cmp_priority(&b.1).then_with(|| a.0.cmp(b.0)));
        demands.into_iter().map(|(m, _)| m.clone()).collect()
    }

    /// Returns when a load at this position of the backlog is complete.
    pub(super) fn load_done_at(&self, now: Instant, position: usize) -> Instant {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let rounds = position as f64 / self.load_limit() as f64;
        now + self.load_time.mul_f64(rounds + 1.0)
    }

    /// Returns the adapters to load: those that requests wait for, then those with a new version.
    fn needed_loads(&self, now: Instant) -> Vec<ModelRef> {
        let mut models = self.backlog(now);
        let outdated = self.versions.keys().filter(|m| self.needs_refresh(now, m));
        models.extend(outdated.cloned());
        models
    }

    /// Returns whether a popular adapter is held only in an older version.
    fn needs_refresh(&self, now: Instant, model: &ModelRef) -> bool {
        let copies = self.replicas.values().filter_map(|r| r.adapters.get(model));
        let (mut old, mut current) = (false, false);
        for adapter in copies {
            if adapter.is_loading() || self.is_current(model, adapter.version) {
                current = true;
            } else {
                old = true;
            }
        }
        old && !current
            && !self.waiting.contains(model)
            && self.popularity_of(now, model) > REFRESH_POPULARITY
    }

    /// Chooses the endpoint to load `model` to. An adapter evicted there has at most the popularity
    /// `max_popularity`, if given.
    fn choose_target(
        &self,
        now: Instant,
        model: &ModelRef,
        max_popularity: Option<f64>,
    ) -> Option<EndpointId> {
        // A copy at another endpoint with a limit would not serve requests that wait for a permit.
        let is_held = self.replicas.values().any(|r| {
            let adapter = r.adapters.get(model).filter(|a| a.is_ready());
            adapter.is_some_and(|a| self.is_current(model, a.version)) && r.is_usable(now)
        });
        let key = model.to_string();
        let mut order: Vec<(&EndpointId, &Replica)> = self.replicas.iter().collect();
        order.sort_by_cached_key(|(id, _)| std::cmp::Reverse(rendezvous_weight(&key, id)));
        let mut best: Option<(f64, &EndpointId)> = None;
        let run_ms = self.settings.min_run_time.as_secs_f64() * 1000.0;
        for (rank, (id, replica)) in order.into_iter().enumerate() {
            if !self.can_load(now, model, replica) || is_held && self.limiters.rate(id).is_some() {
                continue;
            }
            // A further copy at a busy endpoint would serve no request sooner.
            if is_held && !replica.has_free_slot() {
                continue;
            }
            let evict_cost = if replica.free_slots() > 0 {
                0.0
            } else if let Some((_, popularity)) = self.choose_victim(now, model, replica) {
                if max_popularity.is_some_and(|max| popularity > max) {
                    continue;
                }
                popularity * EVICT_COST_MS
            } else {
                continue;
            };
            let load_time = if replica.has_cached(model) {
                self.settings.reload_time
            } else {
                self.load_time
            };
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let rank_cost = rank as f64 * RANK_COST_MS;
            let limit_cost = self
                .limiters
                .rate(id)
                .map_or(0.0, |r| 1000.0 / r.per_second());
            let cost = load_time.as_secs_f64() * 1000.0
                + rank_cost
                + evict_cost
                + limit_cost
                + replica.delay_ms(now)
                + replica.slowness_ms(now, run_ms);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns whether `model` can be loaded at `replica`.
    fn can_load(&self, now: Instant, model: &ModelRef, replica: &Replica) -> bool {
        let is_replaceable = match replica.adapters.get(model) {
            None => true,
            Some(adapter) => {
                adapter.is_ready() && adapter.runs == 0 && !self.is_current(model, adapter.version)
            }
        };
        is_replaceable && self.accepts_loads(now, replica) && replica.has_model(&model.model)
    }

    /// Returns whether `replica` can be sent another load.
    fn accepts_loads(&self, now: Instant, replica: &Replica) -> bool {
        replica.is_usable(now)
            && !replica.is_faulty(now)
            && replica.accepted_orders.is_some()
            && replica.loading_count() < self.settings.endpoint_load_limit
    }

    /// Returns the least popular idle adapter to evict for a load of `model`, with its popularity.
    fn choose_victim<'a>(
        &self,
        now: Instant,
        model: &ModelRef,
        replica: &'a Replica,
    ) -> Option<(&'a ModelRef, f64)> {
        replica
            .adapters
            .iter()
            .filter(|(m, a)| a.is_ready() && a.runs == 0 && *m != model)
            // A copy that may not serve is of no use to the requests that wait for its adapter.
            .filter(|(m, a)| !self.waiting.contains(m) || !self.may_serve(now, m, a.version))
            .map(|(m, a)| {
                let current = self.is_current(m, a.version);
                let popularity = if current {
                    self.popularity_of(now, m)
                } else {
                    0.0
                };
                (m, popularity)
            })
            .min_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(b.0)))
    }

    /// Queues the unload of an idle copy of `model` that may not serve any more: a load takes a slot
    /// beside the version that it replaces, and no endpoint has another slot for it.
    fn unload_outdated(&mut self, now: Instant, model: &ModelRef) {
        let mut replicas = self.replicas.iter();
        let outdated = replicas.find(|(_, replica)| {
            let adapter = replica.adapters.get(model);
            adapter.is_some_and(|a| !self.may_serve(now, model, a.version))
                && self.can_load(now, model, replica)
                && replica.free_slots() == 0
        });
        let Some(id) = outdated.map(|(id, _)| id.clone()) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(&id) {
            if let Some(adapter) = replica.adapters.get_mut(model) {
                adapter.phase = Phase::UnloadQueued;
            }
            replica.queue.push_back(QueuedOrder {
                action: Action::Unload,
                model: model.clone(),
                retries: 0,
            });
        }
        self.send_due_orders(now, &id);
    }

    /// Queues a load of `model` at an endpoint, and the unload of another adapter if it has no free
    /// slot.
    fn start_load(&mut self, now: Instant, model: &ModelRef, endpoint: &EndpointId) {
        let Some(replica) = self.replicas.get(endpoint) else {
            return;
        };
        let replaces = replica.adapters.get(model).map(|a| a.version);
        let victim = if replica.free_slots() > 0 {
            None
        } else {
            self.choose_victim(now, model, replica)
                .map(|(m, _)| m.clone())
        };
        let newest = self.versions.get(model).and_then(AnnouncedVersions::newest);
        let version = newest.or(self.first_version).unwrap_or(0);
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return;
        };
        if let Some(victim) = victim {
            if let Some(adapter) = replica.adapters.get_mut(&victim) {
                adapter.phase = Phase::UnloadQueued;
            }
            replica.queue.push_back(QueuedOrder {
                action: Action::Unload,
                model: victim,
                retries: 0,
            });
        }
        let adapter = AdapterState {
            phase: Phase::LoadQueued,
            version,
            runs: 0,
            cached: replica.has_cached(model),
            replaces,
            poll_failed: false,
            timing: LoadTiming::default(),
        };
        replica.adapters.insert(model.clone(), adapter);
        replica.queue.push_back(QueuedOrder {
            action: Action::Load,
            model: model.clone(),
            retries: 0,
        });
        self.send_due_orders(now, endpoint);
    }
}
