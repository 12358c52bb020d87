//! Placement requests and their outcomes.

use std::{sync::Arc, time::Instant};

use caraway_routes::{ModelRef, TokenCount};
use caraway_types::{AccountId, EndpointId, Ticket};
use serde::{Deserialize, Serialize};

/// Identifies one connection from an instance that sends placement requests.
pub type SourceId = u64;

/// Identifies a placement request at a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacementId {
    /// The connection that the request came through.
    pub source: SourceId,
    /// The request's ticket, unique within its source.
    pub ticket: Ticket,
}

/// A request for an engine endpoint that can run an inference request.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service whose endpoints may run it.
    pub service: Arc<str>,
    /// The client account that sent it; `None` if it has none.
    pub account: Option<AccountId>,
    /// The model and adapter that it needs.
    pub model: ModelRef,
    /// Prompt and output sizes, in tokens.
    pub tokens: TokenCount,
    /// Priority among waiting requests; 0 is served first.
    pub priority: u8,
    /// Latest time at which its first event still counts as on time.
    pub goal: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Endpoints to exclude because they did not run an earlier attempt.
    pub exclude: Vec<EndpointId>,
}

/// How a granted or waiting request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The endpoint processed the request, or its caller disconnected.
    #[default]
    Done,
    /// The endpoint did not run it because it does not hold the adapter.
    NotHeld,
    /// The endpoint did not run it for another reason.
    Refused,
    /// The endpoint broke off its response or sent an invalid one.
    Failed,
    /// No connection to the endpoint could be made.
    Unreachable,
    /// It was not sent, for a reason unrelated to the endpoint's state.
    NotSent,
}
