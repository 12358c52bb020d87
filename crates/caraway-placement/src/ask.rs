//! [`Ask`]: a request that wants an endpoint.

use std::{sync::Arc, time::Instant};

use caraway_routes::{ModelRef, TokenCount};
use caraway_types::{EndpointId, Ticket};
use serde::{Deserialize, Serialize};

/// Names one connection to an asking instance.
pub type SourceId = u64;

/// Names a request at a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId {
    /// Who asks.
    pub source: SourceId,
    /// The request, unique for its source.
    pub ticket: Ticket,
}

/// A request that wants an endpoint.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service whose endpoints may run it.
    pub service: Arc<str>,
    /// The model and adapter that it wants.
    pub model: ModelRef,
    /// Its size.
    pub tokens: TokenCount,
    /// Rank among requests; 0 comes first.
    pub priority: u8,
    /// When its first event is on time.
    pub goal: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Endpoints that did not run it.
    pub avoid: Vec<EndpointId>,
}

/// How a granted or waiting request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The endpoint worked on it, or its caller left.
    Done,
    /// The endpoint did not run it, as it does not hold the adapter.
    NotHeld,
    /// The endpoint did not run it for another reason.
    Refused,
    /// The endpoint broke off, or gave something else than an answer.
    Failed,
    /// No connection to the endpoint could be made.
    Unreachable,
    /// It was not sent there, for a reason that says nothing about the endpoint's state.
    NotSent,
}
