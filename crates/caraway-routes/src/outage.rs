//! [`Outage`]: whether entries that are missing may have lapsed while the registry was away.

use std::time::{Duration, Instant};

use crate::Lapse;

/// Sets when an [`Outage`] is taken for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageLimits {
    /// Time without a sign that the registry serves anybody after which entries may have lapsed.
    pub silence: Duration,
    /// Time after its return in which lapsed entries come back.
    pub grace: Duration,
}

impl Default for OutageLimits {
    fn default() -> Self {
        Self {
            // A read that waits for 2 s, its answer and the pause between, and some more; entries
            // lapse after three beats of more than a second.
            silence: Duration::from_millis(3200),
            // Endpoints that live are back within two seconds.
            grace: Duration::from_millis(2200),
        }
    }
}

/// Tells a registry that was away for everybody from one that only this instance could not reach.
///
/// In the first case missing entries may come back; in the second a missing entry is gone, as
/// somebody removed it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    limits: OutageLimits,
    /// When this instance, or another that it hears of, last read the registry.
    served: Option<Instant>,
    until: Option<Instant>,
}

impl Outage {
    /// Knows of no read yet.
    #[must_use]
    pub fn new(limits: OutageLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Notes that this instance read the registry; returns what missing entries are by that.
    pub fn on_read(&mut self, now: Instant) -> Lapse {
        let silence = self.served.map(|at| now.saturating_duration_since(at));
        if silence.is_some_and(|s| s > self.limits.silence) {
            self.until = Some(now + self.limits.grace);
        }
        self.served = Some(now);
        self.lapse(now)
    }

    /// Notes that another instance reads the registry as usual.
    pub fn on_peer(&mut self, now: Instant) {
        self.served = Some(now);
    }

    /// Returns what missing entries are now.
    #[must_use]
    pub fn lapse(&self, now: Instant) -> Lapse {
        match self.until {
            Some(until) if now < until => Lapse::Until(until),
            _ => Lapse::Gone,
        }
    }
}
