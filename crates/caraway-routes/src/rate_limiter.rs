//! [`RateLimiter`]: spaces the requests to an endpoint that limits their rate.

use std::time::{Duration, Instant};

use crate::RequestRate;

/// Time whose permits may be used at once after a pause, so that a limit is used although requests
/// arrive unevenly.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Number of permits that may be used at once after a pause if it is more than those of
/// [`BURST_TIME`].
const MIN_BURST: u32 = 2;
/// Longest time to the turn that a refused request is told. Callers come back earlier than after a
/// longer one, as their own deadlines are near.
const MAX_TURN: Duration = Duration::from_secs(2);

/// Gives permits at a fixed rate, with a small burst after a pause.
///
/// A permit may be reserved for later. Within any span of time it gives at most the rate times that
/// span, and a burst of a quarter of a second's permits, at least two.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    rate: RequestRate,
    /// When all permits given so far are used up at the rate.
    used_until: Instant,
    /// The latest turn that a refused request was told; `None` if there was none.
    last_turn: Option<Instant>,
}

impl RateLimiter {
    /// Creates a limiter whose first permit is due after the time of one request, as requests may
    /// have been sent just before.
    #[must_use]
    pub fn new(now: Instant, rate: RequestRate) -> Self {
        let mut limiter = Self {
            rate,
            used_until: now,
            last_turn: None,
        };
        limiter.used_until = now + limiter.interval() + limiter.burst();
        limiter
    }

    /// Returns the rate.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the rate; permits that were reserved ahead are stretched to it.
    pub fn set_rate(&mut self, now: Instant, rate: RequestRate) {
        let ahead = self.used_until.saturating_duration_since(now);
        let scale = self.rate.per_second() / rate.per_second();
        self.rate = rate;
        self.used_until = now + ahead.mul_f64(scale);
    }

    /// Returns the time between two permits.
    #[must_use]
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate.per_second())
    }

    /// Returns when the next permit is due; not before `now`.
    #[must_use]
    pub fn next_at(&self, now: Instant) -> Instant {
        self.used_until
            .checked_sub(self.burst())
            .map_or(now, |at| at.max(now))
    }

    /// Takes the next permit if it is due within `max_wait`; returns when it may be used.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again when the next permit is due later. Each refused
    /// request is told a turn of its own, so that those that come back find a permit.
    pub fn acquire(&mut self, now: Instant, max_wait: Duration) -> Result<Instant, Duration> {
        let at = self.next_at(now);
        if at.saturating_duration_since(now) > max_wait {
            return Err(self.next_turn(now));
        }
        self.used_until = self.used_until.max(at) + self.interval();
        Ok(at)
    }

    /// Returns the time to the next turn that no refused request was told yet.
    fn next_turn(&mut self, now: Instant) -> Duration {
        let after_last = self.last_turn.map(|at| at + self.interval());
        let turn = self.next_at(now).max(after_last.unwrap_or(now));
        let turn = turn.min(now + MAX_TURN);
        self.last_turn = Some(turn);
        turn - now
    }

    /// Returns the time of the permits, beyond one, that may be used at once.
    fn burst(&self) -> Duration {
        let interval = self.interval();
        let least = interval * (MIN_BURST - 1);
        BURST_TIME.saturating_sub(interval).max(least)
    }
}
