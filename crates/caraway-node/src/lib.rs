//! The decisions of one entry instance, joined into one state machine without I/O.
//!
//! A [`Node`] takes an [`Input`] and the time and appends [`Output`]s. The daemon turns network
//! events into inputs and outputs into calls; the measuring tool drives many nodes against fakes.
//!
//! - [`NodeSettings`], [`EndpointSettings`] and [`EndpointKind`] say what a node knows at first.
//! - [`Input`], [`Submission`], [`Done`], [`LoadResult`], [`EngineReport`], [`ReportedLoad`] and
//!   [`ListedMember`] are what happens to it; [`Output`] is what it asks for.
//! - [`Gossip`] and [`Residents`] pass between nodes.

mod gossip;
mod input;
mod listing;
mod node;
mod output;
mod settings;

pub use gossip::{Gossip, Residents};
pub use input::{Done, EngineReport, Input, LoadResult, ReportedLoad, Submission};
pub use listing::ListedMember;
pub use node::Node;
pub use output::Output;
pub use settings::{EndpointKind, EndpointSettings, NodeSettings};
