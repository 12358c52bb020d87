//! [`Sample`]: one request as it ended.

use std::time::Duration;

use caraway_records::{Measure, Objective};
use caraway_types::{AccountId, Class};
use serde::{Deserialize, Serialize};

/// One request as it ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Sample {
    /// The client account.
    pub account: AccountId,
    /// The class.
    pub class: Class,
    /// Whether it got a whole answer.
    pub answered: bool,
    /// Time to its first token, if there was one.
    pub first_token: Option<Duration>,
    /// Longest time between two tokens, if there were two.
    pub longest_gap: Option<Duration>,
    /// Time to its end.
    pub whole: Duration,
    /// Time that it waited for its adapter.
    pub stall: Duration,
}

/// Tells whether `sample` was good for `objective`, or `None` where it does not count.
///
/// A request without an answer is bad for every measure of time, as its caller still waits.
#[must_use]
pub fn judge(objective: &Objective, sample: &Sample) -> Option<bool> {
    let other_account = objective
        .account
        .as_ref()
        .is_some_and(|a| *a != sample.account);
    let other_class = objective.class.is_some_and(|c| c != sample.class);
    if other_account || other_class {
        return None;
    }
    let limit = objective.threshold_ms.get();
    match objective.measure {
        Measure::Answered => Some(sample.answered),
        Measure::FirstToken => Some(sample.first_token.is_some_and(|t| t <= limit)),
        Measure::BetweenTokens => sample.longest_gap.map(|t| t <= limit),
        Measure::WholeAnswer => Some(sample.answered && sample.whole <= limit),
        Measure::LoadStall => Some(sample.stall <= limit),
    }
}
