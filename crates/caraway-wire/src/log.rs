//! Messages of the platform's append-only log service.
//!
//! - `POST /v1/streams/{stream}/append` takes an [`Append`] and responds with an [`Appended`].
//! - `GET /v1/streams/{stream}/read?from=N&max=M` responds with a [`Page`].
//!
//! The records of a stream have consecutive offsets from zero. Records older than the retention
//! time are dropped.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

/// Stream with the operators' configuration records and with snapshots of the state that results
/// from them.
pub const CONFIG_STREAM: &str = "config";
/// Stream with the intents and outcomes of calls that must run at most once.
pub const CALLS_STREAM: &str = "calls";
/// Stream with the counts of service-level objectives, for error-budget windows that are too long
/// to keep in memory.
pub const BURN_STREAM: &str = "burn";

/// Appends records to a stream, either all or none of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Append {
    /// The records, in order; the log does not interpret them.
    pub records: Vec<Arc<str>>,
}

/// Response to an [`Append`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: Offset,
    /// Offset after the last appended record.
    pub next: Offset,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Page {
    /// Offset of the oldest record that is still retained.
    pub oldest: Offset,
    /// Offset that the next appended record gets.
    pub end: Offset,
    /// The records from the requested offset, or from `oldest` if that is larger.
    pub records: Vec<Entry>,
}

/// A record with its offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Position of the record in its stream.
    pub offset: Offset,
    /// Content of the record, as it was appended.
    pub data: Arc<str>,
}
