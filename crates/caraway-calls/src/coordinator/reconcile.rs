//! Updates the calls of this instance after the log was read.

use std::time::Instant;

use super::{
    ActiveCall, AppendState, CallCoordinator, CoordinatorAction, LookupResult, PendingOutcome,
    Stage, is_too_late, lookup_action, refusals, reply_of,
};
use crate::{CallKey, KeyState, Outcome, Owner, RequestHash};

impl CallCoordinator {
    /// Updates the calls with this key to the state that the log has for it.
    pub(super) fn reconcile(
        &mut self,
        now: Instant,
        key: &CallKey,
        out: &mut Vec<CoordinatorAction>,
    ) {
        self.drop_obsolete_outcomes(key);
        let Some(entry) = self.table.entry(key) else {
            return;
        };
        let is_reused = |active: &ActiveCall| entry.conflicts_with(active.hash);
        if self.active.get(key).is_some_and(is_reused) {
            self.refuse_reused(key, out);
        }
        match self.table.state(key).cloned() {
            Some(KeyState::Intended(owner)) if self.is_own(&owner) => {
                self.reconcile_own(now, key, &owner, out);
            }
            Some(KeyState::Intended(_)) => self.wait_for_other_owner(now, key),
            Some(KeyState::Released(_)) => self.propose_again(now, key),
            Some(KeyState::Done(_, outcome)) => self.reply_done(key, outcome, out),
            Some(KeyState::Evicted(_)) | None => {}
        }
    }

    /// Refuses an unsent call whose key was used for another request.
    fn refuse_reused(&mut self, key: &CallKey, out: &mut Vec<CoordinatorAction>) {
        if self.active.get(key).is_some_and(|a| a.stage == Stage::Sent) {
            return;
        }
        if let Some(mut active) = self.active.remove(key) {
            active.refuse(refusals::key_reused(), out);
        }
    }

    /// Sends a call whose intent won, or frees its key if it is too late to send it.
    fn reconcile_own(
        &mut self,
        now: Instant,
        key: &CallKey,
        owner: &Owner,
        out: &mut Vec<CoordinatorAction>,
    ) {
        let nonce = owner.nonce;
        match self.active.get_mut(key) {
            Some(active) if active.nonce == nonce => {
                if active.stage == Stage::Sent {
                    return;
                }
                if is_too_late(active, now, &self.settings) {
                    active.refuse(refusals::deadline_passed(), out);
                    self.active.remove(key);
                    self.release_key(now, key, nonce);
                    return;
                }
                let Some(waiter) = active.waiters.iter().find(|w| w.deadline > now) else {
                    return;
                };
                let window_end = active.since + self.settings.send_window.get();
                active.stage = Stage::Sent;
                out.push(CoordinatorAction::Send {
                    ticket: waiter.ticket,
                    nonce,
                    until: waiter.deadline.min(window_end),
                });
                self.sent.insert(nonce, key.clone());
            }
            _ => {
                self.wait_for_other_owner(now, key);
                self.release_key(now, key, nonce);
            }
        }
    }

    /// Makes a proposed call wait for the outcome of the intent that won.
    fn wait_for_other_owner(&mut self, now: Instant, key: &CallKey) {
        let until = now + self.settings.outcome_wait.get();
        if let Some(active) = self.active.get_mut(key)
            && let Stage::Proposed(_) = active.stage
        {
            active.stage = Stage::Waiting(until);
        }
    }

    /// Proposes a call again after the owner of the winning intent released the key.
    fn propose_again(&mut self, now: Instant, key: &CallKey) {
        let next = self.table.next_offset();
        let nonce = self.last_owner.nonce + 1;
        let Some(active) = self.active.get_mut(key) else {
            return;
        };
        let must_repropose = match active.stage {
            Stage::Proposed(AppendState::Acknowledged(end)) => end <= next,
            Stage::Waiting(_) => true,
            Stage::Proposed(_) | Stage::Sent => false,
        };
        if must_repropose {
            self.last_owner.nonce = nonce;
            active.nonce = nonce;
            active.since = now;
            active.stage = Stage::Proposed(AppendState::Pending);
        }
    }

    /// Replies to the callers of an unsent call with the outcome that the log has.
    fn reply_done(&mut self, key: &CallKey, outcome: Outcome, out: &mut Vec<CoordinatorAction>) {
        if self.active.get(key).is_some_and(|a| a.stage == Stage::Sent) {
            return;
        }
        if let Some(mut active) = self.active.remove(key) {
            active.reply(&reply_of(outcome), out);
        }
    }

    /// Frees the key of an own intent whose call was not sent and never will be.
    ///
    /// This needs a recent read to the end of the log, which shows that the intent is recent. The
    /// log may have dropped an older one, and an instance that started to read later does not know
    /// it and has another state for the key.
    fn release_key(&mut self, now: Instant, key: &CallKey, nonce: u64) {
        let is_queued = self
            .pending_outcomes
            .get(key)
            .is_some_and(|list| list.iter().any(|c| c.nonce == nonce));
        let is_recent = self.scheduler.caught_up_at.is_some_and(|at| {
            now.saturating_duration_since(at) < self.settings.release_window.get()
        });
        if !is_queued && is_recent && !self.sent.contains_key(&nonce) {
            let hash = RequestHash::default();
            self.queue_outcome(now, key.clone(), nonce, hash, Outcome::NotRun);
        }
    }

    /// Queues the outcome of an own intent for recording; `since` starts its release window.
    pub(super) fn queue_outcome(
        &mut self,
        since: Instant,
        key: CallKey,
        nonce: u64,
        hash: RequestHash,
        outcome: Outcome,
    ) {
        self.pending_outcomes
            .entry(key)
            .or_default()
            .push(PendingOutcome {
                nonce,
                hash,
                outcome,
                since,
                append_state: AppendState::Pending,
            });
    }

    /// Drops the queued outcomes of a key that the log already has or that have no effect any more.
    fn drop_obsolete_outcomes(&mut self, key: &CallKey) {
        let Some(list) = self.pending_outcomes.get_mut(key) else {
            return;
        };
        let last_owner = &self.last_owner;
        let state = self.table.state(key);
        list.retain(|pending| match state {
            Some(KeyState::Intended(owner)) => {
                let nonce = pending.nonce;
                *owner
                    == Owner {
                        nonce,
                        ..last_owner.clone()
                    }
            }
            Some(_) => false,
            None => pending.outcome != Outcome::NotRun,
        });
        if list.is_empty() {
            self.pending_outcomes.remove(key);
        }
    }

    /// Answers the lookups that were added before the read with number `read` started.
    pub(super) fn answer_lookups(&mut self, read: u64, out: &mut Vec<CoordinatorAction>) {
        let (ready, rest) = std::mem::take(&mut self.lookups)
            .into_iter()
            .partition(|lookup| lookup.answering_read <= read);
        self.lookups = rest;
        for lookup in ready {
            self.answer_lookup(&lookup, out);
        }
    }

    fn answer_lookup(&mut self, lookup: &super::Lookup, out: &mut Vec<CoordinatorAction>) {
        let ticket = lookup.ticket;
        let result = match self.final_outcome(&lookup.key) {
            Some(outcome) => LookupResult::Ended(outcome),
            None => match self.table.state(&lookup.key) {
                Some(KeyState::Intended(_)) => LookupResult::Pending,
                Some(KeyState::Released(_)) => LookupResult::Ended(Outcome::NotRun),
                Some(KeyState::Done(_, outcome)) => LookupResult::Ended(outcome.clone()),
                Some(KeyState::Evicted(offset)) => {
                    let fetch = super::Fetch {
                        offset: *offset,
                        ticket,
                        is_lookup: true,
                    };
                    self.fetches.push(fetch);
                    return;
                }
                None if self.active.contains_key(&lookup.key) => LookupResult::Pending,
                None => LookupResult::NotFound,
            },
        };
        out.push(lookup_action(ticket, result));
    }
}
