//! State of the calls and lookups that are in progress on one instance.

use std::time::Instant;

use caraway_types::{Offset, Refusal, Ticket};

use super::{CoordinatorAction, LookupResult, Reply};
use crate::{CallKey, Outcome, RequestHash};

/// A call that has waiting callers on this instance, or that this instance has sent.
#[derive(Debug)]
pub(super) struct ActiveCall {
    /// Nonce of this instance's intent.
    pub(super) nonce: u64,
    pub(super) hash: RequestHash,
    /// When the call was received, or was proposed again after another owner released the key.
    pub(super) since: Instant,
    pub(super) stage: Stage,
    pub(super) waiters: Vec<Waiter>,
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The intent is being appended and read back.
    Proposed(AppendState),
    /// Another intent won; its outcome is awaited until this time.
    Waiting(Instant),
    /// The action to send the call was returned to the daemon.
    Sent,
}

/// A caller that waits for the reply to its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
}

/// The outcome of an own intent that still has to be recorded in the log.
#[derive(Debug)]
pub(super) struct PendingOutcome {
    pub(super) nonce: u64,
    pub(super) hash: RequestHash,
    pub(super) outcome: Outcome,
    /// Start of the release window.
    pub(super) since: Instant,
    pub(super) append_state: AppendState,
}

/// Progress of appending a record to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendState {
    /// The record waits for the next append.
    Pending,
    /// The record is part of the append in flight.
    InFlight,
    /// The record is in the log, below this offset.
    Acknowledged(Offset),
    /// The answer to the append was lost. A read with this number or a later one shows whether the
    /// record is in the log.
    Uncertain(u64),
}

/// A lookup of the outcome of a key.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) ticket: Ticket,
    pub(super) key: CallKey,
    pub(super) since: Instant,
    /// Number of the first read that begins after the lookup.
    pub(super) answering_read: u64,
}

/// A read of a recorded outcome that is no longer in memory.
#[derive(Debug)]
pub(super) struct Fetch {
    pub(super) offset: Offset,
    pub(super) ticket: Ticket,
    /// Whether the result goes to a lookup ([`LookupResult`]) rather than to a request ([`Reply`]).
    pub(super) is_lookup: bool,
}

impl ActiveCall {
    /// Sends the same reply to every caller.
    pub(super) fn reply(&mut self, reply: &Reply, out: &mut Vec<CoordinatorAction>) {
        for waiter in self.waiters.drain(..) {
            out.push(CoordinatorAction::Reply {
                ticket: waiter.ticket,
                reply: reply.clone(),
            });
        }
    }

    /// Refuses every caller.
    pub(super) fn refuse(&mut self, refusal: Refusal, out: &mut Vec<CoordinatorAction>) {
        self.reply(&Reply::Refuse(refusal), out);
    }

    /// Refuses the callers whose deadlines have passed.
    pub(super) fn expire(
        &mut self,
        now: Instant,
        refusal: &Refusal,
        out: &mut Vec<CoordinatorAction>,
    ) {
        self.waiters.retain(|waiter| {
            let expired = waiter.deadline <= now;
            if expired {
                out.push(refusal_action(waiter.ticket, refusal.clone()));
            }
            !expired
        });
    }
}

pub(super) fn refusal_action(ticket: Ticket, refusal: Refusal) -> CoordinatorAction {
    let reply = Reply::Refuse(refusal);
    CoordinatorAction::Reply { ticket, reply }
}

/// Converts a recorded outcome into the reply to a later request with the same key.
pub(super) fn reply_of(outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Answered(recorded) => Reply::Answer(recorded),
        Outcome::InDoubt(refusal) => Reply::Refuse(refusal),
        Outcome::NotRun => Reply::Refuse(super::refusals::unknown_outcome()),
    }
}

pub(super) fn lookup_action(ticket: Ticket, result: LookupResult) -> CoordinatorAction {
    CoordinatorAction::AnswerLookup { ticket, result }
}
