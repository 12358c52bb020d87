//! [`Quarantine`]: segments of prompts that are kept away from the endpoints of a service.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::SegmentId;

/// Segments that several crashes have in common. A request is refused if its prompt has all of
/// them, so that a segment that only ever came together with the one that crashes engines is not
/// refused by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The service whose endpoints crashed.
    pub service: Arc<str>,
    /// The segments; not empty.
    pub segments: BTreeSet<SegmentId>,
    /// The endpoints that crashed, in the order of the crashes.
    pub crashed: Vec<EndpointId>,
    /// When it was decided on or renewed; later progress with a segment shows that it is not needed.
    pub decided_at: Instant,
    /// When requests with the segments are tried again.
    pub until: Instant,
    /// Time from the last crash to `until`, without its random part.
    pub lifetime: Duration,
}

impl Quarantine {
    /// Returns whether a prompt with these segments has all segments of the quarantine.
    pub(crate) fn covers(&self, service: &str, has: impl Fn(SegmentId) -> bool) -> bool {
        *self.service == *service && self.segments.iter().all(|s| has(*s))
    }

    /// Returns when the quarantine is forgotten. From `until` to then, a single crash renews it.
    pub(crate) fn forgotten_at(&self) -> Instant {
        self.until + self.lifetime
    }
}
