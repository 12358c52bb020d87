//! [`RetryPause`]: how long an instance waits before it calls a store again that did not answer.

use std::time::Duration;

/// Pause after a first failure, and after each one of an instance that others rely on.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause of an instance that hears from a holder once the store is back, in a zone of few;
/// half of the two seconds in which lapsed entries of the registry come back.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause in any zone: as long as a machine that the store turned away counts as out of
/// touch after that, in the smallest deployments.
const LIMIT: Duration = Duration::from_secs(3);
/// Multiple of the pause for what waits until another call has shown that the store is back.
const PROBED: u32 = 4;

/// The pause before the next call, which grows with each failure in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPause {
    last: Duration,
}

impl RetryPause {
    /// Notes a failure and returns the pause after it. `relied_on` tells whether other instances
    /// take this one's records: it has to see at once that the store is back, while the others
    /// hear it from there. In a zone without the store all others only add to its load, so the
    /// `peers` of a zone together call about as often whatever their number.
    pub fn on_failure(&mut self, relied_on: bool, peers: usize) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let longest = FIRST_PAUSE
            .saturating_mul(peers)
            .clamp(LONGEST_PAUSE, LIMIT);
        self.last = if relied_on {
            FIRST_PAUSE
        } else {
            (self.last * 2).clamp(FIRST_PAUSE, longest)
        };
        self.last
    }

    /// Returns the pause of a call that need not tell whether the store is back, as another one
    /// does.
    #[must_use]
    pub fn probed(&self) -> Duration {
        self.last * PROBED
    }

    /// Notes an answer.
    pub fn on_answer(&mut self) {
        self.last = Duration::ZERO;
    }
}
