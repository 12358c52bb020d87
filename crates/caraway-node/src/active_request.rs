//! [`ActiveRequest`]: a request without a final answer, and its state.

use std::time::Instant;

use caraway_types::{EndpointId, InstanceId, LoadName};

use crate::Submission;

/// State of a request without a final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// Queued on this instance until its adapter version is loaded or a batch has room.
    Pending,
    /// Neither an engine nor a peer was chosen for it, since this time.
    Unrouted(Instant),
    /// An attempt runs on an engine of this zone.
    Running {
        endpoint: EndpointId,
        load: LoadName,
    },
    /// Forwarded to this peer, which answers it.
    Forwarded(InstanceId),
}

/// A request that has no final answer yet.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) submission: Submission,
    pub(crate) state: RequestState,
    /// Peers that it must not be forwarded to: the one that sent it and those that did not serve
    /// it.
    pub(crate) excluded_peers: Vec<InstanceId>,
    /// Whether it was recorded for the popularity of its adapter version; a request is recorded
    /// once, however often it is retried.
    pub(crate) popularity_recorded: bool,
}
