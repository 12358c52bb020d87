//! [`Outcome`] of one request, as its caller saw it.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use caraway_types::{Certainty, Reason, Refusal};
use serde::Serialize;

use crate::schedule::Work;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ending {
    /// A whole answer.
    Answered,
    /// A typed refusal of a request that did not run.
    NotRun(Arc<str>),
    /// A typed refusal of a request that may have run.
    InDoubt(Arc<str>),
    /// The answer ended early without a word.
    Broken,
    /// No answer before the caller's patience ended.
    Unanswered,
    /// No connection, or an answer that is no part of the interface.
    Failed(Arc<str>),
}

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Index of its workload.
    pub(crate) workload: usize,
    /// Index of the instance that took it.
    pub(crate) entry: usize,
    /// What was asked.
    pub(crate) work: Work,
    /// When it was sent.
    pub(crate) sent: SystemTime,
    /// When it ended.
    pub(crate) ended: SystemTime,
    /// How it ended.
    pub(crate) ending: Ending,
    /// Time to the first token of a streamed answer.
    pub(crate) first: Option<Duration>,
    /// Times between the tokens of a streamed answer.
    pub(crate) gaps: Vec<Duration>,
    /// Tokens or answers that were compared with what they must be.
    pub(crate) compared: u64,
    /// What differed.
    pub(crate) wrong: Vec<String>,
}

impl Ending {
    /// Reads the refusal that an error answer carries.
    pub(crate) fn refused(refusal: &Refusal) -> Self {
        let reason = reason(refusal.reason);
        match refusal.certainty {
            Certainty::NotRun => Self::NotRun(reason),
            Certainty::InDoubt => Self::InDoubt(reason),
        }
    }

    /// Tells whether a request must not have run.
    pub(crate) fn not_run(&self) -> bool {
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

    /// Describes an ending other than an answer.
    pub(crate) fn detail(&self) -> Option<String> {
        match self {
            Self::Answered => None,
            Self::NotRun(reason) => Some(format!("not run: {reason}")),
            Self::InDoubt(reason) => Some(format!("in doubt: {reason}")),
            Self::Broken => Some("broke off".into()),
            Self::Unanswered => Some("no answer in time".into()),
            Self::Failed(why) => Some(format!("failed: {why}")),
        }
    }
}

/// Columns of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Column {
    Answered,
    NotRun,
    InDoubt,
    Failed,
}

impl Outcome {
    /// Makes the outcome of a request that was just sent.
    pub(crate) fn new(workload: usize, work: Work) -> Self {
        Self {
            workload,
            work,
            entry: 0,
            sent: SystemTime::now(),
            ended: SystemTime::now(),
            ending: Ending::Unanswered,
            first: None,
            gaps: Vec::new(),
            compared: 0,
            wrong: Vec::new(),
        }
    }

    /// Compares a part of an answer with what it must be.
    pub(crate) fn compare(&mut self, what: &str, got: &str, expected: &str) {
        self.compared += 1;
        if got != expected {
            self.wrong
                .push(format!("{what}: got {got:?}, expected {expected:?}"));
        }
    }
}

fn reason(reason: Reason) -> Arc<str> {
    let name = serde_json::to_value(reason).unwrap_or_default();
    name.as_str().unwrap_or("unknown").into()
}
