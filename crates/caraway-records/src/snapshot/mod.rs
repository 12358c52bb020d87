//! Snapshots of the fold, which outlive the log's retention.
//!
//! A snapshot covers every record below an offset and is a pure function of them. It is written
//! as chunks, which are records of the same log, so a late or repeated one changes nothing.

mod assembly;
mod chunk;
mod restore;
mod row;

pub use assembly::Assembly;
pub use chunk::SnapshotId;
pub use restore::SnapshotError;

use std::sync::Arc;

use crate::State;

/// A snapshot of a [`State`], cut into records for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Tells snapshots apart; equal ones have the same chunks.
    pub id: SnapshotId,
    /// The records to append.
    pub chunks: Vec<Arc<str>>,
}

/// Reads which part of which snapshot a record is: the snapshot, the index and the count.
pub(crate) fn peek(text: &str) -> Option<(SnapshotId, u32, u32)> {
    let chunk = chunk::read(text)?;
    Some((chunk.snapshot, chunk.index, chunk.count))
}

impl Snapshot {
    /// Makes the snapshot of `state`.
    #[must_use]
    pub fn of(state: &State) -> Self {
        let parts = row::cut(row::rows(state));
        let id = SnapshotId {
            covered: state.next(),
            digest: state.digest(),
            sum: row::sum(parts.iter().map(Vec::as_slice)),
        };
        Self {
            id,
            chunks: chunk::write(id, parts),
        }
    }
}
