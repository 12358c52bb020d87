//! What goes into [`Once`](crate::Once) and what comes out.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{Millis, Offset, Refusal, Ticket};

use crate::{CallKey, Outcome, Recorded, RequestHash};

/// One sending of a call that may not be repeated.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// Identifies the sending on this instance.
    pub ticket: Ticket,
    /// Its key.
    pub key: CallKey,
    /// Hash of the request.
    pub hash: RequestHash,
    /// Age of the key, where the key tells it.
    pub age: Option<Duration>,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appending {
    /// The records are in the log, below this offset.
    Done(Offset),
    /// The append certainly had no effect.
    Failed,
    /// The answer was lost; the records may be in the log or may still get there.
    Unknown,
}

/// A record as it was read from the log.
#[derive(Clone, Debug)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// The record.
    pub data: Arc<str>,
}

/// A run of records as it was read from the log.
#[derive(Clone, Debug, Default)]
pub struct LogPage {
    /// Smallest offset that is still kept.
    pub oldest: Offset,
    /// Offset that the next append would get.
    pub end: Offset,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// How the sending of a call to its service ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The service answered.
    Answered(Recorded),
    /// The call certainly did not run.
    NotRun(Refusal),
    /// The call may have run and its answer is lost.
    InDoubt(Refusal),
}

/// Something for the daemon to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceAction {
    /// Appends records, answered by [`Once::on_append`](crate::Once::on_append).
    Append(Vec<Arc<str>>),
    /// Reads records, answered by [`Once::on_page`](crate::Once::on_page) or
    /// [`Once::on_read_failed`](crate::Once::on_read_failed).
    Read {
        /// Offset of the first record.
        from: Offset,
        /// Most records.
        max: u32,
    },
    /// Sends the call to its service, answered by [`Once::on_ended`](crate::Once::on_ended).
    Send {
        /// The sending whose request goes out.
        ticket: Ticket,
        /// Identifies the call in [`Once::on_ended`](crate::Once::on_ended).
        nonce: u64,
        /// The call ends as not run when it was not written by then.
        until: Instant,
    },
    /// Gives a sending its final answer.
    Reply {
        /// The sending.
        ticket: Ticket,
        /// Its answer.
        reply: Reply,
    },
    /// Answers a question about an outcome.
    Found {
        /// The question.
        ticket: Ticket,
        /// Its answer.
        found: Found,
    },
}

/// The final answer of a sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The service's answer, from this sending or an earlier one of the same key.
    Answer(Recorded),
    /// No answer.
    Refuse(Refusal),
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The log has no intent with this key.
    Nothing,
    /// An intent has no outcome yet.
    Pending,
    /// The call ended.
    Ended(Outcome),
    /// The log cannot be reached, so nothing can be said.
    Unavailable(Millis),
}
