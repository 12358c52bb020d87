//! The platform's append-only log service.
//!
//! - `POST /v1/streams/{stream}/append` takes [`Append`] and answers [`Appended`].
//! - `GET /v1/streams/{stream}/read?from=N&max=M` answers [`Page`].
//!
//! A stream numbers its records from zero without gaps; old ones are dropped after the retention.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

/// Stream that carries the operators' records and the snapshots of their fold.
pub const CONFIG_STREAM: &str = "config";
/// Stream that carries intents and outcomes of calls that may not be repeated.
pub const CALLS_STREAM: &str = "calls";
/// Stream that carries service-level counts for the long windows.
pub const BURN_STREAM: &str = "burn";

/// Appends records to a stream, all or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Append {
    /// The records, each an opaque text.
    pub records: Vec<Arc<str>>,
}

/// Answers an [`Append`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first: Offset,
    /// Offset after the last appended record.
    pub next: Offset,
}

/// A run of records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Page {
    /// Smallest offset that is still kept.
    pub oldest: Offset,
    /// Offset that the next append would get.
    pub end: Offset,
    /// The records from the asked offset, or from `oldest` if that is larger.
    pub records: Vec<Entry>,
}

/// A record with its offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// The record.
    pub data: Arc<str>,
}
