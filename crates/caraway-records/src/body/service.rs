//! [`Service`]: a plain service beside the engines.

use serde::{Deserialize, Serialize};

use caraway_types::{Findings, Millis};

use crate::fields::Fields;

/// Longest deadline of a call, one hour in milliseconds.
const DEADLINE_MAX_MS: u64 = 3600 * 1000;

/// How the calls of a plain service are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// Whether calls with a method that is not idempotent may still be repeated.
    pub repeatable: bool,
    /// Time for a whole call.
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
    /// Reads schema 1.
    pub(crate) fn read(fields: &mut Fields<'_>, found: &mut Findings) -> Self {
        let default = Self::default();
        let deadline = default.deadline_ms.into();
        Self {
            repeatable: fields.flag("repeatable", default.repeatable, found),
            deadline_ms: fields
                .whole("deadline_ms", DEADLINE_MAX_MS, deadline, found)
                .into(),
        }
    }
}
