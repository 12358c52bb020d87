//! [`Bucket`]: the token bucket of one account in a pool.

use std::time::{Duration, Instant};

/// How a bucket fills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Filling {
    /// Units per second.
    pub(crate) rate: f64,
    /// Level at which it is full.
    pub(crate) capacity: f64,
    /// Units by which a grant may exceed the level, so that a request may cost more than there is.
    pub(crate) overdraft: f64,
}

/// Part of the time to fill a bucket up to which denied draws are told different times. While they
/// wait, the bucket must not fill up, as allowance would be lost.
const TURN_PART: f64 = 0.5;

/// A token bucket with debt: it grants while its level is positive, and may go below 0 by one
/// request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    filled_at: Instant,
    /// The latest time that a denied draw was told.
    last_turn: Option<Instant>,
}

impl Bucket {
    /// Creates an empty bucket, as a former holder may have granted everything until now.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: now,
            last_turn: None,
        }
    }

    /// Fills the bucket for the time since the last call.
    pub(crate) fn fill(&mut self, now: Instant, filling: &Filling) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        // A level above the capacity remains where only the connected share became smaller: the
        // units were granted to this pool already.
        let full = filling.capacity.max(self.level);
        self.level = (self.level + elapsed * filling.rate).min(full);
        self.filled_at = self.filled_at.max(now);
    }

    /// Reduces the level to a new capacity.
    pub(crate) fn limit(&mut self, capacity: f64) {
        self.level = self.level.min(capacity);
        self.last_turn = None;
    }

    /// Takes back units that were granted and not used.
    pub(crate) fn give_back(&mut self, units: f64, filling: &Filling) {
        let full = filling.capacity.max(self.level);
        self.level = (self.level + units).min(full);
    }

    /// Takes up to `amount`, and at least `least` if the overdraft allows it.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if the level is not positive.
    pub(crate) fn take(
        &mut self,
        now: Instant,
        amount: f64,
        least: f64,
        filling: &Filling,
    ) -> Result<f64, Duration> {
        if self.level <= 0.0 {
            return Err(self.next_turn(now, least, filling));
        }
        let most = self.level.max(least.min(self.level + filling.overdraft));
        let granted = amount.min(most);
        self.level -= granted;
        Ok(granted)
    }

    /// Returns the time to the next turn that no denied draw was told yet, so that instances don't
    /// all come back for the same units.
    fn next_turn(&mut self, now: Instant, least: f64, filling: &Filling) -> Duration {
        let seconds = |units: f64| {
            let time = Duration::try_from_secs_f64(units / filling.rate);
            time.unwrap_or(MAX_WAIT).min(MAX_WAIT)
        };
        let positive_at = now + seconds(-self.level) + MIN_WAIT;
        let after_last = self.last_turn.map_or(now, |at| at + seconds(least));
        let latest = positive_at + seconds(filling.capacity * TURN_PART);
        let turn = positive_at.max(after_last).min(latest);
        self.last_turn = Some(turn);
        turn - now
    }
}

/// Time after the level has reached 0 from which a bucket grants: that of a message between
/// instances, and more than a rounding error.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Longest time that a denied draw is told. A bucket that doesn't fill has no time of its own.
const MAX_WAIT: Duration = Duration::from_hours(1);
