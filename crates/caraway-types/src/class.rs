//! [`Class`] of a request: what its caller is waiting for.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Orders requests by urgency; the first variant goes first in every queue.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the answer now.
    #[default]
    Interactive,
    /// A long answer with a review deadline.
    Summary,
    /// Work that must be ready by a later time of day.
    Batch,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Summary, Self::Batch];

    /// Returns the name used in headers, records and labels.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Summary => "summary",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Class {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|c| c.name() == text)
            .ok_or("expected interactive, summary or batch")
    }
}
