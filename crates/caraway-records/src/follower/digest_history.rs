//! [`DigestHistory`]: the digests of the state at the latest offsets.

use std::collections::VecDeque;

use caraway_types::Offset;

/// Maximum number of offsets in the history.
const CAPACITY: usize = 4_096;

/// Digests of the state at consecutive offsets, for comparison with peers and snapshots.
#[derive(Debug, Default)]
pub(crate) struct DigestHistory {
    first: Offset,
    digests: VecDeque<u64>,
}

impl DigestHistory {
    /// Appends the digest at `offset`, which must be the offset after the last one.
    pub(crate) fn push(&mut self, offset: Offset, digest: u64) {
        if self.digests.is_empty() {
            self.first = offset;
        }
        self.digests.push_back(digest);
        if self.digests.len() > CAPACITY {
            self.digests.pop_front();
            self.first += 1;
        }
    }

    /// Replaces the history by the digest at `offset`.
    pub(crate) fn reset(&mut self, offset: Offset, digest: u64) {
        self.digests.clear();
        self.push(offset, digest);
    }

    /// Returns the digest at an offset, or `None` if the history does not contain it.
    pub(crate) fn digest(&self, offset: Offset) -> Option<u64> {
        let index = usize::try_from(offset.checked_sub(self.first)?).ok()?;
        self.digests.get(index).copied()
    }
}
