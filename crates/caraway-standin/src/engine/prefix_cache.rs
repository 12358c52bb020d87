//! [`PrefixCache`]: which prompt prefixes an engine still knows.

use std::collections::HashMap;

use caraway_types::AdapterRef;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes in one block.
const BLOCK_BYTES: usize = 16;

/// The blocks of seen prompts, each by the hash of the prompt up to its end.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    limit: usize,
    access_count: u64,
    blocks: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Makes a cache of `limit` blocks.
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            ..Self::default()
        }
    }

    /// Returns how many bytes of `prompt` are cached, and caches all its whole blocks.
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

    /// Drops the blocks that were used least recently.
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
