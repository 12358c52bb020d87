//! [`Findings`], the list of all problems found while an input is validated.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// One problem of an input and where it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location in the input: a JSON pointer, a line or a header name.
    pub place: Arc<str>,
    /// Description of the problem, for a person.
    pub problem: Arc<str>,
}

/// All problems of one input, so that a caller can report them together instead of only the
/// first; serialized as a plain array.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Appends a problem found at `place`.
    pub fn add(&mut self, place: impl Into<Arc<str>>, problem: impl Into<Arc<str>>) {
        self.list.push(Finding {
            place: place.into(),
            problem: problem.into(),
        });
    }

    /// Returns whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the findings in the order in which they were added.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings if there are any.
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
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {}", finding.place, finding.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
