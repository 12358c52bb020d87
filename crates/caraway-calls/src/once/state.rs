//! State of the calls that one instance has in progress.

use std::time::Instant;

use caraway_types::{Offset, Refusal, Ticket};

use super::{Found, OnceAction, Reply};
use crate::{CallKey, Outcome, RequestHash};

/// A call that somebody on this instance waits for, or that this instance has sent.
#[derive(Debug)]
pub(super) struct Active {
    /// Names the intent of this instance.
    pub(super) nonce: u64,
    pub(super) hash: RequestHash,
    /// When the intent was first wanted.
    pub(super) since: Instant,
    pub(super) stage: Stage,
    pub(super) sendings: Vec<Sending>,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The intent is on its way into the log and back.
    Proposed(Post),
    /// Another intent won; its outcome is awaited until then.
    Waiting(Instant),
    /// The call was handed out for sending.
    Sent,
}

/// One caller who waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
}

/// A call that has ended here and whose outcome is not in the log yet.
#[derive(Debug)]
pub(super) struct Closing {
    pub(super) nonce: u64,
    pub(super) hash: RequestHash,
    pub(super) outcome: Outcome,
    pub(super) since: Instant,
    pub(super) post: Post,
}

/// How far a record is on its way into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Post {
    /// It is to be appended.
    Wanted,
    /// An append that holds it is under way.
    InFlight,
    /// It is in the log below this offset.
    Acked(Offset),
    /// The answer was lost; the read of this number, or a later one, tells.
    Unsure(u64),
}

/// A question about an outcome.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) ticket: Ticket,
    pub(super) key: CallKey,
    pub(super) since: Instant,
    /// Number of the first read that began after the question.
    pub(super) barrier: u64,
}

/// A recorded outcome that is read back from the log.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) offset: Offset,
    pub(super) ticket: Ticket,
    /// Whether the answer is a [`Found`] rather than a [`Reply`].
    pub(super) is_lookup: bool,
}

impl Active {
    /// Gives every caller the same answer.
    pub(super) fn reply(&mut self, reply: &Reply, out: &mut Vec<OnceAction>) {
        for sending in self.sendings.drain(..) {
            out.push(OnceAction::Reply {
                ticket: sending.ticket,
                reply: reply.clone(),
            });
        }
    }

    /// Refuses every caller.
    pub(super) fn refuse(&mut self, refusal: Refusal, out: &mut Vec<OnceAction>) {
        self.reply(&Reply::Refuse(refusal), out);
    }

    /// Refuses the callers whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant, refusal: &Refusal, out: &mut Vec<OnceAction>) {
        self.sendings.retain(|sending| {
            let expired = sending.deadline <= now;
            if expired {
                out.push(refuse(sending.ticket, refusal.clone()));
            }
            !expired
        });
    }
}

pub(super) fn refuse(ticket: Ticket, refusal: Refusal) -> OnceAction {
    let reply = Reply::Refuse(refusal);
    OnceAction::Reply { ticket, reply }
}

/// Turns a recorded outcome into the answer for a repeat.
pub(super) fn reply_of(outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Answered(recorded) => Reply::Answer(recorded),
        Outcome::InDoubt(refusal) => Reply::Refuse(refusal),
        Outcome::NotRun => Reply::Refuse(super::refusals::unknown_outcome()),
    }
}

pub(super) fn found(ticket: Ticket, found: Found) -> OnceAction {
    OnceAction::Found { ticket, found }
}
