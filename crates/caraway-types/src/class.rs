//! [`Class`], the priority class of a request.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// The priority class of a request.
///
/// The variants are declared from most to least urgent: in every queue, the smaller class goes
/// first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A user is waiting for the answer; the default.
    #[default]
    Interactive,
    /// A long answer, such as a summary, that is needed by a deadline.
    Summary,
    /// Background work that is due at a later time of day.
    Batch,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Summary, Self::Batch];

    /// Returns the name used in headers, records and metric labels.
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
