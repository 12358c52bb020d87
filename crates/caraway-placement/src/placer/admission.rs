//! Decides whether a request may wait while more requests arrive than the endpoints serve.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use super::Placer;
use crate::{PlacementId, PlacementRequest, RefuseReason, wait_queue::Punctuality};

/// Part of the time until its goal that a request needs at a busy endpoint for its first event, in
/// addition to its own prompt: the prompts of others, and decoding steps.
const FIRST_EVENT_SHARE: f64 = 0.25;

impl Placer {
    /// Returns whether a request that has to wait can still be on time, or `None` if the requests
    /// before it take all endpoints until it is too late for an answer.
    pub(super) fn admit(&self, now: Instant, request: &PlacementRequest) -> Option<Punctuality> {
        let late_at = self.latest_grant(now, request);
        let Some(rate) = self.rates.get(&request.service) else {
            return Some(Punctuality::OnTimeUntil(late_at));
        };
        let free = self.free_slots_of(now, &request.service);
        let ahead = |is_late| {
            let ahead = self
                .waiting
                .ahead_of_new(&request.service, is_late, request.priority);
            ahead.saturating_sub(free)
        };
        if now + rate.least_wait(ahead(false)) < late_at {
            return Some(Punctuality::OnTimeUntil(late_at));
        }
        let starts_at = now + rate.late_wait(now, ahead(true));
        let is_useful = free > 0 || starts_at + rate.run_time() <= request.deadline;
        is_useful.then_some(Punctuality::Late)
    }

    /// Returns the time at which a request has to be granted to be on time.
    fn latest_grant(&self, now: Instant, request: &PlacementRequest) -> Instant {
        let remaining = request.goal.saturating_duration_since(now);
        let prompt = f64::from(request.tokens.prompt) / self.settings.prompt_speed / 1000.0;
        let prompt = Duration::try_from_secs_f64(prompt).unwrap_or(Duration::ZERO);
        let needed = remaining.mul_f64(FIRST_EVENT_SHARE) + prompt;
        now + remaining.saturating_sub(needed)
    }

    /// Returns the number of free slots of the endpoints of a service. Requests that wait while
    /// there are any wait for loads.
    fn free_slots_of(&self, now: Instant, service: &str) -> usize {
        let replicas = self.replicas.values();
        let usable = replicas.filter(|r| r.is_usable(now) && *r.endpoint.service == *service);
        let open = usable.filter(|r| self.is_open(now, r));
        let free = open.map(|r| r.endpoint.slots.saturating_sub(r.running) as usize);
        free.sum()
    }

    /// Refuses the late requests that those before them leave no endpoint in time for an answer.
    pub(super) fn refuse_hopeless(&mut self, now: Instant) {
        let mut hopeless = HashSet::new();
        for (service, rate) in &self.rates {
            if self.waiting.count_of(service) == 0 || self.free_slots_of(now, service) > 0 {
                continue;
            }
            let latest = now + rate.run_time();
            let mut ahead = 0_usize;
            for (is_late, waiting) in self.waiting.in_order(service) {
                if is_late && latest + rate.least_wait(ahead) > waiting.request.deadline {
                    hopeless.insert(waiting.id);
                } else {
                    ahead += 1;
                }
            }
        }
        if hopeless.is_empty() {
            return;
        }
        for waiting in self.waiting.remove_if(|id, _| hopeless.contains(id)) {
            self.refuse_overloaded(now, waiting.id, &waiting.request.service);
        }
    }

    /// Refuses a request because of the load of its service, and tells its caller when those that
    /// wait will have been served.
    pub(super) fn refuse_overloaded(&mut self, now: Instant, id: PlacementId, service: &Arc<str>) {
        let waiting = self.waiting.count_of(service);
        let rate = self.rates.entry(service.clone()).or_default();
        let retry_after = rate.next_turn(now, waiting);
        self.refuse(id, RefuseReason::Overloaded, retry_after);
    }

    /// Records the end of a run at an endpoint; `elapsed` is its time, if that is known.
    pub(super) fn record_end(&mut self, endpoint: &EndpointId, elapsed: Option<Duration>) {
        let Some(replica) = self.replicas.get(endpoint) else {
            return;
        };
        if let Some(rate) = self.rates.get_mut(&replica.endpoint.service) {
            rate.on_end(elapsed);
        }
    }

    /// Forgets the runs of an endpoint that has left or restarted.
    pub(super) fn forget_runs(&mut self, endpoint: &EndpointId) {
        let before = self.granted.len();
        self.granted.retain(|_, g| g.endpoint != *endpoint);
        let Some(replica) = self.replicas.get(endpoint) else {
            return;
        };
        if let Some(rate) = self.rates.get_mut(&replica.endpoint.service) {
            for _ in self.granted.len()..before {
                rate.on_end(None);
            }
        }
    }
}
