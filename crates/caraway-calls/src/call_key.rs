//! What identifies a call that may not be repeated: [`CallKey`], [`RequestHash`] and [`Owner`].

use std::{
    fmt,
    sync::Arc,
    time::{Duration, SystemTime},
};

use caraway_types::{AccountId, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Longest accepted idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;

/// An idempotency key in the scope in which its caller chose it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct CallKey {
    /// The client account.
    pub account: AccountId,
    /// The plain service.
    pub service: Arc<str>,
    /// The caller's key.
    pub key: Arc<str>,
}

impl CallKey {
    /// Tells whether `key` may be used as an idempotency key: 1 to [`KEY_LIMIT`] visible ASCII
    /// characters.
    #[must_use]
    pub fn is_key(key: &str) -> bool {
        !key.is_empty() && key.len() <= KEY_LIMIT && key.bytes().all(|b| b.is_ascii_graphic())
    }
}

/// Digits of a UUID that hold its time, in milliseconds since 1970.
const TIME_DIGITS: usize = 12;

/// Returns when a key was made, where it is a UUID of version 7 (RFC 9562, section 5.7).
#[must_use]
pub fn key_time(key: &str) -> Option<SystemTime> {
    let groups: Vec<&str> = key.split('-').collect();
    let sizes = groups.iter().map(|group| group.len());
    if !sizes.eq([8, 4, 4, 4, 12]) || !groups[2].starts_with('7') {
        return None;
    }
    let digits = groups.concat();
    if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let ms = u64::from_str_radix(&digits[..TIME_DIGITS], 16).ok()?;
    Some(SystemTime::UNIX_EPOCH + Duration::from_millis(ms))
}

/// Tells the requests apart that are sent under one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestHash(u128);

impl RequestHash {
    /// Hashes what makes two requests the same: method, path with query, and body.
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

/// Who may carry out an intent: one incarnation of one instance, for one call.
///
/// Nobody else ever sends the call, so a replaced or paused instance cannot make it run twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Owner {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// Chosen at random by the process, so that two runs with one number stay apart.
    pub process: u64,
    /// Counts the calls of the process.
    pub nonce: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.instance, self.incarnation, self.nonce)
    }
}
