//! [`PrefixCache`]: which prompt prefixes an engine still knows.

use std::collections::HashMap;

use caraway_types::AdapterRef;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes in one block.
const BLOCK: usize = 16;

/// The blocks of seen prompts, each by the hash of the prompt up to its end.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    limit: usize,
    clock: u64,
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
    pub(crate) fn look_up(&mut self, adapter: &AdapterRef, prompt: &str) -> usize {
        let mut hash = xxh3_64_with_seed(adapter.to_string().as_bytes(), 0);
        let mut hits = 0;
        let mut unbroken = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK) {
            hash = xxh3_64_with_seed(block, hash);
            self.clock += 1;
            unbroken &= self.blocks.insert(hash, self.clock).is_some();
            hits += usize::from(unbroken);
        }
        self.trim();
        hits * BLOCK
    }

    /// Drops the blocks that were used least recently.
    fn trim(&mut self) {
        while self.blocks.len() > self.limit {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some((&hash, _)) = oldest else { return };
            self.blocks.remove(&hash);
        }
    }
}
