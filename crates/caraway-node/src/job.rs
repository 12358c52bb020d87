//! [`Job`]: a request and where it is.

use std::time::Instant;

use caraway_types::{EndpointId, InstanceId, LoadName};

use crate::Submission;

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// It waits here for its adapter or for a place in a batch.
    Waiting,
    /// No instance is known that could serve it.
    Parked(Instant),
    /// An attempt runs on an engine.
    Running {
        endpoint: EndpointId,
        load: LoadName,
    },
    /// A peer serves it.
    Forwarded(InstanceId),
}

/// A request that has no final answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    pub(crate) place: Place,
    /// Peers that it is not passed on to again.
    pub(crate) tried: Vec<InstanceId>,
    /// Whether the popularity counts it.
    pub(crate) counted: bool,
}
