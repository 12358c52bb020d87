//! [`EvidenceSettings`]: how many crashes it takes, and how long their conclusions last.

use std::time::Duration;

use crate::Suspect;

/// Settings of a [`CrashEvidence`](crate::CrashEvidence).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceSettings {
    /// Number of crashes that have to have a segment in common.
    pub crashes: usize,
    /// The same for a whole request, if no other crashes are known; otherwise one more.
    pub request_crashes: usize,
    /// The same for a suspect with which requests have made progress before: it can only have
    /// become the cause by a change of the endpoints.
    pub proven_crashes: usize,
    /// Factor of all these for an instance that may not have learned all that others have seen.
    pub isolated_factor: usize,
    /// Time between two crashes from which on they count as two. Endpoints that crash at the same
    /// moment, as in a loss of power, are one crash: it says nothing about the requests there.
    pub separation: Duration,
    /// Time after a crash in which all instances have reported it, and what made progress since.
    pub settling: Duration,
    /// Time for which a crash counts.
    pub memory: Duration,
    /// Time for which a first quarantine lasts.
    pub lifetime: Duration,
    /// Longest time for which a renewed quarantine lasts.
    pub max_lifetime: Duration,
    /// Part of the lifetime that is added, 0 to 1, a random number of the instance: when a
    /// quarantine ends, few instances try the suspects before they all know the result.
    pub jitter: f64,
    /// Number of crashes that are remembered.
    pub max_incidents: usize,
    /// Number of quarantines at a time.
    pub max_quarantines: usize,
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            crashes: 4,
            request_crashes: 3,
            proven_crashes: 8,
            isolated_factor: 2,
            separation: Duration::from_millis(40),
            settling: Duration::from_millis(150),
            memory: Duration::from_mins(5),
            lifetime: Duration::from_mins(10),
            max_lifetime: Duration::from_hours(2),
            jitter: 0.0,
            max_incidents: 128,
            max_quarantines: 64,
        }
    }
}

impl EvidenceSettings {
    /// Returns the number of crashes that make a suspect without progress a cause.
    pub(crate) fn necessary_crashes(&self, suspect: Suspect) -> usize {
        match suspect {
            Suspect::Segment(_) => self.crashes,
            Suspect::Request(_) => self.request_crashes,
        }
    }

    /// Returns a lifetime with the instance's random part.
    pub(crate) fn with_jitter(&self, lifetime: Duration) -> Duration {
        lifetime.mul_f64(1.0 + self.jitter.clamp(0.0, 1.0))
    }
}
