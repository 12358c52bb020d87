//! [`Chunk`]: one record of a snapshot.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use super::row::{Row, json};
use crate::state::SNAPSHOT_KIND;

/// Schema of the chunks that this program reads and writes.
pub(crate) const CHUNK_SCHEMA: u32 = 1;

/// Tells snapshots apart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SnapshotId {
    /// The snapshot covers the records below this offset.
    pub covered: Offset,
    /// Digest of the state.
    pub digest: u64,
    /// Hash of all rows.
    pub sum: u64,
}

/// A chunk as a record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChunkRecord {
    schema: u32,
    kind: Arc<str>,
    key: Arc<str>,
    id: Arc<str>,
    body: Chunk,
}

/// The part of a snapshot that one record carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Chunk {
    /// The snapshot it belongs to.
    pub(crate) snapshot: SnapshotId,
    /// Its place among the chunks, from zero.
    pub(crate) index: u32,
    /// Number of chunks.
    pub(crate) count: u32,
    /// Its rows.
    pub(crate) rows: Vec<Row>,
}

/// Writes one record for each part.
pub(crate) fn write(snapshot: SnapshotId, parts: Vec<Vec<Row>>) -> Vec<Arc<str>> {
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let record = |(index, rows)| {
        let record = ChunkRecord {
            schema: CHUNK_SCHEMA,
            kind: SNAPSHOT_KIND.into(),
            key: snapshot.covered.to_string().into(),
            id: format!("{}-{:x}-{index}", snapshot.covered, snapshot.sum).into(),
            body: Chunk {
                snapshot,
                index,
                count,
                rows,
            },
        };
        json(&record).into()
    };
    (0..count).zip(parts).map(record).collect()
}

/// Reads a chunk; none if it is malformed or in a schema that this program does not know.
pub(crate) fn read(text: &str) -> Option<Chunk> {
    let record: ChunkRecord = serde_json::from_str(text).ok()?;
    let chunk = record.body;
    let fits = chunk.index < chunk.count;
    (record.schema == CHUNK_SCHEMA && fits).then_some(chunk)
}
