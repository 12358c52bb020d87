//! [`SnapshotAssembly`]: collects the chunks of snapshots until one is complete.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

use caraway_types::Offset;

use super::{
    SnapshotError, SnapshotId,
    chunk::{self, Chunk},
    restore, row,
    row::Row,
};
use crate::State;

/// Maximum total size of the collected chunks, in bytes.
const MAX_BYTES: usize = 128 * 1024 * 1024;

/// Collects snapshot chunks, which may arrive in any order and more than once.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembly {
    snapshots: BTreeMap<SnapshotId, Partial>,
    bytes: usize,
    schema_limit: Option<u32>,
}

/// The chunks of one snapshot that were collected so far.
#[derive(Clone, Debug, Default)]
struct Partial {
    count: u32,
    bytes: usize,
    chunks: BTreeMap<u32, Vec<Row>>,
}

impl SnapshotAssembly {
    /// Creates an empty assembly; see [`State::with_schema_limit`] for the limit.
    #[must_use]
    pub fn with_schema_limit(schema_limit: Option<u32>) -> Self {
        Self {
            schema_limit,
            ..Self::default()
        }
    }

    /// Adds the record at `offset` if it is a chunk of a snapshot of earlier records.
    ///
    /// Returns the id of the snapshot if this chunk completes it.
    pub fn add(&mut self, offset: Offset, text: &str) -> Option<SnapshotId> {
        let chunk = chunk::parse(text)?;
        if chunk.snapshot.covered > offset {
            return None;
        }
        self.insert(chunk, text.len())
    }

    /// Restores the complete snapshot that covers the most records, and at least those below
    /// `min_covered`.
    ///
    /// If a snapshot is invalid, tries the one that covers the next most.
    ///
    /// # Errors
    ///
    /// Returns the error of the last snapshot that was tried, or [`SnapshotError::Incomplete`] if
    /// there was none.
    pub fn restore(&self, min_covered: Offset) -> Result<State, SnapshotError> {
        let mut error = SnapshotError::Incomplete;
        for (id, partial) in self.snapshots.iter().rev() {
            if id.covered < min_covered || !partial.is_complete() {
                continue;
            }
            match partial.restore(*id, self.schema_limit) {
                Ok(state) => return Ok(state),
                Err(e) => error = e,
            }
        }
        Err(error)
    }

    /// Restores the state from the chunks of one snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunks are incomplete or invalid.
    pub fn restore_all(
        chunks: &[Arc<str>],
        schema_limit: Option<u32>,
    ) -> Result<State, SnapshotError> {
        let mut assembly = Self::with_schema_limit(schema_limit);
        for chunk in chunks {
            assembly.add(Offset::MAX, chunk);
        }
        assembly.restore(0)
    }

    fn insert(&mut self, chunk: Chunk, bytes: usize) -> Option<SnapshotId> {
        let id = chunk.snapshot;
        let partial = self.snapshots.entry(id).or_insert_with(|| Partial {
            count: chunk.count,
            ..Partial::default()
        });
        if partial.count != chunk.count {
            return None;
        }
        let Entry::Vacant(entry) = partial.chunks.entry(chunk.index) else {
            return None;
        };
        entry.insert(chunk.rows);
        partial.bytes += bytes;
        self.bytes += bytes;
        let complete = partial.is_complete();
        self.enforce_limit();
        (complete && self.snapshots.contains_key(&id)).then_some(id)
    }

    /// Drops the snapshots that cover the fewest records while the size limit is exceeded.
    fn enforce_limit(&mut self) {
        while self.bytes > MAX_BYTES {
            let Some((_, dropped)) = self.snapshots.pop_first() else {
                return;
            };
            self.bytes -= dropped.bytes;
        }
    }
}

impl Partial {
    fn is_complete(&self) -> bool {
        u32::try_from(self.chunks.len()) == Ok(self.count)
    }

    fn restore(&self, id: SnapshotId, schema_limit: Option<u32>) -> Result<State, SnapshotError> {
        if row::checksum(self.chunks.values().map(Vec::as_slice)) != id.checksum {
            return Err(SnapshotError::ChecksumMismatch);
        }
        restore::restore(id, schema_limit, self.chunks.values().flatten())
    }
}
