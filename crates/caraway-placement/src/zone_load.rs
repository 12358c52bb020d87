//! [`ZoneLoad`]: how busy a zone is, as its holder states it; [`GrantMeter`] measures it.

use std::time::{Duration, Instant};

use crate::DecayingCount;

/// Time constant of the rate of grants: short against the waves of load, which last seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Longest wait that is stated; callers leave before it.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Rate of grants per second that is assumed while there are none.
const MIN_RATE: f64 = 0.1;

/// How busy a zone is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Time that a request which arrives now is expected to wait for an endpoint.
    pub expected_wait: Duration,
    /// Number of requests that the zone's usable endpoints can take at once in addition.
    pub free_slots: usize,
}

/// Measures how fast a zone's placer grants endpoints, and so how long requests wait there.
#[derive(Clone, Copy, Debug)]
pub struct GrantMeter {
    grants: DecayingCount,
}

impl GrantMeter {
    /// Creates a meter that has seen no grant.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            grants: DecayingCount::new(now),
        }
    }

    /// Counts a grant.
    pub fn on_grant(&mut self, now: Instant) {
        self.grants.add(now, TIME_CONSTANT);
    }

    /// Returns the expected wait of a request behind `waiting` others.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, waiting: usize) -> Duration {
        let rate = self.grants.value(now, TIME_CONSTANT) / TIME_CONSTANT.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let wait = waiting as f64 / rate.max(MIN_RATE);
        MAX_WAIT.min(Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT))
    }
}
