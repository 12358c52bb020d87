//! [`Chunk`]: the part of a snapshot that is stored in one record of the log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use super::row::{Row, to_json};
use crate::state::SNAPSHOT_KIND;

/// Schema version of the chunks that this program reads and writes.
pub(crate) const CHUNK_SCHEMA: u32 = 1;

/// Identifies a snapshot by its position and content.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SnapshotId {
    /// Offset of the first record that the snapshot does not cover.
    pub covered: Offset,
    /// Digest of the state at `covered`.
    pub digest: u64,
    /// Checksum of all rows.
    #[serde(rename = "sum")]
    pub checksum: u64,
}

/// The envelope of a chunk in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ChunkRecord {
    schema: u32,
    kind: Arc<str>,
    key: Arc<str>,
    id: Arc<str>,
    body: Chunk,
}

/// The part of a snapshot that is stored in one record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Chunk {
    /// The snapshot it belongs to.
    pub(crate) snapshot: SnapshotId,
    /// Index of the chunk, starting at 0.
    pub(crate) index: u32,
    /// Number of chunks of the snapshot.
    pub(crate) count: u32,
    /// Rows of the chunk.
    pub(crate) rows: Vec<Row>,
}

/// Encodes each part as a record for the log.
pub(crate) fn encode(snapshot: SnapshotId, parts: Vec<Vec<Row>>) -> Vec<Arc<str>> {
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let record = |(index, rows)| {
        let record = ChunkRecord {
            schema: CHUNK_SCHEMA,
            kind: SNAPSHOT_KIND.into(),
            key: snapshot.covered.to_string().into(),
            id: format!("{}-{:x}-{index}", snapshot.covered, snapshot.checksum).into(),
            body: Chunk {
                snapshot,
                index,
                count,
                rows,
            },
        };
        to_json(&record).into()
    };
    (0..count).zip(parts).map(record).collect()
}

/// Parses a chunk; returns `None` if it is malformed or its schema is not supported.
pub(crate) fn parse(text: &str) -> Option<Chunk> {
    let record: ChunkRecord = serde_json::from_str(text).ok()?;
    let chunk = record.body;
    let in_range = chunk.index < chunk.count;
    (record.schema == CHUNK_SCHEMA && in_range).then_some(chunk)
}
