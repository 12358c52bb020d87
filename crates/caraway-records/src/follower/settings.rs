//! [`FollowerSettings`].

use serde::{Deserialize, Serialize};

use caraway_types::Millis;

/// Settings of a [`Follower`](super::Follower).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FollowerSettings {
    /// Time between reads of a log that has nothing new.
    pub poll_ms: Millis,
    /// Most records in one read.
    pub page: u32,
    /// Time without an answer after which the log counts as out, and after which a record that a
    /// peer has is no longer awaited from the log.
    pub stale_ms: Millis,
    /// Shortest wait after a failed read or question; it doubles with each failure.
    pub retry_min_ms: Millis,
    /// Longest wait after a failed read.
    pub retry_max_ms: Millis,
    /// Time after which a read, question or append without an answer counts as failed.
    pub request_ms: Millis,
    /// Records after the latest snapshot that make the next one due.
    pub snapshot_every: u64,
    /// Age of the latest snapshot that makes the next one due; well below the log's retention.
    pub snapshot_age_ms: Millis,
    /// Time over which instances spread their writing of a snapshot that is due.
    pub snapshot_spread_ms: Millis,
    /// Largest schema to put in force; all that the program knows where absent.
    pub schema_limit: Option<u32>,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            poll_ms: Millis::new(1_000),
            page: 128,
            stale_ms: Millis::new(2_000),
            retry_min_ms: Millis::new(250),
            retry_max_ms: Millis::new(4_000),
            request_ms: Millis::new(5_000),
            snapshot_every: 2_000,
            snapshot_age_ms: Millis::new(6 * 3600 * 1000),
            snapshot_spread_ms: Millis::new(20_000),
            schema_limit: None,
        }
    }
}
