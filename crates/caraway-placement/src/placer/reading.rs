//! Bounds the prompts that endpoints have to read and the tokens that they hold.

use std::time::{Duration, Instant};

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

use super::Placer;
use crate::{
    PlacementRequest, prompt_load::held_tokens, replica::Replica, service_rate::ServiceRate,
};

/// Part of the usual goal of a service's requests that the unread prompts at an endpoint may take
/// when another one is sent there, and from which a single prompt is long. What is not sent yet can
/// still be ordered.
pub(super) const UNREAD_SHARE: f64 = 0.25;
/// Part of a service's endpoints that may read long prompts at once, so that short ones need not wait
/// for them.
const LONG_SHARE: f64 = 0.5;
/// Least time between two starts at an endpoint, as a multiple of the average time between two ends.
const START_INTERVAL: f64 = 0.6;
/// Longest time that is planned for reading a prompt.
const MAX_READING: Duration = Duration::from_mins(1);

impl Placer {
    /// Returns whether the unread prompts and the memory of an endpoint leave room for a request.
    pub(super) fn has_room(
        &self,
        now: Instant,
        request: &PlacementRequest,
        replica: &Replica,
    ) -> bool {
        if !Self::fits(request, replica) || self.next_start(replica).is_some_and(|at| at > now) {
            return false;
        }
        let limit = self.max_unread(&request.service);
        if request.tokens.prompt > 0 && replica.prompts.unread(now) > limit {
            return false;
        }
        let is_long = self.reading_time(request.tokens.prompt, replica) > limit;
        !is_long || !replica.prompts.has_unread_long(now) && self.may_read_long(now, request)
    }

    fn fits(request: &PlacementRequest, replica: &Replica) -> bool {
        let capacity = replica.token_capacity;
        let held = held_tokens(request.tokens, capacity, replica.endpoint.slots);
        replica.prompts.fits(held, capacity)
    }

    /// Returns when an endpoint may start another run while requests wait; `None` if that does not
    /// matter.
    ///
    /// Runs that start together end together, and until then no slot becomes free for requests that
    /// are more important or whose account waits less.
    fn next_start(&self, replica: &Replica) -> Option<Instant> {
        let slots = replica.endpoint.slots;
        if self.waiting.len() == 0 || replica.running < slots / 2 {
            return None;
        }
        let run_time = self.rates.get(&replica.endpoint.service)?.run_time();
        let part = START_INTERVAL / f64::from(slots.max(1)) / replica.speed.relative();
        Some(replica.prompts.last_start()? + run_time.mul_f64(part))
    }

    /// Returns whether another endpoint of the request's service may be sent a long prompt.
    fn may_read_long(&self, now: Instant, request: &PlacementRequest) -> bool {
        let replicas = self.replicas.values();
        let usable = replicas.filter(|r| r.is_usable(now) && r.endpoint.service == request.service);
        let (mut endpoints, mut reading) = (0_u32, 0_u32);
        for replica in usable {
            endpoints += 1;
            reading += u32::from(replica.prompts.has_unread_long(now));
        }
        reading == 0 || f64::from(reading) < f64::from(endpoints) * LONG_SHARE
    }

    /// Returns the time that an endpoint needs to read a prompt.
    pub(super) fn reading_time(&self, tokens: u32, replica: &Replica) -> Duration {
        let per_ms = self.settings.prompt_speed * replica.speed.absolute();
        let reading = Duration::try_from_secs_f64(f64::from(tokens) / per_ms / 1000.0);
        reading.map_or(MAX_READING, |r| r.min(MAX_READING))
    }

    fn max_unread(&self, service: &str) -> Duration {
        self.usual_goal(service).mul_f64(UNREAD_SHARE)
    }

    fn usual_goal(&self, service: &str) -> Duration {
        let goal = self.rates.get(service).and_then(ServiceRate::usual_goal);
        goal.unwrap_or(MAX_READING)
    }

    /// Returns whether an endpoint can be sent a short prompt now.
    pub(super) fn is_open(&self, now: Instant, replica: &Replica) -> bool {
        replica.has_free_slot()
            && self.next_start(replica).is_none_or(|at| at <= now)
            && replica.prompts.unread(now) <= self.max_unread(&replica.endpoint.service)
    }

    /// Accounts for a request that is granted at an endpoint.
    pub(super) fn add_prompt(&mut self, now: Instant, id: &EndpointId, request: &PlacementRequest) {
        let Some(replica) = self.replicas.get(id) else {
            return;
        };
        let goal = self.usual_goal(&request.service);
        let reading = self.reading_time(request.tokens.prompt, replica);
        let is_long = reading > goal.mul_f64(UNREAD_SHARE);
        // Others are not held back for longer by a request that states a huge prompt.
        let reading = reading.min(goal);
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.prompts.add(now, reading, is_long);
            let slots = replica.endpoint.slots;
            let held = held_tokens(request.tokens, replica.token_capacity, slots);
            replica.prompts.hold(held);
        }
    }

    /// Returns whether a waiting request for `model` only waits until an endpoint that holds it has
    /// read other prompts, so that a further copy is not needed.
    pub(super) fn waits_for_reading(&self, now: Instant, model: &ModelRef) -> bool {
        self.replicas.iter().any(|(id, r)| {
            let adapter = r.adapters.get(model).filter(|a| a.is_ready());
            adapter.is_some_and(|a| self.is_current(model, a.version))
                && r.is_usable(now)
                && r.has_free_slot()
                && (!r.prompts.unread(now).is_zero()
                    || self.next_start(r).is_some_and(|at| at > now))
                && self.limiters.rate(id).is_none()
        })
    }

    /// Grants waiting requests at the endpoints that have read enough of the prompts sent there.
    pub(super) fn grant_read(&mut self, now: Instant) {
        if self.waiting.len() == 0 {
            return;
        }
        let open = self.replicas.iter().filter(|(_, r)| self.is_open(now, r));
        let open: Vec<EndpointId> = open.map(|(id, _)| id.clone()).collect();
        for endpoint in open {
            self.grant_for_endpoint(now, &endpoint);
        }
    }

    /// Returns when an endpoint with a free slot has read enough to be sent another prompt.
    pub(super) fn next_read(&self, now: Instant) -> Option<Instant> {
        if self.waiting.len() == 0 {
            return None;
        }
        let free = self.replicas.values().filter(|r| r.has_free_slot());
        let times = free.flat_map(|r| {
            let read = r.prompts.read_times(self.max_unread(&r.endpoint.service));
            read.chain(self.next_start(r))
        });
        times.filter(|at| *at > now).min()
    }
}
