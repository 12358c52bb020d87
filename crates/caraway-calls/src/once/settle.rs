//! Updates the calls of this instance after the log was read.

use std::time::Instant;

use super::{
    Active, Closing, Found, Once, OnceAction, Post, Stage, found, lapsed, refusals, reply_of,
};
use crate::{CallKey, Known, Outcome, Owner, RequestHash};

impl Once {
    /// Updates the calls with this key to the state that the log has for it.
    pub(super) fn settle(&mut self, now: Instant, key: &CallKey, out: &mut Vec<OnceAction>) {
        self.drop_closed(key);
        let Some(entry) = self.fold.entry(key) else {
            return;
        };
        let is_reused = |active: &Active| entry.stands_for_another(active.hash);
        if self.active.get(key).is_some_and(is_reused) {
            self.settle_reused(key, out);
        }
        match self.fold.known(key).cloned() {
            Some(Known::Intended(owner)) if self.is_mine(&owner) => {
                self.settle_mine(now, key, &owner, out);
            }
            Some(Known::Intended(_)) => self.settle_foreign(now, key),
            Some(Known::Released(_)) => self.settle_released(now, key),
            Some(Known::Done(_, outcome)) => self.settle_done(key, outcome, out),
            Some(Known::Evicted(_)) | None => {}
        }
    }

    fn settle_reused(&mut self, key: &CallKey, out: &mut Vec<OnceAction>) {
        if self.active.get(key).is_some_and(|a| a.stage == Stage::Sent) {
            return;
        }
        if let Some(mut active) = self.active.remove(key) {
            active.refuse(refusals::key_reused(), out);
        }
    }

    /// Sends a call whose intent won, or frees its key if it is too late to send it.
    fn settle_mine(
        &mut self,
        now: Instant,
        key: &CallKey,
        owner: &Owner,
        out: &mut Vec<OnceAction>,
    ) {
        let nonce = owner.nonce;
        match self.active.get_mut(key) {
            Some(active) if active.nonce == nonce => {
                if active.stage == Stage::Sent {
                    return;
                }
                if lapsed(active, now, &self.settings) {
                    active.refuse(refusals::deadline(), out);
                    self.active.remove(key);
                    self.free(now, key, nonce);
                    return;
                }
                let Some(sending) = active.sendings.iter().find(|s| s.deadline > now) else {
                    return;
                };
                let window = active.since + self.settings.send_window.get();
                active.stage = Stage::Sent;
                out.push(OnceAction::Send {
                    ticket: sending.ticket,
                    nonce,
                    until: sending.deadline.min(window),
                });
                self.sent.insert(nonce, key.clone());
            }
            _ => {
                self.settle_foreign(now, key);
                self.free(now, key, nonce);
            }
        }
    }

    /// Makes a proposed call wait for the outcome of the intent that won.
    fn settle_foreign(&mut self, now: Instant, key: &CallKey) {
        let until = now + self.settings.outcome_wait.get();
        if let Some(active) = self.active.get_mut(key)
            && let Stage::Proposed(_) = active.stage
        {
            active.stage = Stage::Waiting(until);
        }
    }

    /// Proposes a call again after the owner of the winning intent released the key.
    fn settle_released(&mut self, now: Instant, key: &CallKey) {
        let next = self.fold.next();
        let nonce = self.me.nonce + 1;
        let Some(active) = self.active.get_mut(key) else {
            return;
        };
        let is_lost = match active.stage {
            Stage::Proposed(Post::Acked(end)) => end <= next,
            Stage::Waiting(_) => true,
            Stage::Proposed(_) | Stage::Sent => false,
        };
        if is_lost {
            self.me.nonce = nonce;
            active.nonce = nonce;
            active.since = now;
            active.stage = Stage::Proposed(Post::Wanted);
        }
    }

    fn settle_done(&mut self, key: &CallKey, outcome: Outcome, out: &mut Vec<OnceAction>) {
        if self.active.get(key).is_some_and(|a| a.stage == Stage::Sent) {
            return;
        }
        if let Some(mut active) = self.active.remove(key) {
            active.reply(&reply_of(outcome), out);
        }
    }

    /// Frees the key of an own intent whose call was not sent and never will be.
    ///
    /// This needs a recent read of the log to its end. Otherwise the intent may be so old that an
    /// instance which began to read after it has another state for the key.
    fn free(&mut self, now: Instant, key: &CallKey, nonce: u64) {
        let is_closing = self
            .closing
            .get(key)
            .is_some_and(|list| list.iter().any(|c| c.nonce == nonce));
        let fresh = self.pace.caught_up.is_some_and(|at| {
            now.saturating_duration_since(at) < self.settings.release_window.get()
        });
        if !is_closing && fresh && !self.sent.contains_key(&nonce) {
            let hash = RequestHash::default();
            self.close(now, key.clone(), nonce, hash, Outcome::NotRun);
        }
    }

    /// Queues the outcome of an intent for recording; `opened` is when the call began.
    pub(super) fn close(
        &mut self,
        opened: Instant,
        key: CallKey,
        nonce: u64,
        hash: RequestHash,
        outcome: Outcome,
    ) {
        self.closing.entry(key).or_default().push(Closing {
            nonce,
            hash,
            outcome,
            since: opened,
            post: Post::Wanted,
        });
    }

    /// Drops the queued outcomes of a key that the log already has or that have no effect any more.
    fn drop_closed(&mut self, key: &CallKey) {
        let Some(list) = self.closing.get_mut(key) else {
            return;
        };
        let me = &self.me;
        let known = self.fold.known(key);
        list.retain(|closing| match known {
            Some(Known::Intended(owner)) => {
                let nonce = closing.nonce;
                *owner
                    == Owner {
                        nonce,
                        ..me.clone()
                    }
            }
            Some(_) => false,
            None => closing.outcome != Outcome::NotRun,
        });
        if list.is_empty() {
            self.closing.remove(key);
        }
    }

    /// Answers the lookups that began before the read of this number.
    pub(super) fn settle_lookups(&mut self, read: u64, out: &mut Vec<OnceAction>) {
        let (ready, rest) = std::mem::take(&mut self.lookups)
            .into_iter()
            .partition(|lookup| lookup.barrier <= read);
        self.lookups = rest;
        for lookup in ready {
            self.answer_lookup(&lookup, out);
        }
    }

    fn answer_lookup(&mut self, lookup: &super::Lookup, out: &mut Vec<OnceAction>) {
        let ticket = lookup.ticket;
        let known = match self.ended_here(&lookup.key) {
            Some(outcome) => Found::Ended(outcome),
            None => match self.fold.known(&lookup.key) {
                Some(Known::Intended(_)) => Found::Pending,
                Some(Known::Released(_)) => Found::Ended(Outcome::NotRun),
                Some(Known::Done(_, outcome)) => Found::Ended(outcome.clone()),
                Some(Known::Evicted(offset)) => {
                    let fetch = super::Fetch {
                        offset: *offset,
                        ticket,
                        is_lookup: true,
                    };
                    self.fetches.push(fetch);
                    return;
                }
                None if self.active.contains_key(&lookup.key) => Found::Pending,
                None => Found::Nothing,
            },
        };
        out.push(found(ticket, known));
    }
}
