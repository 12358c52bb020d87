//! [`HistoryRecord`]: the versions of a service's software, as instances share them.

use std::sync::Arc;

use caraway_types::SoftwareVersion;
use serde::{Deserialize, Serialize};

use crate::history::CLOCK_SLACK_MS;

/// The versions of a service's software that served lately, the earliest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// The service.
    pub service: Arc<str>,
    /// The versions.
    pub versions: Vec<VersionRecord>,
    /// When an endpoint last restarted with another version under its id, in Unix milliseconds.
    #[serde(
        rename = "replaced_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub replaced: Option<u64>,
    /// When the records of streams may last have been lost, in Unix milliseconds.
    #[serde(
        rename = "records_lost_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub records_lost: Option<u64>,
}

impl HistoryRecord {
    /// Returns whether this states the loss of records that `other` states, which instances notice at
    /// different times.
    #[must_use]
    pub fn states_loss_of(&self, other: &Self) -> bool {
        let states = |at| {
            let own = self.records_lost;
            own.is_some_and(|own| own.saturating_add(CLOCK_SLACK_MS) >= at)
        };
        other.records_lost.is_none_or(states)
    }
}

/// When a version served. Times are in Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version.
    pub software: SoftwareVersion,
    /// When it was first seen; `None` if it was there before anything is known.
    #[serde(rename = "since_ms")]
    pub since: Option<u64>,
    /// When it was seen last; `None` while it serves.
    #[serde(rename = "until_ms")]
    pub until: Option<u64>,
}
