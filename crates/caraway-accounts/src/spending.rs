//! [`Spending`]: what an instance spent on an account lately.

use std::time::{Duration, Instant};

/// Length of the time whose spending is measured, and drawn in advance. Half of it is left when the
/// next draw is made, so that allowance is used within its lifetime of 500 ms.
const PERIOD: Duration = Duration::from_millis(250);

/// Number of requests and their cost.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spent {
    pub(crate) requests: f64,
    pub(crate) units: f64,
}

/// Requests and units of the last 250 ms, by a sliding window over two periods.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spending {
    started_at: Instant,
    current: Spent,
    previous: Spent,
}

impl Spending {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            current: Spent::default(),
            previous: Spent::default(),
        }
    }

    pub(crate) fn record(&mut self, now: Instant, units: f64) {
        self.advance(now);
        self.current.requests += 1.0;
        self.current.units += units;
    }

    /// Takes back a request that did not run, so that nothing is drawn in advance for such requests.
    pub(crate) fn take_back(&mut self, now: Instant, units: f64) {
        self.advance(now);
        let from = if self.current.requests >= 1.0 {
            &mut self.current
        } else {
            &mut self.previous
        };
        from.requests = (from.requests - 1.0).max(0.0);
        from.units = (from.units - units).max(0.0);
    }

    /// Returns what was spent in the last period.
    pub(crate) fn recent(&mut self, now: Instant) -> Spent {
        self.advance(now);
        let elapsed = now.saturating_duration_since(self.started_at);
        let part = elapsed.as_secs_f64() / PERIOD.as_secs_f64();
        let former = |previous: f64| previous * (1.0 - part);
        Spent {
            requests: self.current.requests + former(self.previous.requests),
            units: self.current.units + former(self.previous.units),
        }
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        if elapsed >= 2 * PERIOD {
            *self = Self::new(now);
        } else if elapsed >= PERIOD {
            self.previous = self.current;
            self.current = Spent::default();
            self.started_at += PERIOD;
        }
    }
}
