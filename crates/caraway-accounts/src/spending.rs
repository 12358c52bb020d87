//! [`Spending`]: what an instance spent on an account lately.

use std::time::{Duration, Instant};

/// Length of the time whose spending is measured, and drawn in advance. Half of it is left when the
/// next draw is made, so that allowance is used within its lifetime of 500 ms.
const PERIOD: Duration = Duration::from_millis(250);

/// Units spent in the last 250 ms, by a sliding window over two periods.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spending {
    started_at: Instant,
    current: f64,
    previous: f64,
}

impl Spending {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            current: 0.0,
            previous: 0.0,
        }
    }

    pub(crate) fn record(&mut self, now: Instant, units: f64) {
        self.advance(now);
        self.current += units;
    }

    /// Takes back units of a request that did not run, so that nothing is drawn in advance for such
    /// requests.
    pub(crate) fn take_back(&mut self, now: Instant, units: f64) {
        self.advance(now);
        let left = (units - self.current).max(0.0);
        self.current = (self.current - units).max(0.0);
        self.previous = (self.previous - left).max(0.0);
    }

    /// Returns the units spent in the last period.
    pub(crate) fn recent(&mut self, now: Instant) -> f64 {
        self.advance(now);
        let elapsed = now.saturating_duration_since(self.started_at);
        let part = elapsed.as_secs_f64() / PERIOD.as_secs_f64();
        self.current + self.previous * (1.0 - part)
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        if elapsed >= 2 * PERIOD {
            *self = Self::new(now);
        } else if elapsed >= PERIOD {
            self.previous = self.current;
            self.current = 0.0;
            self.started_at += PERIOD;
        }
    }
}
