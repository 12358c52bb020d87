//! [`RetryPolicy`] decides whether and how an attempt is retried.

use std::time::{Duration, Instant};

use caraway_types::{AccountId, EndpointId, Reason, Refusal};

use crate::{RetryBudget, RetryBudgetSettings};

/// Retry time sent to a caller whose request failed on the endpoints that were tried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run again without further effect, as a completion or a read does.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
}

/// How an attempt ended, as observed by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint refused the request without running it.
    Refused,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before any byte of the request was written.
    FailedUnwritten,
    /// The connection failed after bytes were written and before an answer arrived.
    FailedWritten,
    /// A complete answer with this HTTP status arrived.
    Status(u16),
    /// The answer broke off after this many delivered tokens.
    Broken(u32),
    /// The attempt made no progress in time after this many delivered tokens.
    Stalled(u32),
    /// The endpoint cannot resume the attempt, of which this many tokens were delivered.
    NotResumable(u32),
}

/// What to do after an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Deliver the answer to the caller unchanged.
    Deliver,
    /// Retry on another endpoint.
    RetryElsewhere,
    /// Retry on the same endpoint with a new connection.
    RetryOnNewConnection,
    /// Resume the same attempt on a new connection, from this token on.
    Resume(u32),
    /// Generate the answer again and compare it with the delivered tokens.
    Restart,
    /// Refuse the request; no attempt follows.
    Refuse(Refusal),
}

/// Decides on retries, within a [`RetryBudget`].
#[derive(Debug)]
pub struct RetryPolicy {
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy with a full budget.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings),
        }
    }

    /// Records the first attempt of a request, which refills the budget.
    pub fn on_request(&mut self, now: Instant, account: &AccountId, endpoint: &EndpointId) {
        self.budget.on_request(now, account, endpoint);
    }

    /// Decides what follows an attempt on `endpoint`.
    ///
    /// Every retry consumes budget. Without budget the request is refused: as not run only if the
    /// attempt certainly did not run.
    pub fn decide(
        &mut self,
        now: Instant,
        account: &AccountId,
        endpoint: &EndpointId,
        idempotency: Idempotency,
        result: AttemptResult,
    ) -> Decision {
        let decision = unlimited_decision(idempotency, result);
        let is_retry = !matches!(decision, Decision::Deliver | Decision::Refuse(_));
        if is_retry && !self.budget.try_acquire(now, account, endpoint) {
            return Decision::Refuse(final_refusal(result));
        }
        decision
    }
}

/// Returns the decision regardless of the budget.
#[expect(
    clippy::match_same_arms,
    reason = "one arm per case, in the order of precedence"
)]
fn unlimited_decision(idempotency: Idempotency, result: AttemptResult) -> Decision {
    match (idempotency, result) {
        (_, AttemptResult::FailedUnwritten) => Decision::RetryOnNewConnection,
        (_, AttemptResult::Refused | AttemptResult::ConnectFailed)
        | (Idempotency::Idempotent, AttemptResult::Status(502..=504)) => Decision::RetryElsewhere,
        (_, AttemptResult::Status(_)) => Decision::Deliver,
        (Idempotency::AtMostOnce, _) => Decision::Refuse(final_refusal(result)),
        (
            Idempotency::Idempotent,
            AttemptResult::FailedWritten | AttemptResult::Broken(0) | AttemptResult::Stalled(0),
        ) => Decision::RetryOnNewConnection,
        (Idempotency::Idempotent, AttemptResult::Broken(from) | AttemptResult::Stalled(from)) => {
            Decision::Resume(from)
        }
        (Idempotency::Idempotent, AttemptResult::NotResumable(_)) => Decision::Restart,
    }
}

/// Returns the refusal of a request after its last attempt.
fn final_refusal(result: AttemptResult) -> Refusal {
    match result {
        AttemptResult::Refused => {
            Refusal::not_run(Reason::QueueFull, "every endpoint asked refused")
        }
        AttemptResult::ConnectFailed | AttemptResult::FailedUnwritten => {
            Refusal::not_run(Reason::NoEndpoint, "no endpoint could be reached")
        }
        AttemptResult::Stalled(_) => {
            Refusal::in_doubt(Reason::Stalled, "the endpoint made no progress")
        }
        AttemptResult::FailedWritten
        | AttemptResult::Status(_)
        | AttemptResult::Broken(_)
        | AttemptResult::NotResumable(_) => Refusal::in_doubt(
            Reason::EndpointFailed,
            "the endpoint failed after it was asked",
        ),
    }
    .with_retry_after(RETRY_AFTER)
}
