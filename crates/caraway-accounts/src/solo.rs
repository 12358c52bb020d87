//! [`SoloShare`]: an instance's own share of a quota while it reaches no holder.

use std::time::{Duration, Instant};

/// Longest time for which a turn can be used. Turns don't add up while an instance is idle, as many
/// idle instances would otherwise admit requests at the same time.
const TURN_TIME: Duration = Duration::from_secs(1);
/// Longest time to the next turn.
const MAX_INTERVAL: Duration = Duration::from_hours(1);

/// Spaces the requests of an account at one instance by their cost. Unlike the `SoloLimiter` of
/// `caraway-routes`, requests differ in cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoloShare {
    turn: Instant,
}

impl SoloShare {
    /// Creates a share whose first turn for a request of `cost` is after the part `offset` of its
    /// interval.
    pub(crate) fn new(now: Instant, cost: f64, rate: f64, offset: f64) -> Self {
        let first = interval(cost, rate).mul_f64(offset.clamp(0.0, 1.0));
        Self { turn: now + first }
    }

    /// Admits a request if its turn has come; `rate` is the share, in units per second.
    ///
    /// # Errors
    ///
    /// Returns the time to the next turn.
    pub(crate) fn admit(&mut self, now: Instant, cost: f64, rate: f64) -> Result<(), Duration> {
        let interval = interval(cost, rate);
        let lapsed = now.saturating_duration_since(self.turn + TURN_TIME);
        if !lapsed.is_zero() && !interval.is_zero() {
            // Skips turns that were not used and keeps the offset.
            let skipped = (lapsed.as_secs_f64() / interval.as_secs_f64()).ceil();
            self.turn += interval.mul_f64(skipped);
        }
        if self.turn > now {
            return Err(self.turn - now);
        }
        self.turn += interval;
        Ok(())
    }
}

fn interval(cost: f64, rate: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(cost / rate);
    interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
}
