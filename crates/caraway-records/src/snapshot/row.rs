//! [`Row`]: the unit in which a snapshot is split into chunks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use caraway_types::Offset;

use crate::{State, head::Standing, ids::SeenId};

/// Maximum size of the rows in one chunk, in bytes, unless a single row is larger.
const CHUNK_BYTES: usize = 64 * 1024;
/// Number of remembered ids per row.
const ROW_IDS: usize = 256;

/// A part of the state; records come first, ordered by key and offset, and then the ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Row {
    /// An accepted record that the state retains.
    Text(TextRow),
    /// Remembered record ids, oldest first.
    Ids(Vec<SeenId>),
}

/// An accepted record with its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TextRow {
    /// Offset of the record in the log.
    pub(crate) offset: Offset,
    /// Whether the body was in force for the writer of the snapshot.
    pub(crate) standing: Standing,
    /// Whether the key is deleted.
    pub(crate) deleted: bool,
    /// The record's JSON.
    pub(crate) text: Arc<str>,
}

/// Returns the rows of a state.
pub(crate) fn rows(state: &State) -> Vec<Row> {
    let mut rows = Vec::new();
    for head in state.heads.values() {
        for kept in &head.texts {
            rows.push(Row::Text(TextRow {
                offset: kept.offset,
                standing: kept.standing,
                deleted: head.deleted,
                text: kept.text.clone(),
            }));
        }
    }
    let ids: Vec<SeenId> = state.ids.iter().copied().collect();
    rows.extend(ids.chunks(ROW_IDS).map(|ids| Row::Ids(ids.to_vec())));
    rows
}

/// Splits rows into one part for each chunk; there is at least one part.
pub(crate) fn cut(rows: Vec<Row>) -> Vec<Vec<Row>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut bytes = 0;
    for row in rows {
        let size = json(&row).len();
        if bytes + size > CHUNK_BYTES && !part.is_empty() {
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
pub(crate) fn sum<'a>(parts: impl Iterator<Item = &'a [Row]>) -> u64 {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(json(&part).as_bytes());
    }
    hash.digest()
}

/// Encodes a value as JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
