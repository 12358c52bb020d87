//! [`Pauses`]: endpoints that asked this instance to send nothing for a while.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::Endpoint;

/// Sets how far a [`Pauses`] follows what endpoints ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseLimits {
    /// Longest time that one answer can ask for.
    pub longest: Duration,
}

impl Default for PauseLimits {
    fn default() -> Self {
        Self {
            // A replaced endpoint is back within minutes; a longer time is a fault.
            longest: Duration::from_mins(10),
        }
    }
}

/// Endpoints that asked this instance, in an answer, to send nothing for a while.
///
/// What one run of an endpoint asked for does not bind its next run under the same id.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    limits: PauseLimits,
    /// When pauses end, by the endpoint and when its run started.
    paused: HashMap<(EndpointId, Option<u64>), Instant>,
}

impl Pauses {
    /// Knows of no endpoint that asked.
    #[must_use]
    pub fn new(limits: PauseLimits) -> Self {
        Self {
            limits,
            paused: HashMap::new(),
        }
    }

    /// Notes that the run of an endpoint that started at `born` asked for a pause of `wait`;
    /// returns when it ends. An earlier answer that asked for more goes on.
    pub fn on_answer(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        born: Option<u64>,
        wait: Duration,
    ) -> Instant {
        self.paused.retain(|_, until| now < *until);
        let asked = now + wait.min(self.limits.longest);
        let until = self.paused.entry((endpoint.clone(), born)).or_insert(asked);
        *until = asked.max(*until);
        *until
    }

    /// Returns until when nothing goes to an endpoint, `None` where it takes work now.
    #[must_use]
    pub fn until(&self, now: Instant, endpoint: &Endpoint) -> Option<Instant> {
        let run = (endpoint.id.clone(), endpoint.born);
        self.paused.get(&run).copied().filter(|until| now < *until)
    }

    /// Returns the runs of endpoints that nothing goes to now: their ids, and when they started.
    pub fn runs(&self, now: Instant) -> impl Iterator<Item = &(EndpointId, Option<u64>)> {
        let paused = self.paused.iter().filter(move |(_, until)| now < **until);
        paused.map(|(run, _)| run)
    }

    /// Returns when the first of `candidates` takes work again, where all of them that are ready
    /// are paused.
    pub fn first_end<'a>(
        &self,
        now: Instant,
        candidates: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> Option<Instant> {
        let ready = candidates.filter(|e| e.is_ready());
        let ends: Option<Vec<Instant>> = ready.map(|e| self.until(now, e)).collect();
        ends?.into_iter().min()
    }
}
