//! [`Account`]: the limits of a client account.

use serde::{Deserialize, Serialize};

use caraway_types::Findings;

use crate::fields::Fields;

/// Limits of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Sustained request rate over all instances, in requests per second.
    pub rate: f64,
    /// Number of requests above the sustained rate that are admitted in a burst.
    pub burst: u32,
    /// Maximum number of requests that wait in queues at the same time.
    pub max_queued: u32,
    /// Average number of retries allowed per request, from 0 to 1.
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
    /// Parses a body in schema 1.
    pub(crate) fn parse(fields: &mut Fields<'_>, findings: &mut Findings) -> Self {
        let default = Self::default();
        let limit = u64::from(u32::MAX);
        let burst = fields.integer("burst", limit, u64::from(default.burst), findings);
        let max_queued =
            fields.integer("max_queued", limit, u64::from(default.max_queued), findings);
        Self {
            rate: fields.number("rate", (0.0, 1e6), default.rate, findings),
            burst: u32::try_from(burst).unwrap_or(u32::MAX),
            max_queued: u32::try_from(max_queued).unwrap_or(u32::MAX),
            retry_ratio: fields.number("retry_ratio", (0.0, 1.0), default.retry_ratio, findings),
        }
    }
}
