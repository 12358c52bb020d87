//! [`Input`]: everything that can happen to a node.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use caraway_types::{
    AccountId, AdapterRef, Class, EndpointId, FencingToken, Incarnation, InstanceId, LoadName,
    Ticket,
};

use caraway_members::ListedMember;

use crate::Gossip;

/// An event for a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller or a peer asks for a completion.
    Submit(Submission),
    /// The caller of a request is gone.
    Cancel(Ticket),
    /// An attempt that was started has ended.
    Finished(Ticket, Done),
    /// An ordered load has ended.
    Loaded(EndpointId, LoadName, LoadResult),
    /// An ordered unload has ended; true when the engine confirmed it.
    Unloaded(EndpointId, LoadName, bool),
    /// An engine's load report.
    Report(EndpointId, EngineReport),
    /// A peer's message.
    Gossip(Gossip),
    /// The platform's lagging list of instances and endpoints.
    Listing(Vec<ListedMember>),
    /// Nothing happened for a while.
    Tick,
    /// This instance is to stop gracefully.
    Leave,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifies the request on this instance.
    pub ticket: Ticket,
    /// Who pays for it.
    pub account: AccountId,
    /// The adapter version that must answer.
    pub adapter: AdapterRef,
    /// Its urgency.
    pub class: Class,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// Most tokens to generate.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// The peer that passed it on, if any; such a request is never passed on to that peer again.
    pub via: Option<InstanceId>,
    /// How often it was passed on.
    pub hops: u8,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Done {
    /// The whole answer was delivered.
    Complete,
    /// It certainly did not run; the node may choose again.
    NotRun,
    /// The engine said that the load is not resident; the node may choose again.
    NotResident,
    /// It may have run, or ran in part, and is over.
    Failed,
    /// The caller left.
    Cancelled,
}

/// How a load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadResult {
    /// The adapter is resident.
    Resident,
    /// The engine has no free slot; nothing was loaded.
    SlotsFull,
    /// The engine knows a larger fencing token; nothing was loaded.
    Stale(FencingToken),
    /// The load failed; nothing was loaded.
    Failed,
    /// The answer was lost; the load may have happened or may still happen.
    Unknown,
}

/// What an engine reports, lagging.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineReport {
    /// Rises when the engine restarts empty.
    pub incarnation: Incarnation,
    /// Adapter slots.
    pub slots: u32,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Most requests in a batch.
    pub max_batch: u32,
    /// Largest fencing token that the engine keeps.
    pub max_fence: FencingToken,
    /// Resident loads.
    pub residents: Vec<ReportedLoad>,
}

/// A resident load in an [`EngineReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// The load's name.
    pub name: LoadName,
    /// The adapter version.
    pub adapter: AdapterRef,
    /// Requests that run on it.
    pub running: u32,
}
