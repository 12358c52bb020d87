//! [`Service`]: call settings of a service other than an engine.

use serde::{Deserialize, Serialize};

use caraway_types::{Findings, Millis};

use crate::fields::Fields;

/// Maximum deadline of a call: one hour, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3600 * 1000;

/// Call settings of a service other than an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Whether calls may be retried even if their HTTP method is not idempotent.
    pub repeatable: bool,
    /// Time allowed for a complete call, in milliseconds.
    pub deadline_ms: Millis,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            repeatable: false,
            deadline_ms: Millis::new(10_000),
        }
    }
}

impl Service {
    /// Parses a body in schema 1.
    pub(crate) fn parse(fields: &mut Fields<'_>, findings: &mut Findings) -> Self {
        let default = Self::default();
        let deadline = default.deadline_ms.into();
        Self {
            repeatable: fields.boolean("repeatable", default.repeatable, findings),
            deadline_ms: fields
                .integer("deadline_ms", MAX_DEADLINE_MS, deadline, findings)
                .into(),
        }
    }
}
