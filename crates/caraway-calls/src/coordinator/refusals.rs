//! The refusals of calls with an idempotency key.

use std::time::Duration;

use caraway_types::{Reason, Refusal};

/// Retry time sent to callers where the condition may soon pass.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry time sent to callers while the number of known keys is at its limit.
const KEYS_FULL_RETRY_AFTER: Duration = Duration::from_mins(1);

pub(super) fn key_reused() -> Refusal {
    let detail = "idempotency-key: the key was used for another request";
    Refusal::not_run(Reason::KeyReused, detail)
}

pub(super) fn unknown_outcome() -> Refusal {
    let detail = "an earlier sending of this key has no known outcome; see /v1/outcomes";
    Refusal::in_doubt(Reason::OutcomeUnknown, detail).with_retry_after(RETRY_AFTER)
}

pub(super) fn still_running() -> Refusal {
    let detail = "the deadline passed while the call runs; see /v1/outcomes";
    Refusal::in_doubt(Reason::Deadline, detail).with_retry_after(RETRY_AFTER)
}

pub(super) fn too_many_waiters() -> Refusal {
    let detail = "too many sendings of this key wait already";
    Refusal::in_doubt(Reason::QueueFull, detail).with_retry_after(RETRY_AFTER)
}

pub(super) fn key_too_old() -> Refusal {
    let detail = "idempotency-key: the key is older than the log remembers";
    Refusal::in_doubt(Reason::OutcomeUnknown, detail)
}

pub(super) fn key_without_timestamp() -> Refusal {
    let detail = "idempotency-key: a UUID of version 7 is wanted, which carries its time";
    Refusal::not_run(Reason::BadRequest, detail)
}

pub(super) fn deadline_passed() -> Refusal {
    let detail = "the deadline passed before the call was sent";
    Refusal::not_run(Reason::Deadline, detail).with_retry_after(RETRY_AFTER)
}

pub(super) fn too_many_calls() -> Refusal {
    let detail = "too many calls with a key are in progress";
    Refusal::not_run(Reason::QueueFull, detail).with_retry_after(RETRY_AFTER)
}

pub(super) fn too_many_keys() -> Refusal {
    let detail = "too many keys are remembered";
    Refusal::not_run(Reason::QueueFull, detail).with_retry_after(KEYS_FULL_RETRY_AFTER)
}

pub(super) fn log_unavailable(wait: Duration) -> Refusal {
    let detail = "this sending did not run: the platform's log cannot be reached";
    Refusal::not_run(Reason::LogUnavailable, detail).with_retry_after(wait)
}
