//! Types shared by the crates of the workspace: identifiers, adapter references, request classes,
//! refusals and validation findings.
//!
//! This crate does no I/O.

mod adapter_ref;
mod class;
mod finding;
mod ids;
mod millis;
mod position;
mod refusal;
mod token_count;

pub use adapter_ref::{AdapterRef, AdapterRefError};
pub use class::Class;
pub use finding::{Finding, Findings};
pub use ids::{
    AccountId, AdapterId, AttemptId, EndpointId, FencingToken, Incarnation, InstanceId, LoadName,
    Offset, RequestId, SoftwareVersion, StoreEra, Ticket, VersionId, ZoneId,
};
pub use millis::Millis;
pub use position::Position;
pub use refusal::{Certainty, Reason, Refusal};
pub use token_count::TokenCount;
