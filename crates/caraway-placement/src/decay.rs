//! [`DecayingCount`]: an event count that decays exponentially.

use std::time::{Duration, Instant};

/// A count of events in which older events weigh exponentially less.
#[derive(Clone, Copy, Debug)]
pub struct DecayingCount {
    count: f64,
    updated: Instant,
}

impl DecayingCount {
    /// Creates a count of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            updated: now,
        }
    }

    /// Counts an event at `now`, with the given time constant.
    pub fn add(&mut self, now: Instant, time_constant: Duration) {
        self.count = self.value(now, time_constant) + 1.0;
        self.updated = now;
    }

    /// Returns the count at `now`; an event's weight falls to 1/e after the time constant.
    #[must_use]
    pub fn value(&self, now: Instant, time_constant: Duration) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.count * (-age / time_constant.as_secs_f64()).exp()
    }
}
