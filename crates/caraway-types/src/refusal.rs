//! [`Refusal`], the error that a caller receives instead of an answer.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The request did not run and is safe to retry.
    NotRun,
    /// The request may have run; a retry could run it twice.
    InDoubt,
}

/// Why a request is refused; part of the answer that the caller receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The head or body of the request exceeds its size limit.
    TooLarge,
    /// The client account is unknown.
    UnknownAccount,
    /// The adapter or its version is unknown.
    UnknownAdapter,
    /// The plain service is unknown.
    UnknownService,
    /// The client account exceeded its rate limit.
    OverLimit,
    /// A queue or another bounded resource is full.
    QueueFull,
    /// The deadline passed or cannot be met.
    Deadline,
    /// The adapter could not be loaded.
    LoadFailed,
    /// No endpoint can take the request.
    NoEndpoint,
    /// The instance is draining before it stops.
    Leaving,
    /// The platform's log is unreachable.
    LogUnavailable,
    /// The request has what crashed several endpoints.
    Quarantined,
    /// The stream that the request takes up can't go on.
    NotResumable,
    /// The endpoint failed while it ran the request.
    EndpointFailed,
    /// The endpoint made no progress within the timeout.
    Stalled,
    /// The idempotency key was already used for a different request.
    KeyReused,
    /// The outcome of an earlier attempt with the same idempotency key is unknown.
    OutcomeUnknown,
}

/// An answer that reports why a request was refused and whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub certainty: Certainty,
    /// Why the request is refused.
    pub reason: Reason,
    /// Explanation for a person; for invalid input it includes the location.
    pub detail: Arc<str>,
    /// How long the caller should wait before a retry; `None` if no time is suggested.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            certainty: Certainty::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn in_doubt(reason: Reason, detail: impl Into<Arc<str>>) -> Self {
        Self {
            certainty: Certainty::InDoubt,
            ..Self::not_run(reason, detail)
        }
    }

    /// Sets how long the caller should wait before a retry.
    #[must_use]
    pub fn with_retry_after(self, wait: impl Into<Millis>) -> Self {
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
