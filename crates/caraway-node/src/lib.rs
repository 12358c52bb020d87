//! The decisions of one entry instance, joined into one state machine without I/O.
//!
//! A [`Node`] takes an [`Input`] and the time and appends [`Output`]s. The daemon turns network
//! events into inputs and outputs into calls; the measuring tool drives many nodes against fakes.

mod input;
mod output;

pub use input::{Done, EngineReport, Input, LoadResult, ReportedLoad, Submission};
pub use output::Output;
