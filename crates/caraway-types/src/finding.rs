//! [`Findings`] collect everything that is wrong with an input, each with its place.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// One problem of an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where the problem is: a JSON pointer, a line or a header name.
    pub place: Arc<str>,
    /// What is wrong there.
    pub problem: Arc<str>,
}

/// All problems of one input, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Adds a problem.
    pub fn add(&mut self, place: impl Into<Arc<str>>, problem: impl Into<Arc<str>>) {
        self.list.push(Finding {
            place: place.into(),
            problem: problem.into(),
        });
    }

    /// Tells whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the problems in the order in which they were found.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    ///
    /// Returns the findings when there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{}: {}", finding.place, finding.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
