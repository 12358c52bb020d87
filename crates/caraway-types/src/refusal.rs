//! [`Refusal`]: why a request has no answer, and whether it may have run.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Says whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The request certainly did not run and may be sent again.
    NotRun,
    /// The request may have run; sending it again could run it twice.
    InDoubt,
}

/// Says why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The body exceeds the limit.
    TooLarge,
    /// The client account is unknown.
    UnknownAccount,
    /// The adapter or version is unknown.
    UnknownAdapter,
    /// The plain service is unknown.
    UnknownService,
    /// The client account is over its limit.
    OverLimit,
    /// A queue is full.
    QueueFull,
    /// The deadline cannot be met.
    Deadline,
    /// The adapter could not be loaded.
    LoadFailed,
    /// No endpoint can take the request.
    NoEndpoint,
    /// The instance is stopping.
    Leaving,
    /// The platform's log cannot be reached.
    LogUnavailable,
    /// The endpoint failed while it ran the request.
    EndpointFailed,
    /// The endpoint made no progress in time.
    Stalled,
    /// An idempotency key was used for another request.
    KeyReused,
    /// An earlier sending of the same call has no known outcome.
    OutcomeUnknown,
}

/// The typed body of every refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub certainty: Certainty,
    /// Why it is refused.
    pub reason: Reason,
    /// Detail for a person, with the place of a bad input.
    pub detail: Arc<str>,
    /// When to come back, where that helps.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            certainty: Certainty::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn in_doubt(reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            certainty: Certainty::InDoubt,
            ..Self::not_run(reason, detail)
        }
    }

    /// Adds the time after which the caller may come back.
    #[must_use]
    pub fn after(self, wait: impl Into<Millis>) -> Self {
        Self {
            retry_after: Some(wait.into()),
            ..self
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} ({:?}): {}",
            self.reason, self.certainty, self.detail
        )
    }
}

impl std::error::Error for Refusal {}
