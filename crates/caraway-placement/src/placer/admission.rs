//! Decides whether a request may wait while more requests arrive than the endpoints serve.

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use super::{Placer, reading::UNREAD_SHARE};
use crate::{
    PlacementId, PlacementRequest, RefuseReason, service_rate::ServiceRate, wait_queue::Punctuality,
};

/// Part of a run until its first event, without its prompt; the deployments' answers have 7 to 17
/// events.
const FIRST_EVENT_PART: f64 = 0.1;
/// Longest time that is planned for a prompt.
const MAX_PROMPT_TIME: Duration = Duration::from_mins(1);

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
            let ahead = self.waiting.ahead_of_new(request, is_late);
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
        let prompt = Duration::try_from_secs_f64(prompt).unwrap_or(MAX_PROMPT_TIME);
        let rate = self.rates.get(&request.service);
        let run_time = rate.map_or(Duration::ZERO, ServiceRate::run_time);
        let first_event = prompt.saturating_add(run_time.mul_f64(FIRST_EVENT_PART));
        // The requests of an account that waits little are granted early, at an endpoint that has
        // read most of its prompts; the others are granted at the last moment.
        let unread = if self.waiting.waits_little(request) {
            Duration::ZERO
        } else {
            remaining.mul_f64(UNREAD_SHARE)
        };
        let needed = unread.saturating_add(first_event);
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
