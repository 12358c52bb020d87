//! State machine of one entry instance: admits and routes requests, decides which adapters to load
//! and evict on the engines that the instance holds, and exchanges gossip with its peers.
//!
//! A [`Node`] does no I/O. It handles an [`Input`] at a given time and appends the [`Output`]s that
//! the caller must execute. The daemon creates inputs from network events and sends the outputs;
//! the measuring tool drives many nodes against simulated engines.
//!
//! - [`NodeSettings`], [`EndpointSettings`] and [`EndpointKind`] configure a node at startup.
//! - [`Submission`], [`AttemptOutcome`], [`LoadResult`], [`EngineReport`], [`ReportedLoad`] and
//!   [`ListedMember`] are the contents of the [`Input`]s.
//! - [`Gossip`] is the message between nodes; it contains a [`CapacityReport`] and a
//!   [`ConfigVersion`].

mod active_request;
mod engine;
mod gossip;
mod input;
mod node;
mod orders;
mod output;
mod peers;
mod requests;
mod settings;

pub use caraway_members::ListedMember;
pub use gossip::{CapacityReport, ConfigVersion, Gossip};
pub use input::{AttemptOutcome, EngineReport, Input, LoadResult, ReportedLoad, Submission};
pub use node::Node;
pub use output::Output;
pub use settings::{EndpointKind, EndpointSettings, NodeSettings};
