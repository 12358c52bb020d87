//! State of the calls and lookups that are in progress on one instance.

use std::time::Instant;

use caraway_types::{Offset, Refusal, Ticket};

use super::{Found, OnceAction, Reply};
use crate::{CallKey, Outcome, RequestHash};

/// A call that has waiting callers on this instance, or that this instance has sent.
#[derive(Debug)]
pub(super) struct Active {
    /// Nonce of this instance's intent.
    pub(super) nonce: u64,
    pub(super) hash: RequestHash,
    /// When the call was received, or was proposed again after another owner released the key.
    pub(super) since: Instant,
    pub(super) stage: Stage,
    pub(super) sendings: Vec<Sending>,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The intent is being appended and read back.
    Proposed(Post),
    /// Another intent won; its outcome is awaited until this time.
    Waiting(Instant),
    /// The action to send the call was returned to the daemon.
    Sent,
}

/// A caller that waits for the reply to its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
}

/// The outcome of an own intent that still has to be recorded in the log.
#[derive(Debug)]
pub(super) struct Closing {
    pub(super) nonce: u64,
    pub(super) hash: RequestHash,
    pub(super) outcome: Outcome,
    /// Start of the release window.
    pub(super) since: Instant,
    pub(super) post: Post,
}

/// Progress of appending a record to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Post {
    /// The record waits for the next append.
    Wanted,
    /// The record is part of the append in flight.
    InFlight,
    /// The record is in the log, below this offset.
    Acked(Offset),
    /// The answer to the append was lost. A read with this number or a later one shows whether the
    /// record is in the log.
    Unsure(u64),
}

/// A lookup of the outcome of a key.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) ticket: Ticket,
    pub(super) key: CallKey,
    pub(super) since: Instant,
    /// Number of the first read that begins after the lookup.
    pub(super) barrier: u64,
}

/// A read of a recorded outcome that is no longer in memory.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) offset: Offset,
    pub(super) ticket: Ticket,
    /// Whether the result goes to a lookup ([`Found`]) rather than to a request ([`Reply`]).
    pub(super) is_lookup: bool,
}

impl Active {
    /// Sends the same reply to every caller.
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

    /// Refuses the callers whose deadlines have passed.
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

/// Converts a recorded outcome into the reply to a later request with the same key.
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
