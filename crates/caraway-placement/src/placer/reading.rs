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
const UNREAD_SHARE: f64 = 0.25;
/// Part of a service's endpoints that may read long prompts at once, so that short ones need not wait
/// for them.
const LONG_SHARE: f64 = 0.5;
/// Longest time that is planned for reading a prompt.
const MAX_READING: Duration = Duration::from_mins(1);

impl Placer {
    /// Returns whether the unread prompts and the memory of an endpoint leave room for a request.
    /// `may_read_long` tells whether it may be sent a long prompt.
    pub(super) fn has_room(
        &self,
        now: Instant,
        request: &PlacementRequest,
        replica: &Replica,
        may_read_long: bool,
    ) -> bool {
        let slots = replica.endpoint.slots;
        let held = held_tokens(request.tokens, replica.token_capacity, slots);
        if !replica.prompts.fits(held, replica.token_capacity) {
            return false;
        }
        if replica.prompts.unread(now).is_zero() || request.tokens.prompt == 0 {
            return may_read_long || !self.is_long(request, replica);
        }
        let is_long = self.is_long(request, replica);
        let is_blocked = is_long && (!may_read_long || replica.prompts.has_unread_long(now));
        !is_blocked && replica.prompts.unread(now) <= self.max_unread(&request.service)
    }

    /// Returns whether another endpoint of the request's service may be sent a long prompt.
    pub(super) fn may_read_long(&self, now: Instant, request: &PlacementRequest) -> bool {
        let replicas = self.replicas.values();
        let usable = replicas.filter(|r| r.is_usable(now) && r.endpoint.service == request.service);
        let (mut endpoints, mut reading) = (0_u32, 0_u32);
        for replica in usable {
            endpoints += 1;
            reading += u32::from(replica.prompts.has_unread_long(now));
        }
        reading == 0 || f64::from(reading) < f64::from(endpoints) * LONG_SHARE
    }

    fn is_long(&self, request: &PlacementRequest, replica: &Replica) -> bool {
        self.reading_time(request.tokens.prompt, replica) > self.max_unread(&request.service)
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
            && replica.prompts.unread(now) <= self.max_unread(&replica.endpoint.service)
    }

    /// Accounts for a request that is granted at an endpoint.
    pub(super) fn add_prompt(&mut self, now: Instant, id: &EndpointId, request: &PlacementRequest) {
        let Some(replica) = self.replicas.get(id) else {
            return;
        };
        let is_long = self.is_long(request, replica);
        // Others are not held back for longer by a request that states a huge prompt.
        let goal = self.usual_goal(&request.service);
        let reading = self.reading_time(request.tokens.prompt, replica).min(goal);
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
                && !r.prompts.unread(now).is_zero()
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
        let times = free.flat_map(|r| r.prompts.read_times(self.max_unread(&r.endpoint.service)));
        times.filter(|at| *at > now).min()
    }
}
