//! [`RetryPause`]: how long an instance waits before it calls a store again that did not answer.

use std::time::Duration;

/// Pause after a first failure, and after each one of an instance that others rely on.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause of an instance that hears from a holder once the store is back, in a zone of few;
/// half of the two seconds in which lapsed entries of the registry come back.
const SMALL_ZONE_MAX_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause in any zone: as long as a machine that the store turned away counts as out of
/// touch after that, in the smallest deployments.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Multiple of the pause for what waits until another call has shown that the store is back.
const PROBED_PAUSE_FACTOR: u32 = 4;

/// The pause before the next call, which grows with each failure in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    pause: Duration,
}

impl StoreBackoff {
    /// Notes a failure and returns the pause after it. `relied_on` tells whether other instances
    /// take this one's records: it has to see at once that the store is back, while the others
    /// hear it from there. In a zone without the store all others only add to its load, so the
    /// `peers` of a zone together call about as often whatever their number.
    pub fn record_failure(&mut self, has_readers: bool, zone_instances: usize) -> Duration {
        let zone_instances = u32::try_from(zone_instances).unwrap_or(u32::MAX);
        let max_pause = MIN_PAUSE
            .saturating_mul(zone_instances)
            .clamp(SMALL_ZONE_MAX_PAUSE, MAX_PAUSE);
        self.pause = if has_readers {
            MIN_PAUSE
        } else {
            (self.pause * 2).clamp(MIN_PAUSE, max_pause)
        };
        self.pause
    }

    /// Returns the pause of a call that need not tell whether the store is back, as another one
    /// does.
    #[must_use]
    pub fn probed_pause(&self) -> Duration {
        self.pause * PROBED_PAUSE_FACTOR
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.pause = Duration::ZERO;
    }
}
