//! Snapshots of the state, which preserve it beyond the retention of the log.
//!
//! A snapshot covers all records below an offset and is a pure function of them. It is split into
//! chunks that are appended to the same log. As equal snapshots have equal chunks, late and
//! duplicate chunks are harmless.

mod assembly;
mod chunk;
mod restore;
mod row;

pub use assembly::SnapshotAssembly;
pub use chunk::SnapshotId;
pub use restore::SnapshotError;

use std::sync::Arc;

use crate::State;

/// A snapshot of a [`State`], split into records for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Position, digest and checksum; snapshots with equal ids have equal chunks.
    pub id: SnapshotId,
    /// The records to append.
    pub chunks: Vec<Arc<str>>,
}

/// Parses a record as a chunk and returns its snapshot, its index and the number of chunks.
pub(crate) fn chunk_position(text: &str) -> Option<(SnapshotId, u32, u32)> {
    let chunk = chunk::parse(text)?;
    Some((chunk.snapshot, chunk.index, chunk.count))
}

impl Snapshot {
    /// Creates the snapshot of `state`.
    #[must_use]
    pub fn of(state: &State) -> Self {
        let parts = row::split(row::rows(state));
        let id = SnapshotId {
            covered: state.next(),
            digest: state.digest(),
            checksum: row::checksum(parts.iter().map(Vec::as_slice)),
        };
        Self {
            id,
            chunks: chunk::encode(id, parts),
        }
    }
}
