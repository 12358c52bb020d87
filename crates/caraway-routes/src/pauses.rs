//! [`Pauses`]: endpoints that asked this instance to retry later.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::Endpoint;

/// Limits on the pauses that endpoints can request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseLimits {
    /// Longest pause that is granted to one answer; longer requests are shortened to it.
    pub max_pause: Duration,
}

impl Default for PauseLimits {
    fn default() -> Self {
        Self {
            // A replaced endpoint is back within minutes; a request for more is a fault.
            max_pause: Duration::from_mins(10),
        }
    }
}

/// Endpoints to which this instance sends nothing for now, because an answer asked it to retry
/// later.
///
/// A pause applies to one incarnation of an endpoint, not to the next one under the same id.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    limits: PauseLimits,
    /// End of each pause, by the endpoint's id and the start time of its incarnation.
    ends: HashMap<(EndpointId, Option<u64>), Instant>,
}

impl Pauses {
    /// Creates a set in which no endpoint is paused.
    #[must_use]
    pub fn new(limits: PauseLimits) -> Self {
        Self {
            limits,
            ends: HashMap::new(),
        }
    }

    /// Records that an endpoint asked for a pause of `wait`; `started_ms` is the start time of the
    /// incarnation that answered. Returns when the pause ends; the latest end of all answers counts.
    pub fn on_answer(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        started_ms: Option<u64>,
        wait: Duration,
    ) -> Instant {
        self.ends.retain(|_, end| now < *end);
        let requested = now + wait.min(self.limits.max_pause);
        let end = self
            .ends
            .entry((endpoint.clone(), started_ms))
            .or_insert(requested);
        *end = requested.max(*end);
        *end
    }

    /// Returns when the pause of an endpoint ends, or `None` if it is not paused at `now`.
    #[must_use]
    pub fn paused_until(&self, now: Instant, endpoint: &Endpoint) -> Option<Instant> {
        let key = (endpoint.id.clone(), endpoint.started_ms);
        self.ends.get(&key).copied().filter(|end| now < *end)
    }

    /// Returns the incarnations that are paused at `now`, each as the endpoint's id and its start
    /// time in Unix milliseconds.
    pub fn paused_incarnations(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = &(EndpointId, Option<u64>)> {
        let paused = self.ends.iter().filter(move |(_, end)| now < **end);
        paused.map(|(key, _)| key)
    }

    /// Returns when the first pause among the ready `candidates` ends, or `None` if one of them is
    /// not paused or none is ready.
    pub fn earliest_end<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Option<Instant> {
        let ready = candidates.filter(|e| e.is_ready());
        let ends: Option<Vec<Instant>> = ready.map(|e| self.paused_until(now, e)).collect();
        ends?.into_iter().min()
    }
}
