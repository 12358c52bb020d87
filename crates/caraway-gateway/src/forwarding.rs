//! [`ForwardingStatus`]: whether a holder forwards a topic's records to this instance.

use std::time::{Duration, Instant};

/// Shortest time for which a holder's heartbeat is valid: two heartbeat intervals, so that one may
/// be lost.
const MIN_TIMEOUT: Duration = Duration::from_millis(1100);
/// Longest time that reading a record from the store takes, out of the time within which it has to
/// be in force: the timeout of an answer and the interval between checks.
const MAX_READ_TIME: Duration = Duration::from_millis(900);

/// Whether a holder forwards a topic's records to this instance, according to its heartbeats.
///
/// A heartbeat is valid from when it was requested, not from when it arrived: a holder that was
/// frozen answers old requests when it resumes, and its answers may be as outdated as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardingStatus {
    requested_at: Option<Instant>,
    timeout: Duration,
}

impl Default for ForwardingStatus {
    fn default() -> Self {
        Self::new(Duration::ZERO)
    }
}

impl ForwardingStatus {
    /// Creates the status before any heartbeat. Records have to be in force within `max_delay`
    /// after they were written.
    ///
    /// A lost holder has a successor within about two seconds. If `max_delay` allows it, its
    /// instances wait for the successor instead of all reading the store.
    #[must_use]
    pub fn new(max_delay: Duration) -> Self {
        Self {
            requested_at: None,
            timeout: max_delay.saturating_sub(MAX_READ_TIME).max(MIN_TIMEOUT),
        }
    }

    /// Records a heartbeat that was requested at `requested_at`, `None` if it came unsolicited.
    /// `is_up_to_date` states whether the holder's copy is current and this instance has all of it.
    /// Returns true if this instance has to start reading the store.
    pub fn on_heartbeat(&mut self, requested_at: Option<Instant>, is_up_to_date: bool) -> bool {
        if is_up_to_date {
            self.requested_at = self.requested_at.max(requested_at);
            return false;
        }
        self.requested_at.take().is_some()
    }

    /// Ends the validity of the last heartbeat, after records arrived that leave a gap.
    pub fn reset(&mut self) {
        self.requested_at = None;
    }

    /// Returns whether the last heartbeat is still valid, so that this instance need not read the
    /// store.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        let age = |requested_at: Instant| now.saturating_duration_since(requested_at);
        self.requested_at
            .is_some_and(|requested_at| age(requested_at) < self.timeout)
    }
}
