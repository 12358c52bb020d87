//! [`PassedOn`]: whether a holder passes a topic's records on to this instance.

use std::time::{Duration, Instant};

/// Shortest time for which a holder's sign of life holds: until its next one and one that is lost.
const LEAST_LIMIT: Duration = Duration::from_millis(1100);
/// Part of the time in which a record has to be in force that reading it from the store takes at
/// most, with the looks between: an answer's limit, and some more.
const READING: Duration = Duration::from_millis(900);

/// Whether a holder passes a topic's records on to this instance, by the holder's signs of life.
///
/// A sign counts from when it was asked for, not from when it came: a holder that was frozen
/// answers old questions when it goes on, and what it says then may be as old as they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassedOn {
    asked: Option<Instant>,
    limit: Duration,
}

impl Default for PassedOn {
    fn default() -> Self {
        Self::new(Duration::ZERO)
    }
}

impl PassedOn {
    /// Has heard nothing yet; records have to be in force within `bound` after they were written.
    ///
    /// A lost holder has a follower within two seconds or so. Where the bound allows it, its
    /// instances wait for that instead of all reading the store.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            asked: None,
            limit: bound.saturating_sub(READING).max(LEAST_LIMIT),
        }
    }

    /// Takes a sign of life that was asked for at `asked`, `None` for one that came unasked;
    /// `has_all` tells whether the holder reads as usual and this instance knows what it knows.
    /// Returns true when this instance has to read from now on.
    pub fn on_sign(&mut self, asked: Option<Instant>, has_all: bool) -> bool {
        if has_all {
            self.asked = self.asked.max(asked);
            return false;
        }
        self.asked.take().is_some()
    }

    /// Notes that records came that don't join what is known.
    pub fn clear(&mut self) {
        self.asked = None;
    }

    /// Tells whether the holder passes the records on.
    #[must_use]
    pub fn holds(&self, now: Instant) -> bool {
        let age = |asked: Instant| now.saturating_duration_since(asked);
        self.asked.is_some_and(|asked| age(asked) < self.limit)
    }
}
