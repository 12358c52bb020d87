//! [`Sample`]: the measurements of one completed request.

use std::time::Duration;

use caraway_records::{Measure, Objective};
use caraway_types::{AccountId, Class};
use serde::{Deserialize, Serialize};

/// The measurements of one completed request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Sample {
    /// Client account of the request.
    pub account: AccountId,
    /// Class of the request.
    pub class: Class,
    /// Whether the request got a complete answer.
    pub answered: bool,
    /// Time to the first token, or `None` if there was none.
    pub first_token: Option<Duration>,
    /// Longest time between consecutive tokens, or `None` if there were fewer than two.
    pub longest_gap: Option<Duration>,
    /// Time to the end of the request.
    #[serde(rename = "whole")]
    pub total_time: Duration,
    /// Time that the request waited for its adapter to load.
    pub stall: Duration,
}

/// Returns whether `sample` was good for `objective`, or `None` if the objective does not apply.
///
/// A request without a first token is bad for [`Measure::FirstToken`], and one without a complete
/// answer is bad for [`Measure::WholeAnswer`]. [`Measure::BetweenTokens`] does not apply to a
/// request with fewer than two tokens.
#[must_use]
pub fn meets_objective(objective: &Objective, sample: &Sample) -> Option<bool> {
    let other_account = objective
        .account
        .as_ref()
        .is_some_and(|a| *a != sample.account);
    let other_class = objective.class.is_some_and(|c| c != sample.class);
    if other_account || other_class {
        return None;
    }
    let threshold = objective.threshold_ms.get();
    match objective.measure {
        Measure::Answered => Some(sample.answered),
        Measure::FirstToken => Some(sample.first_token.is_some_and(|t| t <= threshold)),
        Measure::BetweenTokens => sample.longest_gap.map(|t| t <= threshold),
        Measure::WholeAnswer => Some(sample.answered && sample.total_time <= threshold),
        Measure::LoadStall => Some(sample.stall <= threshold),
    }
}
