//! The configuration that operators publish as versioned records, and the deterministic fold of the
//! log that carries them.
//!
//! - [`Record`] is one record: an envelope that every program version reads, and a [`Body`].
//! - [`State`] folds records in the order of their offsets; [`Outcome`] is the result for each.
//! - [`Current`] is the latest accepted record of a key.
//! - [`Adapter`], [`AdapterVersion`], [`Account`], [`Routing`], [`Objective`] and [`Service`] are
//!   the bodies in their newest schema; bodies in older schemas are converted when they are parsed.
//! - [`Snapshot`] splits a state into records for the log; [`SnapshotAssembly`] restores it.
//! - [`Follower`] keeps a state up to date from the log and from peers.
//!
//! This crate does no I/O and reads no clock; callers pass the time in.

mod active_config;
mod body;
mod current;
mod digest;
mod fields;
mod follower;
mod key_history;
mod limits;
mod outcome;
mod recent_ids;
mod record;
mod resolve;
mod snapshot;
mod state;

pub use body::{
    Account, Adapter, AdapterVersion, Body, Kind, Measure, Objective, Routing, Service,
};
pub use current::Current;
pub use follower::{
    Follower, FollowerInput, FollowerOutput, FollowerSettings, LogPage, LogRecord, Notice, Offer,
    PeerAnswer, Source,
};
pub use limits::{
    CHUNK_LIMIT, ID_WINDOW, KEY_LIMIT, RECORD_LIMIT, TOMBSTONE_WINDOW, TOTAL_BYTES_LIMIT,
};
pub use outcome::{Outcome, RefusedRecord};
pub use record::Record;
pub use resolve::ResolveError;
pub use snapshot::{Snapshot, SnapshotAssembly, SnapshotError, SnapshotId};
pub use state::State;
