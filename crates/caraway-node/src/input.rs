//! [`Input`]: the events that a node handles.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use caraway_types::{
    AccountId, AdapterRef, Class, EndpointId, FencingToken, Incarnation, InstanceId, LoadName,
    Ticket,
};

use caraway_members::ListedMember;

use crate::Gossip;

/// An event that a [`Node`](crate::Node), the state machine of an instance, handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller or a peer sent a request.
    Submit(Submission),
    /// The caller of a request has disconnected.
    Cancel(Ticket),
    /// An attempt that [`Output::Start`](crate::Output::Start) began has ended, or the peer of an
    /// [`Output::Forward`](crate::Output::Forward) has answered or could not be reached.
    Finished(Ticket, AttemptOutcome),
    /// A load order has ended.
    Loaded(EndpointId, LoadName, LoadResult),
    /// An unload order has ended; true if the engine confirmed it.
    Unloaded(EndpointId, LoadName, bool),
    /// An engine has reported its slots and batch.
    Report(EndpointId, EngineReport),
    /// A message arrived from a peer.
    Gossip(Gossip),
    /// The platform's list of instances and endpoints was read; it may be a few seconds old.
    Listing(Vec<ListedMember>),
    /// Only time has passed. The caller sends it periodically, so that deadlines, leases and
    /// heartbeats are handled in time.
    Tick,
    /// This instance must stop gracefully: it accepts no new requests and hands over its replicas.
    Leave,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifies the request on this instance.
    pub ticket: Ticket,
    /// Client account that sent the request; its limits apply on the instance that received it
    /// first.
    pub account: AccountId,
    /// Adapter version that must serve the request.
    pub adapter: AdapterRef,
    /// Urgency class.
    pub class: Class,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hash of the first part of the prompt.
    pub prefix_hash: u64,
    /// Peer that forwarded the request, or `None` if a caller sent it to this instance. It is never
    /// forwarded back to that peer.
    pub forwarded_by: Option<InstanceId>,
    /// Number of times the request was forwarded.
    pub hops: u8,
}

/// Outcome of an attempt, or of a request that was forwarded to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The answer was delivered completely.
    Complete,
    /// The attempt certainly did not run; the node may retry elsewhere.
    NotRun,
    /// The engine refused the attempt because the load is not resident; the node may retry
    /// elsewhere.
    NotResident,
    /// The attempt failed, and may have run wholly or in part; it is not retried.
    Failed,
    /// The caller disconnected.
    Cancelled,
}

/// Result of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadResult {
    /// The adapter is resident.
    Resident,
    /// The engine has no free slot; nothing was loaded.
    SlotsFull,
    /// The engine has seen this larger fencing token; nothing was loaded.
    Stale(FencingToken),
    /// The load failed; nothing was loaded.
    Failed,
    /// The answer was lost; the engine may have loaded the adapter or may still do so.
    Unknown,
}

/// An engine's report of its slots and batch; it may be a few seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineReport {
    /// Number that increases each time the engine restarts without loads.
    pub incarnation: Incarnation,
    /// Number of adapter slots.
    pub slots: u32,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests in the engine's queue.
    pub waiting: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Largest fencing token that the engine has seen; zero if it does not check them.
    pub max_fence: FencingToken,
    /// Loads in the engine's slots.
    pub residents: Vec<ReportedLoad>,
}

/// A resident load in an [`EngineReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Name under which the engine serves the load.
    pub name: LoadName,
    /// Adapter version of the load.
    pub adapter: AdapterRef,
    /// Number of requests that run on it.
    pub running: u32,
}
