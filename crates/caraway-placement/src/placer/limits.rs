//! Permits for requests to endpoints that limit their rate.

use std::time::{Duration, Instant};

use caraway_routes::{ModelRef, RequestRate};
use caraway_types::EndpointId;

use super::Placer;
use crate::{PlacementId, PlacementRequest};

/// Part of its time that a request of a lower priority may wait for permits, so that they are left to
/// more important requests that arrive meanwhile.
pub const LOW_PRIORITY_WAIT_SHARE: f64 = 0.5;

/// Returns until when a request waits for a permit: no longer than its goal, as another zone may be
/// able to serve it on time.
fn latest_start(now: Instant, request: &PlacementRequest) -> Instant {
    let latest = request.goal.min(request.deadline);
    if request.priority == 0 {
        latest
    } else {
        let remaining = latest.saturating_duration_since(now);
        now + remaining.mul_f64(LOW_PRIORITY_WAIT_SHARE)
    }
}

impl Placer {
    /// Sets the limit that an endpoint of the zone, with or without an engine, states for the
    /// requests of all instances together; `None` if it has none.
    pub fn set_limit(&mut self, now: Instant, endpoint: &EndpointId, limit: Option<RequestRate>) {
        self.limiters.set(now, endpoint, limit);
        if limit.is_none() {
            self.grant_for_endpoint(now, endpoint);
        }
    }

    /// Sets the part of each limit that this placer gives away; the rest is left to instances that
    /// it can't reach.
    pub fn set_limit_share(&mut self, now: Instant, share: f64) {
        self.limiters.set_share(now, share);
    }

    /// Takes a permit for a request to an endpoint without an engine if one is due within
    /// `max_wait`. Returns the time until the request may be sent.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if the next permit is due later.
    pub fn acquire_permit(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        max_wait: Duration,
    ) -> Result<Duration, Duration> {
        let permit = self.limiters.acquire(now, endpoint, max_wait);
        self.held_back += u64::from(permit != Ok(Duration::ZERO));
        permit
    }

    /// Returns when the next permit is due that a waiting request may use.
    pub(super) fn next_permit(&self, now: Instant) -> Option<Instant> {
        if self.waiting.len() == 0 {
            return None;
        }
        let permits = self.limiters.next_permits(now);
        let engines = permits.filter(|(id, _)| self.replicas.contains_key(*id));
        // A permit that is due already is of no use to the requests that wait now.
        engines.map(|(_, at)| at).filter(|at| *at > now).min()
    }

    /// Grants waiting requests the permits that are due, to the most important ones first.
    pub(super) fn grant_permits(&mut self, now: Instant) {
        if self.waiting.len() == 0 {
            return;
        }
        let permits = self.limiters.next_permits(now);
        let due = permits.filter(|(id, at)| *at <= now && self.replicas.contains_key(*id));
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        for endpoint in due {
            self.grant_for_endpoint(now, &endpoint);
        }
    }

    /// Returns the models ready at an endpoint that requests wait for, those with the first request
    /// first.
    pub(super) fn waiting_models(&self, endpoint: &EndpointId) -> Vec<ModelRef> {
        let Some(replica) = self.replicas.get(endpoint) else {
            return Vec::new();
        };
        let adapters = replica.adapters.iter().filter(|(_, a)| a.is_ready());
        let bases = replica.models.iter().map(|model| ModelRef {
            model: model.clone(),
            adapter: None,
        });
        let models = adapters.map(|(m, _)| m.clone()).chain(bases);
        let mut models: Vec<_> = models
            .filter_map(|m| Some((self.waiting.first_rank(&m)?, m)))
            .collect();
        models.sort();
        models.into_iter().map(|(_, model)| model).collect()
    }

    /// Returns the rate of all permits for the endpoints of a service, or `None` if one of them
    /// takes requests without a limit or none takes any.
    fn total_rate(&self, now: Instant, service: &str) -> Option<RequestRate> {
        let replicas = self.replicas.iter();
        let usable = replicas.filter(|(_, r)| r.is_usable(now) && *r.endpoint.service == *service);
        let rates = usable.map(|(id, _)| self.limiters.rate(id));
        let rates: Option<Vec<RequestRate>> = rates.collect();
        let total = rates?.iter().map(|r| r.per_second()).sum::<f64>();
        RequestRate::clamped(total).filter(|_| total > 0.0)
    }

    /// Returns the waiting requests for which the limits of all endpoints of their service leave no
    /// room before their goal, and the time after which each may be sent again. Permits go to the
    /// most important requests first.
    pub(super) fn requests_beyond_limits(&self, now: Instant) -> Vec<(PlacementId, Duration)> {
        let mut beyond = Vec::new();
        for service in self.waiting.services() {
            let Some(rate) = self.total_rate(now, &service) else {
                continue;
            };
            let interval = Duration::from_secs_f64(1.0 / rate.per_second());
            let all = self.waiting.iter().map(|w| (w.id, &w.request));
            let mut queue: Vec<_> = all.filter(|(_, r)| r.service == service).collect();
            queue.sort_by_key(|(id, r)| (r.priority, r.deadline, *id));
            let mut start_at = now;
            let mut turn = now;
            for (id, request) in queue {
                let next_start = start_at + interval;
                if next_start + self.settings.min_run_time <= latest_start(now, request) {
                    start_at = next_start;
                } else {
                    turn = turn.max(next_start) + interval;
                    beyond.push((id, turn - now));
                }
            }
        }
        beyond
    }
}
