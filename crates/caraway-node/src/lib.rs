//! The decisions of one entry instance, joined into one state machine without I/O.
//!
//! A [`Node`] takes an [`Input`] and the time and appends [`Output`]s. The daemon turns network
//! events into inputs and outputs into calls; the measuring tool drives many nodes against fakes.
//!
//! - [`NodeSettings`], [`EndpointSettings`] and [`EndpointKind`] say what a node knows at first.
//! - [`Input`], [`Submission`], [`Done`], [`LoadResult`], [`EngineReport`], [`ReportedLoad`] and
//!   [`ListedMember`] are what happens to it; [`Output`] is what it asks for.
//! - [`Gossip`] passes between nodes, with [`Room`] and [`ConfigMark`].

mod engine;
mod gossip;
mod input;
mod job;
mod node;
mod orders;
mod output;
mod requests;
mod settings;
mod talk;

pub use caraway_members::ListedMember;
pub use gossip::{ConfigMark, Gossip, Room};
pub use input::{Done, EngineReport, Input, LoadResult, ReportedLoad, Submission};
pub use node::Node;
pub use output::Output;
pub use settings::{EndpointKind, EndpointSettings, NodeSettings};
