//! Hashes whose sum is the digest of a [`State`](crate::State).
//!
//! The digest is the wrapping sum of one 64-bit `XXH3` hash for each key and each remembered record
//! id, so updating it takes constant time whatever the size of the state.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use caraway_types::Offset;

/// Hashes the JSON of a record.
pub(crate) fn record(json: &str) -> u64 {
    xxh3_64(json.as_bytes())
}

/// Hashes a key with its latest accepted record.
pub(crate) fn key(key: &str, revision: Offset, json: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), revision);
    xxh3_64_with_seed(json.as_bytes(), seed)
}

/// Hashes a remembered record id.
pub(crate) fn id(id: u128, record: u64, offset: Offset) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), record ^ offset.rotate_left(32))
}
