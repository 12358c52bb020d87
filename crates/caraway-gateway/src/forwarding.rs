//! [`PassedOn`]: whether a holder passes a topic's records on to this instance.

use std::time::{Duration, Instant};

/// Shortest time for which a holder's sign of life holds: until its next one and one that is lost.
const MIN_TIMEOUT: Duration = Duration::from_millis(1100);
/// Part of the time in which a record has to be in force that reading it from the store takes at
/// most, with the looks between: an answer's limit, and some more.
const MAX_READ_TIME: Duration = Duration::from_millis(900);

/// Whether a holder passes a topic's records on to this instance, by the holder's signs of life.
///
/// A sign counts from when it was asked for, not from when it came: a holder that was frozen
/// answers old questions when it goes on, and what it says then may be as old as they are.
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
    /// Has heard nothing yet; records have to be in force within `bound` after they were written.
    ///
    /// A lost holder has a follower within two seconds or so. Where the bound allows it, its
    /// instances wait for that instead of all reading the store.
    #[must_use]
    pub fn new(in_force: Duration) -> Self {
        Self {
            requested_at: None,
            timeout: in_force.saturating_sub(MAX_READ_TIME).max(MIN_TIMEOUT),
        }
    }

    /// Takes a sign of life that was asked for at `asked`, `None` for one that came unasked;
    /// `has_all` tells whether the holder reads as usual and this instance knows what it knows.
    /// Returns true when this instance has to read from now on.
    pub fn on_heartbeat(&mut self, requested_at: Option<Instant>, is_up_to_date: bool) -> bool {
        if is_up_to_date {
            self.requested_at = self.requested_at.max(requested_at);
            return false;
        }
        self.requested_at.take().is_some()
    }

    /// Notes that records came that don't join what is known.
    pub fn reset(&mut self) {
        self.requested_at = None;
    }

    /// Tells whether the holder passes the records on.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        let age = |requested_at: Instant| now.saturating_duration_since(requested_at);
        self.requested_at
            .is_some_and(|requested_at| age(requested_at) < self.timeout)
    }
}
