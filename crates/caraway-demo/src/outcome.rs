//! [`Outcome`] of one request, as observed by its caller.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use caraway_types::{Certainty, Reason, Refusal};
use serde::Serialize;

use crate::schedule::Request;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ending {
    /// The caller received a complete response.
    Answered,
    /// Typed refusal for a request that did not run, with its reason.
    NotRun(Arc<str>),
    /// Typed refusal for a request that may have run, with its reason.
    InDoubt(Arc<str>),
    /// The stream ended early, without an end event or a refusal.
    Broken,
    /// No complete response within the caller's timeout.
    Unanswered,
    /// Connection error, or a response that the API does not define, with the cause.
    Failed(Arc<str>),
}

/// Result and measurements of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Index of its workload.
    pub(crate) workload_index: usize,
    /// Index of the instance that the request was sent to; set by the driver.
    pub(crate) entry_index: usize,
    /// The request.
    pub(crate) request: Request,
    /// Time at which the request was sent.
    pub(crate) sent_at: SystemTime,
    /// Time at which the request ended.
    pub(crate) ended_at: SystemTime,
    /// How the request ended.
    pub(crate) ending: Ending,
    /// Time to the first token of a streamed response; `None` without a token.
    pub(crate) first_token: Option<Duration>,
    /// Times between the tokens of a streamed response.
    pub(crate) token_gaps: Vec<Duration>,
    /// Number of comparisons of tokens or responses with the expected value.
    pub(crate) comparisons: u64,
    /// Descriptions of the comparisons that differed.
    pub(crate) mismatches: Vec<String>,
}

impl Ending {
    /// Returns the ending for a typed refusal.
    pub(crate) fn from_refusal(refusal: &Refusal) -> Self {
        let reason = reason_name(refusal.reason);
        match refusal.certainty {
            Certainty::NotRun => Self::NotRun(reason),
            Certainty::InDoubt => Self::InDoubt(reason),
        }
    }

    /// Returns whether the request was refused as not run.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }

    /// Returns the column of the report that counts this ending.
    pub(crate) fn column(&self) -> Column {
        match self {
            Self::Answered => Column::Answered,
            Self::NotRun(_) => Column::NotRun,
            Self::InDoubt(_) => Column::InDoubt,
            Self::Broken | Self::Unanswered | Self::Failed(_) => Column::Failed,
        }
    }

    /// Describes the ending in the report, or returns `None` for an answer.
    pub(crate) fn detail(&self) -> Option<String> {
        match self {
            Self::Answered => None,
            Self::NotRun(reason) => Some(format!("not run: {reason}")),
            Self::InDoubt(reason) => Some(format!("in doubt: {reason}")),
            Self::Broken => Some("broke off".into()),
            Self::Unanswered => Some("no answer in time".into()),
            Self::Failed(cause) => Some(format!("failed: {cause}")),
        }
    }
}

/// Column of the report that counts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Column {
    Answered,
    NotRun,
    InDoubt,
    /// Ended without a complete response or a typed refusal.
    Failed,
}

impl Outcome {
    /// Creates the outcome of a request that is about to be sent, as unanswered.
    pub(crate) fn new(workload_index: usize, request: Request) -> Self {
        Self {
            workload_index,
            request,
            entry_index: 0,
            sent_at: SystemTime::now(),
            ended_at: SystemTime::now(),
            ending: Ending::Unanswered,
            first_token: None,
            token_gaps: Vec::new(),
            comparisons: 0,
            mismatches: Vec::new(),
        }
    }

    /// Compares a value from a response with the expected one and records a difference.
    pub(crate) fn compare(&mut self, what: &str, got: &str, expected: &str) {
        self.comparisons += 1;
        if got != expected {
            self.mismatches
                .push(format!("{what}: got {got:?}, expected {expected:?}"));
        }
    }
}

/// Returns the name of a refusal reason as it appears in error responses.
fn reason_name(reason: Reason) -> Arc<str> {
    let name = serde_json::to_value(reason).unwrap_or_default();
    name.as_str().unwrap_or("unknown").into()
}
