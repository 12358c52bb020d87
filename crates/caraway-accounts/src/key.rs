//! [`KeyHash`]: a key of an account, as it is kept.

use std::fmt;

use sha2::{Digest, Sha256};

/// Largest length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 4096;

/// SHA-256 hash of a key. Keys themselves are not kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key; `None` if it is empty or longer than [`MAX_KEY_BYTES`].
    #[must_use]
    pub fn new(key: &[u8]) -> Option<Self> {
        let is_valid = (1..=MAX_KEY_BYTES).contains(&key.len());
        is_valid.then(|| Self(Sha256::digest(key).into()))
    }
}

/// Prints no digits: a hash of a short key can be reversed.
impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
