//! Hashes that make up the digest of a [`State`](crate::State).
//!
//! The digest is the wrapping sum of one hash for each key and each remembered id, so a change
//! costs the same whatever the size of the state. The hashes are `XXH3` (64 bits).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use caraway_types::Offset;

/// Hashes a text.
pub(crate) fn text(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Hashes the accepted record of a key.
pub(crate) fn head(name: &str, revision: Offset, text: &str) -> u64 {
    let seed = xxh3_64_with_seed(name.as_bytes(), revision);
    xxh3_64_with_seed(text.as_bytes(), seed)
}

/// Hashes a remembered id.
pub(crate) fn id(id: u128, text: u64, offset: Offset) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), text ^ offset.rotate_left(32))
}
