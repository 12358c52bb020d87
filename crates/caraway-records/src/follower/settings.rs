//! [`FollowerSettings`]: timing and limits of a follower.

use serde::{Deserialize, Serialize};

use caraway_types::Millis;

/// Settings of a [`Follower`](super::Follower); all times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FollowerSettings {
    /// Time between reads after the end of the log was reached.
    pub poll_ms: Millis,
    /// Maximum number of records in one read.
    pub page: u32,
    /// Time without a page, beyond the poll interval, after which the log counts as unavailable.
    ///
    /// Also the time to wait for the log before a peer that has newer records is asked for them,
    /// and the time for which a peer is excluded after an answer that did not help.
    pub stale_ms: Millis,
    /// Backoff after the first failed read; it doubles with each further failure.
    pub retry_min_ms: Millis,
    /// Maximum backoff after failed reads.
    pub retry_max_ms: Millis,
    /// Timeout of a read, a request to a peer or an append.
    pub request_ms: Millis,
    /// Number of records after the latest snapshot at which the next one is due.
    pub snapshot_every: u64,
    /// Age of the latest snapshot at which the next one is due; must be well below the retention
    /// time of the log.
    pub snapshot_age_ms: Millis,
    /// Maximum delay before an instance writes a due snapshot; the delay differs by instance, so
    /// that usually only one writes.
    pub snapshot_spread_ms: Millis,
    /// Newest schema version to put in force; `None` allows all that the program supports.
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
