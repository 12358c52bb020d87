//! [`RetryPolicy`] decides what follows when an attempt ends without a whole answer.

use std::time::{Duration, Instant};

use caraway_types::{AccountId, EndpointId, Reason, Refusal};

use crate::{BudgetSettings, RetryBudget};

/// When a caller may come back after its request found no working endpoint.
const COME_BACK: Duration = Duration::from_secs(1);

/// Says whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again has no further effect, as for a completion or a read.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
}

/// What the daemon saw of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    /// The endpoint answered that the request did not run.
    Refused,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection failed before any byte of the request was written.
    FailedUnwritten,
    /// The connection failed after bytes were written and before an answer.
    FailedWritten,
    /// A whole answer with this status came.
    Status(u16),
    /// The answer broke off; the caller has this many tokens.
    Broken(u32),
    /// The attempt made no progress in time; the caller has this many tokens.
    Stalled(u32),
    /// The endpoint says that the attempt cannot be resumed; the caller has this many tokens.
    NotResumable(u32),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Hands the answer to the caller as it is.
    Deliver,
    /// Tries another endpoint.
    RetryElsewhere,
    /// Tries the same endpoint on a new connection.
    RetryFresh,
    /// Resumes the same attempt on a new connection from this token.
    Resume(u32),
    /// Generates again and compares with the tokens that the caller has.
    Restart,
    /// Gives the final answer now.
    Refuse(Refusal),
}

/// Decides on retries and keeps their budget.
#[derive(Debug)]
pub struct RetryPolicy {
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Makes a policy with a full budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings),
        }
    }

    /// Counts the first attempt of a request.
    pub fn on_request(&mut self, now: Instant, account: &AccountId, endpoint: &EndpointId) {
        self.budget.on_request(now, account, endpoint);
    }

    /// Decides what follows an attempt on `endpoint`.
    ///
    /// A retry takes from the budget; without budget the request is refused, as not run only
    /// where the attempt certainly did not run.
    pub fn decide(
        &mut self,
        now: Instant,
        account: &AccountId,
        endpoint: &EndpointId,
        repeat: Repeat,
        saw: Saw,
    ) -> Decision {
        let wanted = wanted(repeat, saw);
        let is_retry = !matches!(wanted, Decision::Deliver | Decision::Refuse(_));
        if is_retry && !self.budget.take(now, account, endpoint) {
            return Decision::Refuse(refusal(saw));
        }
        wanted
    }
}

/// Decides as if the budget were endless.
fn wanted(repeat: Repeat, saw: Saw) -> Decision {
    match (repeat, saw) {
        (_, Saw::FailedUnwritten) => Decision::RetryFresh,
        (_, Saw::Refused | Saw::ConnectFailed) | (Repeat::Idempotent, Saw::Status(502..=504)) => {
            Decision::RetryElsewhere
        }
        (_, Saw::Status(_)) => Decision::Deliver,
        (Repeat::AtMostOnce, _) => Decision::Refuse(refusal(saw)),
        (Repeat::Idempotent, Saw::FailedWritten | Saw::Broken(0) | Saw::Stalled(0)) => {
            Decision::RetryFresh
        }
        (Repeat::Idempotent, Saw::Broken(from) | Saw::Stalled(from)) => Decision::Resume(from),
        (Repeat::Idempotent, Saw::NotResumable(_)) => Decision::Restart,
    }
}

/// The final answer when nothing more is tried.
fn refusal(saw: Saw) -> Refusal {
    match saw {
        Saw::Refused => Refusal::not_run(Reason::QueueFull, "every endpoint asked refused"),
        Saw::ConnectFailed | Saw::FailedUnwritten => {
            Refusal::not_run(Reason::NoEndpoint, "no endpoint could be reached")
        }
        Saw::Stalled(_) => Refusal::in_doubt(Reason::Stalled, "the endpoint made no progress"),
        Saw::FailedWritten | Saw::Status(_) | Saw::Broken(_) | Saw::NotResumable(_) => {
            Refusal::in_doubt(
                Reason::EndpointFailed,
                "the endpoint failed after it was asked",
            )
        }
    }
    .with_retry_after(COME_BACK)
}
