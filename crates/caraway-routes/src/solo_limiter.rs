//! [`SoloLimiter`]: an instance's share of an endpoint's limit while it reaches no holder.

use std::time::{Duration, Instant};

use crate::RequestRate;

/// Part of a limit that all instances without a holder share. A holder that others still reach, or
/// the next one, gives permits at the full rate meanwhile.
const SOLO_SHARE: f64 = 0.25;
/// Longest time for which a turn can be used. Turns do not add up while an instance is idle, as
/// many idle instances would otherwise send a burst.
const TURN_TIME: Duration = Duration::from_secs(1);

/// Gives one instance turns at its share of a rate, which may be much less than one per second.
///
/// Each instance's turns are at a random offset, so that those of many are spread evenly. A turn
/// that is not used expires.
#[derive(Clone, Copy, Debug)]
pub struct SoloLimiter {
    interval: Duration,
    /// Start of the current turn, or of the next one.
    turn: Instant,
    is_used: bool,
}

impl SoloLimiter {
    /// Creates the limiter of one of `instances`; `offset` is a random number from 0 to 1 that
    /// places its turns.
    #[must_use]
    pub fn new(now: Instant, rate: RequestRate, instances: usize, offset: f64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = rate.per_second() * SOLO_SHARE / instances.max(1) as f64;
        let interval = Duration::from_secs_f64(1.0 / share);
        Self {
            interval,
            turn: now + interval.mul_f64(offset),
            is_used: false,
        }
    }

    /// Uses the current turn.
    ///
    /// # Errors
    ///
    /// Returns the time to the next turn if there is no current one or it is used.
    pub fn acquire(&mut self, now: Instant) -> Result<(), Duration> {
        let delay = self.delay(now);
        if !delay.is_zero() {
            return Err(delay);
        }
        self.is_used = true;
        Ok(())
    }

    /// Returns the time to the next turn that can be used; zero if that is the current one.
    pub fn delay(&mut self, now: Instant) -> Duration {
        while self.turn + self.interval <= now {
            self.turn += self.interval;
            self.is_used = false;
        }
        if now < self.turn {
            self.turn - now
        } else if self.is_used || now >= self.turn + TURN_TIME {
            self.turn + self.interval - now
        } else {
            Duration::ZERO
        }
    }
}
