//! [`Assembly`] gathers the chunks of snapshots until one is complete.

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

/// Most bytes of chunks that are held at once.
const HELD_BYTES: usize = 128 * 1024 * 1024;

/// Chunks of snapshots that were read so far, in any order and with repetitions.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    parts: BTreeMap<SnapshotId, Partial>,
    bytes: usize,
    limit: Option<u32>,
}

/// The chunks of one snapshot.
#[derive(Clone, Debug, Default)]
struct Partial {
    count: u32,
    bytes: usize,
    chunks: BTreeMap<u32, Vec<Row>>,
}

impl Assembly {
    /// Makes an empty assembly that restores states as [`State::limited`] makes them.
    #[must_use]
    pub fn limited(limit: Option<u32>) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Adds the record at `offset` if it is a chunk of a snapshot that may lie there.
    ///
    /// Returns the snapshot when this completes it.
    pub fn add(&mut self, offset: Offset, text: &str) -> Option<SnapshotId> {
        let chunk = chunk::read(text)?;
        if chunk.snapshot.covered > offset {
            return None;
        }
        self.insert(chunk, text.len())
    }

    /// Restores the state from the complete snapshot that covers most, `least` or more.
    ///
    /// Goes on to the next one when a snapshot does not match its digest.
    ///
    /// # Errors
    ///
    /// Returns the fault of the last snapshot that was tried, or [`SnapshotError::Incomplete`].
    pub fn restore(&self, least: Offset) -> Result<State, SnapshotError> {
        let mut fault = SnapshotError::Incomplete;
        for (id, partial) in self.parts.iter().rev() {
            if id.covered < least || !partial.is_complete() {
                continue;
            }
            match partial.restore(*id, self.limit) {
                Ok(state) => return Ok(state),
                Err(e) => fault = e,
            }
        }
        Err(fault)
    }

    /// Restores the state from the chunks of one snapshot.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with them.
    pub fn restore_all(chunks: &[Arc<str>], limit: Option<u32>) -> Result<State, SnapshotError> {
        let mut assembly = Self::limited(limit);
        for chunk in chunks {
            assembly.add(Offset::MAX, chunk);
        }
        assembly.restore(0)
    }

    fn insert(&mut self, chunk: Chunk, bytes: usize) -> Option<SnapshotId> {
        let id = chunk.snapshot;
        let partial = self.parts.entry(id).or_insert_with(|| Partial {
            count: chunk.count,
            ..Partial::default()
        });
        if partial.count != chunk.count {
            return None;
        }
        let Entry::Vacant(place) = partial.chunks.entry(chunk.index) else {
            return None;
        };
        place.insert(chunk.rows);
        partial.bytes += bytes;
        self.bytes += bytes;
        let complete = partial.is_complete();
        self.shrink();
        (complete && self.parts.contains_key(&id)).then_some(id)
    }

    /// Drops the snapshots that cover least while too many bytes are held.
    fn shrink(&mut self) {
        while self.bytes > HELD_BYTES {
            let Some((_, dropped)) = self.parts.pop_first() else {
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

    fn restore(&self, id: SnapshotId, limit: Option<u32>) -> Result<State, SnapshotError> {
        if row::sum(self.chunks.values().map(Vec::as_slice)) != id.sum {
            return Err(SnapshotError::Sum);
        }
        restore::state(id, limit, self.chunks.values().flatten())
    }
}
