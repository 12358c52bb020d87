//! [`Quarantine`]: what is kept away from the endpoints of a service.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::Suspect;

/// Suspects that several crashes have in common: segments of prompts, or one request. A request is refused if
/// it has all of them, so that a segment that only ever came together with the one that crashes engines
/// is not refused by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The service whose endpoints crashed.
    pub service: Arc<str>,
    /// The suspects; not empty.
    pub suspects: BTreeSet<Suspect>,
    /// The endpoints that crashed, in the order of the crashes.
    pub crashed: Vec<EndpointId>,
    /// When it was decided on or renewed; later progress with a suspect shows that it is not needed.
    pub decided_at: Instant,
    /// When requests with the suspects are tried again.
    pub until: Instant,
    /// Time from the last crash to `until`, without its random part.
    pub lifetime: Duration,
}

impl Quarantine {
    /// Returns whether a request with these suspects has all suspects of the quarantine.
    pub(crate) fn covers(&self, service: &str, has: impl Fn(Suspect) -> bool) -> bool {
        *self.service == *service && self.suspects.iter().all(|s| has(*s))
    }

    /// Returns when the quarantine is forgotten. From `until` to then, a single crash renews it.
    pub(crate) fn forgotten_at(&self) -> Instant {
        self.until + self.lifetime
    }
}
