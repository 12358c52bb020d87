//! [`Routing`]: weights, limits and default deadlines for routing requests.

use serde::{Deserialize, Serialize};

use caraway_types::{Class, Findings, Millis};

use crate::fields::Fields;

/// Maximum default deadline of a class: one week, in milliseconds.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3600 * 1000;

/// The routing configuration of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Routing {
    /// Relative cost of a request that waits for its adapter to load.
    pub stall_weight: f64,
    /// Relative cost of a batch that runs partly empty.
    pub batch_weight: f64,
    /// Maximum number of requests that are queued on one instance.
    pub max_queued: u32,
    /// Default deadline of interactive requests, in milliseconds, if the caller gives none.
    pub interactive_ms: Millis,
    /// Default deadline of summary requests, in milliseconds.
    pub summary_ms: Millis,
    /// Default deadline of batch requests, in milliseconds.
    pub batch_ms: Millis,
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            stall_weight: 1.0,
            batch_weight: 1.0,
            max_queued: 2_000,
            interactive_ms: Millis::new(30_000),
            summary_ms: Millis::new(600_000),
            batch_ms: Millis::new(8 * 3600 * 1000),
        }
    }
}

impl Routing {
    /// Returns the time allowed for a complete answer if the caller gives no deadline.
    #[must_use]
    pub fn deadline(&self, class: Class) -> Millis {
        match class {
            Class::Interactive => self.interactive_ms,
            Class::Summary => self.summary_ms,
            Class::Batch => self.batch_ms,
        }
    }

    /// Parses a body in schema 1.
    pub(crate) fn parse(fields: &mut Fields<'_>, findings: &mut Findings) -> Self {
        let default = Self::default();
        let weights = (0.0, 1_000.0);
        let max_queued = u64::from(default.max_queued);
        let max_queued = fields.integer("max_queued", u64::from(u32::MAX), max_queued, findings);
        let mut time = |name, default: Millis| {
            Millis::from(fields.integer(name, MAX_DEADLINE_MS, default.into(), findings))
        };
        let interactive_ms = time("interactive_ms", default.interactive_ms);
        let summary_ms = time("summary_ms", default.summary_ms);
        let batch_ms = time("batch_ms", default.batch_ms);
        Self {
            stall_weight: fields.number("stall_weight", weights, default.stall_weight, findings),
            batch_weight: fields.number("batch_weight", weights, default.batch_weight, findings),
            max_queued: u32::try_from(max_queued).unwrap_or(u32::MAX),
            interactive_ms,
            summary_ms,
            batch_ms,
        }
    }
}
