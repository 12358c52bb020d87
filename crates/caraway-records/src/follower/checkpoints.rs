//! [`Checkpoints`] remember the digest at each of the latest offsets.

use std::collections::VecDeque;

use caraway_types::Offset;

/// Number of offsets that are remembered.
const LENGTH: usize = 4_096;

/// Digests at consecutive offsets.
#[derive(Debug, Default)]
pub(crate) struct Checkpoints {
    first: Offset,
    digests: VecDeque<u64>,
}

impl Checkpoints {
    /// Remembers the digest at the offset that follows the last one.
    pub(crate) fn push(&mut self, next: Offset, digest: u64) {
        if self.digests.is_empty() {
            self.first = next;
        }
        self.digests.push_back(digest);
        if self.digests.len() > LENGTH {
            self.digests.pop_front();
            self.first += 1;
        }
    }

    /// Forgets everything but the digest at `next`.
    pub(crate) fn restart(&mut self, next: Offset, digest: u64) {
        self.digests.clear();
        self.push(next, digest);
    }

    /// Returns the digest at an offset.
    pub(crate) fn digest(&self, next: Offset) -> Option<u64> {
        let index = usize::try_from(next.checked_sub(self.first)?).ok()?;
        self.digests.get(index).copied()
    }
}
