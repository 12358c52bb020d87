//! [`Counts`]: numbers of good and bad requests.

use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Numbers of good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Number of requests that met the objective.
    pub good: u64,
    /// Number of requests that missed the objective.
    pub bad: u64,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, good: bool) {
        if good {
            self.good += 1;
        } else {
            self.bad += 1;
        }
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Returns the share of bad requests, or `None` if there are no requests.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn bad_share(self) -> Option<f64> {
        let total = self.total();
        (total > 0).then(|| self.bad as f64 / total as f64)
    }

    /// Returns the burn rate for `target`, or `None` if there are no requests.
    ///
    /// A burn rate of 1 spends the error budget exactly over its period. The formula is the share
    /// of bad requests over the allowed share, `bad / total / (1 - target)`, as in the Site
    /// Reliability Workbook, chapter 5.
    #[must_use]
    pub fn burn_rate(self, target: f64) -> Option<f64> {
        self.bad_share().map(|bad| bad / (1.0 - target))
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}
