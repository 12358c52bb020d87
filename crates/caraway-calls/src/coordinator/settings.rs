//! [`CoordinatorSettings`]: limits and times for calls with an idempotency key.

use caraway_types::Millis;
use serde::{Deserialize, Serialize};

/// Limits and times of [`CallCoordinator`](crate::CallCoordinator).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Maximum number of calls in progress. Lookups and reads of recorded answers are each limited
    /// to the same number.
    #[serde(rename = "calls")]
    pub max_calls: usize,
    /// Maximum number of callers that wait for one call.
    #[serde(rename = "joined")]
    pub max_waiters: usize,
    /// Maximum number of known keys; beyond it new keys are refused until older ones leave the log.
    #[serde(rename = "keys")]
    pub max_keys: usize,
    /// Maximum bytes of recorded answers in memory; older answers are read from the log again.
    pub body_memory: usize,
    /// Maximum bytes of an answer that a record holds.
    pub body_limit: usize,
    /// Maximum number of records in one append.
    pub batch: usize,
    /// Maximum number of records in one read.
    pub page: u32,
    /// Minimum time between the starts of two appends.
    pub append_gap: Millis,
    /// Time between two reads while a call or a lookup waits for the log.
    pub busy_poll: Millis,
    /// Time between two reads otherwise.
    pub idle_poll: Millis,
    /// Backoff after a failed append or read.
    pub backoff: Millis,
    /// Maximum wait for the log before a call is refused as not run.
    pub log_wait: Millis,
    /// Maximum time from the receipt of a call to its sending.
    pub send_window: Millis,
    /// Maximum time in which the owner of an intent may still free its key after the call did not
    /// run.
    pub release_window: Millis,
    /// Age from which the log may have dropped the records of a key, so that a call with a key that
    /// is not known is refused as in doubt. It must be shorter than the log's retention.
    #[serde(rename = "key_life")]
    pub key_retention: Millis,
    /// Whether a new key must carry its creation time, as a version 7 UUID does.
    #[serde(rename = "dated_keys")]
    pub require_timestamp: bool,
    /// Maximum wait for the outcome of a call whose intent another process appended.
    pub outcome_wait: Millis,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            max_calls: 4096,
            max_waiters: 16,
            max_keys: 200_000,
            body_memory: 32 << 20,
            body_limit: 32 << 10,
            batch: 256,
            page: 1024,
            append_gap: Millis::new(20),
            busy_poll: Millis::new(10),
            idle_poll: Millis::new(1000),
            backoff: Millis::new(200),
            log_wait: Millis::new(2000),
            send_window: Millis::new(5000),
            release_window: Millis::new(60_000),
            key_retention: Millis::new(24 * 3_600_000),
            require_timestamp: false,
            outcome_wait: Millis::new(2000),
        }
    }
}
