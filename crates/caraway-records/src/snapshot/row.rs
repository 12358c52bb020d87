//! [`Row`]: the unit in which a snapshot is split into chunks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use caraway_types::Offset;

use crate::{State, key_history::BodyStatus, recent_ids::RecentId};

/// Maximum size of the rows in one chunk, in bytes, unless a single row is larger.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// Number of remembered ids per row.
const IDS_PER_ROW: usize = 256;

/// A part of the state; records come first, ordered by key and offset, and then the ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Row {
    /// An accepted record that the state retains.
    #[serde(rename = "text")]
    Record(RecordRow),
    /// Remembered record ids, oldest first.
    Ids(Vec<RecentId>),
}

/// An accepted record with its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordRow {
    /// Offset of the record in the log.
    pub(crate) offset: Offset,
    /// Whether the body was in force for the writer of the snapshot.
    #[serde(rename = "standing")]
    pub(crate) status: BodyStatus,
    /// Whether the key is deleted.
    pub(crate) deleted: bool,
    /// The record's JSON.
    #[serde(rename = "text")]
    pub(crate) json: Arc<str>,
}

/// Returns the rows of a state.
pub(crate) fn rows(state: &State) -> Vec<Row> {
    let mut rows = Vec::new();
    for history in state.keys.values() {
        for accepted in &history.records {
            rows.push(Row::Record(RecordRow {
                offset: accepted.offset,
                status: accepted.status,
                deleted: history.deleted,
                json: accepted.json.clone(),
            }));
        }
    }
    let ids: Vec<RecentId> = state.ids.iter().copied().collect();
    rows.extend(ids.chunks(IDS_PER_ROW).map(|ids| Row::Ids(ids.to_vec())));
    rows
}

/// Splits rows into one part for each chunk; there is at least one part.
pub(crate) fn split(rows: Vec<Row>) -> Vec<Vec<Row>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for row in rows {
        let size = to_json(&row).len();
        if bytes + size > MAX_CHUNK_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            bytes = 0;
        }
        bytes += size;
        part.push(row);
    }
    parts.push(part);
    parts
}

/// Returns the checksum of all rows.
pub(crate) fn checksum<'a>(parts: impl Iterator<Item = &'a [Row]>) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(to_json(&part).as_bytes());
    }
    hasher.digest()
}

/// Encodes a value as JSON.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
