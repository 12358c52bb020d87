//! Limits on records and on what the fold keeps; the same on every instance.

/// Longest record of an operator, in bytes.
pub const RECORD_LIMIT: usize = 64 * 1024;
/// Longest snapshot chunk, in bytes.
pub const CHUNK_LIMIT: usize = 256 * 1024;
/// Most keys, tombstones included.
pub const KEY_LIMIT: usize = 131_072;
/// Most bytes of the latest records of all keys together.
pub const TEXT_LIMIT: usize = 64 * 1024 * 1024;
/// Number of record ids that the fold remembers.
pub const ID_WINDOW: usize = 8_192;
/// Number of offsets for which a tombstone is kept.
pub const TOMBSTONE_WINDOW: u64 = 100_000;
/// Longest kind, in bytes.
pub(crate) const KIND_BYTES: usize = 32;
/// Longest key, in bytes.
pub(crate) const KEY_BYTES: usize = 260;
/// Longest record id and longest author, in bytes.
pub(crate) const ID_BYTES: usize = 128;
/// Most texts that are kept for one key.
pub(crate) const KEPT_TEXTS: usize = 4;
