//! Inputs and outputs of [`CallCoordinator`](crate::CallCoordinator).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{Millis, Offset, Refusal, Ticket};

use crate::{CallKey, Outcome, RecordedAnswer, RequestHash};

/// A request with an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// Identifies the request on this instance.
    pub ticket: Ticket,
    /// Idempotency key with its scope.
    pub key: CallKey,
    /// Hash of the request.
    pub hash: RequestHash,
    /// Time since the key was created; `None` if the key has no timestamp.
    pub age: Option<Duration>,
    /// Deadline of the caller.
    pub deadline: Instant,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The records are in the log, all below this offset.
    Done(Offset),
    /// The append had no effect.
    Failed,
    /// The answer was lost; the records may be in the log or may still be added to it.
    Unknown,
}

/// A record that was read from the log.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Serialized [`CallRecord`](crate::CallRecord).
    pub data: Arc<str>,
}

/// Consecutive records that were read from the log.
#[derive(Clone, Debug, Default)]
pub struct LogPage {
    /// Smallest offset that the log retains.
    pub oldest: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
    /// Records in ascending order of their offsets.
    pub records: Vec<LogRecord>,
}

/// How a call that was sent to its service ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// The service answered.
    Answered(RecordedAnswer),
    /// The call did not run.
    NotRun(Refusal),
    /// The call may have run, but its answer was lost.
    InDoubt(Refusal),
}

/// An action for the daemon to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorAction {
    /// Append these records to the log, then call [`on_append`](crate::CallCoordinator::on_append).
    Append(Vec<Arc<str>>),
    /// Read records from the log, then call [`on_page`](crate::CallCoordinator::on_page) or
    /// [`on_read_failed`](crate::CallCoordinator::on_read_failed).
    Read {
        /// Offset of the first record.
        from: Offset,
        /// Maximum number of records.
        max: u32,
    },
    /// Send the call to its service, then call
    /// [`on_send_result`](crate::CallCoordinator::on_send_result).
    Send {
        /// Request to send.
        ticket: Ticket,
        /// Identifies the call in [`on_send_result`](crate::CallCoordinator::on_send_result).
        nonce: u64,
        /// Latest time to send the request; from then on the call ends as not run.
        until: Instant,
    },
    /// Send a request's final reply to its caller.
    Reply {
        /// Request that ends.
        ticket: Ticket,
        /// Final reply.
        reply: Reply,
    },
    /// Send the result of an outcome lookup to its caller.
    AnswerLookup {
        /// Lookup that ends, as passed to [`on_lookup`](crate::CallCoordinator::on_lookup).
        ticket: Ticket,
        /// Result of the lookup.
        result: LookupResult,
    },
}

/// Final reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answer of the service to this request or to another one with the same key.
    Answer(RecordedAnswer),
    /// Refusal, in place of an answer.
    Refuse(Refusal),
}

/// Result of an outcome lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The log has no record of the key.
    NotFound,
    /// The call has an intent, but no outcome yet.
    Pending,
    /// The call ended.
    Ended(Outcome),
    /// The log cannot be reached, so the state is unknown; retry after this time.
    Unavailable(Millis),
}
