//! Limits on records and on the state; they must be equal on all instances, as they decide which
//! records are accepted.

/// Maximum size of an operator's record, in bytes.
pub const RECORD_LIMIT: usize = 64 * 1024;
/// Maximum size of a snapshot chunk, in bytes.
pub const CHUNK_LIMIT: usize = 256 * 1024;
/// Maximum number of keys, including tombstones.
pub const KEY_LIMIT: usize = 131_072;
/// Maximum total size of the latest records of all keys, in bytes.
pub const TOTAL_BYTES_LIMIT: usize = 64 * 1024 * 1024;
/// Number of latest record ids that are remembered to detect duplicates.
pub const ID_WINDOW: usize = 8_192;
/// Number of offsets after which a tombstone is dropped.
pub const TOMBSTONE_WINDOW: u64 = 100_000;
/// Maximum length of a kind, in bytes.
pub(crate) const MAX_KIND_BYTES: usize = 32;
/// Maximum length of a key, in bytes.
pub(crate) const MAX_KEY_BYTES: usize = 260;
/// Maximum length of a record id and of an author, in bytes.
pub(crate) const MAX_ID_BYTES: usize = 128;
/// Maximum number of accepted records that are retained for one key.
pub(crate) const MAX_KEY_RECORDS: usize = 4;
