//! [`Account`]: a client account and its limits.

use serde::{Deserialize, Serialize};

use caraway_types::Findings;

use crate::fields::Fields;

/// Limits of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Requests a second, sustained, over the whole floor.
    pub rate: f64,
    /// Requests that may come at once on top of the rate.
    pub burst: u32,
    /// Requests that may wait at once.
    pub max_queued: u32,
    /// Retries for each request, on average.
    pub retry_ratio: f64,
}

impl Default for Account {
    fn default() -> Self {
        Self {
            rate: 10.0,
            burst: 50,
            max_queued: 200,
            retry_ratio: 0.1,
        }
    }
}

impl Account {
    /// Reads schema 1.
    pub(crate) fn read(fields: &mut Fields<'_>, found: &mut Findings) -> Self {
        let default = Self::default();
        let limit = u64::from(u32::MAX);
        let burst = fields.whole("burst", limit, u64::from(default.burst), found);
        let queued = fields.whole("max_queued", limit, u64::from(default.max_queued), found);
        Self {
            rate: fields.number("rate", (0.0, 1e6), default.rate, found),
            burst: u32::try_from(burst).unwrap_or(u32::MAX),
            max_queued: u32::try_from(queued).unwrap_or(u32::MAX),
            retry_ratio: fields.number("retry_ratio", (0.0, 1.0), default.retry_ratio, found),
        }
    }
}
