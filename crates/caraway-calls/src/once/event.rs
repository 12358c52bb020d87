//! Inputs and outputs of [`Once`](crate::Once).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{Millis, Offset, Refusal, Ticket};

use crate::{CallKey, Outcome, Recorded, RequestHash};

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
pub enum Appending {
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
pub enum Ended {
    /// The service answered.
    Answered(Recorded),
    /// The call did not run.
    NotRun(Refusal),
    /// The call may have run, but its answer was lost.
    InDoubt(Refusal),
}

/// An action for the daemon to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceAction {
    /// Append these records to the log, then call [`Once::on_append`](crate::Once::on_append).
    Append(Vec<Arc<str>>),
    /// Read records from the log, then call [`Once::on_page`](crate::Once::on_page) or
    /// [`Once::on_read_failed`](crate::Once::on_read_failed).
    Read {
        /// Offset of the first record.
        from: Offset,
        /// Maximum number of records.
        max: u32,
    },
    /// Send the call to its service, then call [`Once::on_ended`](crate::Once::on_ended).
    Send {
        /// Request to send.
        ticket: Ticket,
        /// Identifies the call in [`Once::on_ended`](crate::Once::on_ended).
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
    Found {
        /// Lookup that ends, as passed to [`Once::on_lookup`](crate::Once::on_lookup).
        ticket: Ticket,
        /// Result of the lookup.
        found: Found,
    },
}

/// Final reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answer of the service to this request or to another one with the same key.
    Answer(Recorded),
    /// Refusal, in place of an answer.
    Refuse(Refusal),
}

/// Result of an outcome lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The log has no record of the key.
    Nothing,
    /// The call has an intent, but no outcome yet.
    Pending,
    /// The call ended.
    Ended(Outcome),
    /// The log cannot be reached, so the state is unknown; retry after this time.
    Unavailable(Millis),
}
