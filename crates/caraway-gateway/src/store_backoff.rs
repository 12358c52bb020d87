//! [`StoreBackoff`]: the backoff between calls to a store that does not answer.

use std::time::Duration;

/// Pause after the first failure, and after each failure of an instance that others read records
/// from.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Maximum pause of the other instances in a small zone, which learn from the holder that the store
/// is back: half of the two seconds in which expired registry entries return.
const SMALL_ZONE_MAX_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause in any zone: the time for which an instance that the store has turned away counts
/// as disconnected in the smallest deployments.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Multiple of the pause for calls that need not probe the store, as another call does.
const PROBED_PAUSE_FACTOR: u32 = 4;

/// The pause before the next call, which grows with each consecutive failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    pause: Duration,
}

impl StoreBackoff {
    /// Records a failure and returns the pause after it.
    ///
    /// `has_readers` is whether other instances receive records from this one: it has to detect at
    /// once that the store is back, and the others learn it from there. In a zone that has lost the
    /// store, calls of the others only add to the store's load, so their pause grows with
    /// `zone_instances`, the number of instances in the zone, to keep the zone's total rate of
    /// calls about the same.
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

    /// Returns the pause before a call on a topic while calls on another topic already probe
    /// whether the store has recovered.
    #[must_use]
    pub fn pause_without_probe(&self) -> Duration {
        self.pause * PROBED_PAUSE_FACTOR
    }

    /// Resets the pause after an answer of the store.
    pub fn record_success(&mut self) {
        self.pause = Duration::ZERO;
    }
}
