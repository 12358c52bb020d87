//! [`OutageDetector`]: detects whether registry entries may have expired because the registry was
//! down.

use std::time::{Duration, Instant};

use crate::MissingPolicy;

/// Thresholds of an [`OutageDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageLimits {
    /// Time without a successful read by any instance after which entries may have expired.
    pub silence: Duration,
    /// Time after the registry returns within which expired entries are registered again.
    pub grace: Duration,
}

impl Default for OutageLimits {
    fn default() -> Self {
        Self {
            // Longer than one read cycle: a long poll of 2 s, its answer, the pause before the next
            // and a margin. Shorter than the life of an entry, which expires after three missed
            // heartbeats of more than 1 s each.
            silence: Duration::from_millis(3200),
            // Live endpoints register again within 2 s.
            grace: Duration::from_millis(2200),
        }
    }
}

/// Distinguishes a registry that was down for all instances from one that only this instance
/// could not reach.
///
/// After the former, missing entries may have expired and can come back; after the latter, a
/// missing entry was deleted.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageDetector {
    limits: OutageLimits,
    /// When this instance or a peer last read the registry.
    last_read: Option<Instant>,
    /// End of the grace period after the last outage.
    grace_end: Option<Instant>,
}

impl OutageDetector {
    /// Creates a detector that has recorded no read yet.
    #[must_use]
    pub fn new(limits: OutageLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Records that this instance read the registry. Returns how to treat missing entries.
    pub fn on_read(&mut self, now: Instant) -> MissingPolicy {
        let silence = self.last_read.map(|at| now.saturating_duration_since(at));
        if silence.is_some_and(|s| s > self.limits.silence) {
            self.grace_end = Some(now + self.limits.grace);
        }
        self.last_read = Some(now);
        self.missing_policy(now)
    }

    /// Records that a peer reads the registry without interruption.
    pub fn on_peer_read(&mut self, now: Instant) {
        self.last_read = Some(now);
    }

    /// Records that the registry has returned from an older copy of itself. Entries that it has lost are
    /// registered again as after an outage.
    pub fn on_restored(&mut self, now: Instant) {
        self.grace_end = Some(now + self.limits.grace);
        self.last_read = Some(now);
    }

    /// Returns how to treat entries that are missing at `now`.
    #[must_use]
    pub fn missing_policy(&self, now: Instant) -> MissingPolicy {
        match self.grace_end {
            Some(end) if now < end => MissingPolicy::KeepUntil(end),
            _ => MissingPolicy::Remove,
        }
    }
}
