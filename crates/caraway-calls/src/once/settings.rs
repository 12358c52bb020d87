//! [`OnceSettings`]: limits and times of calls that may not be repeated.

use caraway_types::Millis;
use serde::{Deserialize, Serialize};

/// Sets the limits and times of [`Once`](crate::Once).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OnceSettings {
    /// Most calls in progress.
    pub calls: usize,
    /// Most sendings that wait for one call.
    pub joined: usize,
    /// Most known keys; beyond it new keys are refused until older ones leave the log.
    pub keys: usize,
    /// Most bytes of recorded answers in memory; the rest is read back from the log.
    pub body_memory: usize,
    /// Most bytes of an answer that a record holds.
    pub body_limit: usize,
    /// Most records in one append.
    pub batch: usize,
    /// Most records in one read.
    pub page: u32,
    /// Least time between two appends.
    pub append_gap: Millis,
    /// Time between two reads while something waits for the log.
    pub busy_poll: Millis,
    /// Time between two reads otherwise.
    pub idle_poll: Millis,
    /// Pause after a failed append or read.
    pub backoff: Millis,
    /// Longest wait for the log before a call is refused as not run.
    pub log_wait: Millis,
    /// Longest time from an intent to its sending.
    pub send_window: Millis,
    /// Longest time after which an owner still frees a key that it never sent.
    pub release_window: Millis,
    /// Age from which an unknown key counts as one that the log has forgotten; below the log's
    /// retention.
    pub key_life: Millis,
    /// Whether only keys that tell their age are accepted.
    pub dated_keys: bool,
    /// Longest wait for the outcome of a call that another instance carries out.
    pub outcome_wait: Millis,
}

impl Default for OnceSettings {
    fn default() -> Self {
        Self {
            calls: 4096,
            joined: 16,
            keys: 200_000,
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
            key_life: Millis::new(24 * 3_600_000),
            dated_keys: false,
            outcome_wait: Millis::new(2000),
        }
    }
}
