//! Identity of a call with an idempotency key: [`CallKey`], [`RequestHash`] and [`Owner`].

use std::{
    fmt,
    sync::Arc,
    time::{Duration, SystemTime},
};

use caraway_types::{AccountId, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// An idempotency key, scoped to a client account and a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct CallKey {
    /// Client account that sent the request.
    pub account: AccountId,
    /// Name of the plain service that is called.
    pub service: Arc<str>,
    /// Idempotency key that the caller chose.
    pub key: Arc<str>,
}

impl CallKey {
    /// Returns whether `key` is a valid idempotency key: 1 to [`MAX_KEY_BYTES`] visible ASCII
    /// characters.
    #[must_use]
    pub fn is_valid_key(key: &str) -> bool {
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic())
    }
}

/// Leading hexadecimal digits of a version 7 UUID that hold its Unix timestamp in milliseconds.
const TIMESTAMP_DIGITS: usize = 12;

/// Returns the creation time of a key that is a version 7 UUID (RFC 9562, section 5.7), and `None`
/// for any other key.
#[must_use]
pub fn key_timestamp(key: &str) -> Option<SystemTime> {
    let groups: Vec<&str> = key.split('-').collect();
    let sizes = groups.iter().map(|group| group.len());
    if !sizes.eq([8, 4, 4, 4, 12]) || !groups[2].starts_with('7') {
        return None;
    }
    let digits = groups.concat();
    if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let ms = u64::from_str_radix(&digits[..TIMESTAMP_DIGITS], 16).ok()?;
    Some(SystemTime::UNIX_EPOCH + Duration::from_millis(ms))
}

/// Hash of a request, which detects that a key is reused for another request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestHash(u128);

impl RequestHash {
    /// Hashes the method, the path with its query, and the body of a request.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl From<RequestHash> for String {
    fn from(value: RequestHash) -> Self {
        format!("{:032x}", value.0)
    }
}

impl TryFrom<String> for RequestHash {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Identifies an intent and the process that may send its call.
///
/// No other process ever sends the call, so that neither a successor of the instance nor an
/// instance that resumes after a pause can make it run twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Owner {
    /// Instance that appended the intent.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Random number of the process; it distinguishes two runs with the same incarnation.
    pub process: u64,
    /// Number of the intent within the process, from one.
    pub nonce: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.instance, self.incarnation, self.nonce)
    }
}
