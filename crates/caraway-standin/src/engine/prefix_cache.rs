//! [`PrefixCache`]: which prompt prefixes an engine does not need to prefill again.

use std::collections::HashMap;

use caraway_types::AdapterRef;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a cached block of a prompt, in bytes.
const BLOCK_BYTES: usize = 16;

/// An LRU set of prompt blocks. The key of a block is the hash of the adapter version and of the
/// prompt up to the end of the block.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Maximum number of blocks.
    limit: usize,
    /// Number of block accesses so far, the timestamp for eviction.
    access_count: u64,
    /// The `access_count` of the last access of each block.
    blocks: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Returns an empty cache for up to `limit` blocks.
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            ..Self::default()
        }
    }

    /// Returns the length in bytes of the cached prefix of `prompt`, and inserts all its whole
    /// blocks.
    pub(crate) fn lookup_and_insert(&mut self, adapter: &AdapterRef, prompt: &str) -> usize {
        let mut hash = xxh3_64_with_seed(adapter.to_string().as_bytes(), 0);
        let mut hits = 0;
        let mut contiguous = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash = xxh3_64_with_seed(block, hash);
            self.access_count += 1;
            contiguous &= self.blocks.insert(hash, self.access_count).is_some();
            hits += usize::from(contiguous);
        }
        self.evict();
        hits * BLOCK_BYTES
    }

    /// Evicts the least recently used blocks beyond the limit.
    fn evict(&mut self) {
        while self.blocks.len() > self.limit {
            let least_recent = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some((&hash, _)) = least_recent else {
                return;
            };
            self.blocks.remove(&hash);
        }
    }
}
