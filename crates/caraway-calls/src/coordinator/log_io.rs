//! Appends to the log and reads from it: what is due, and how the results are handled.

use std::{sync::Arc, time::Instant};

use super::{
    AppendResult, AppendState, CallCoordinator, CoordinatorAction, LogPage, LookupResult, Reply,
    Stage, log_scheduler::ReadPurpose, lookup_action, refusal_action, refusals, reply_of,
};
use crate::{CallKey, CallRecord, Outcome, Step};

impl CallCoordinator {
    /// Handles the result of an append.
    ///
    /// If the answer was lost, the records are not appended again until a later read shows which of
    /// them are missing from the log.
    pub fn on_append(
        &mut self,
        now: Instant,
        result: AppendResult,
        out: &mut Vec<CoordinatorAction>,
    ) {
        self.scheduler.is_appending = false;
        let state = match result {
            AppendResult::Done(next) => {
                self.scheduler.on_success();
                AppendState::Acknowledged(next)
            }
            AppendResult::Failed => {
                self.scheduler.on_failure(now, self.settings.backoff.get());
                AppendState::Pending
            }
            AppendResult::Unknown => {
                self.scheduler.on_failure(now, self.settings.backoff.get());
                AppendState::Uncertain(self.scheduler.reads_started + 1)
            }
        };
        let finished =
            self.update_append_states(|old| (old == AppendState::InFlight).then_some(state));
        for key in finished {
            self.reconcile(now, &key, out);
        }
        self.start_due_io(now, out);
    }

    /// Handles a page that was read.
    pub fn on_page(&mut self, now: Instant, page: &LogPage, out: &mut Vec<CoordinatorAction>) {
        self.scheduler.on_success();
        match self.scheduler.end_read(now) {
            Some(ReadPurpose::NewRecords) => self.follow(now, page, out),
            Some(ReadPurpose::RecordedOutcome(offset)) => {
                self.finish_fetches(offset, Some(page), out);
            }
            None => {}
        }
        self.start_due_io(now, out);
    }

    /// Handles the failure of a read.
    pub fn on_read_failed(&mut self, now: Instant, out: &mut Vec<CoordinatorAction>) {
        self.scheduler.on_failure(now, self.settings.backoff.get());
        if let Some(ReadPurpose::RecordedOutcome(offset)) = self.scheduler.end_read(now) {
            self.finish_fetches(offset, None, out);
        }
        self.start_due_io(now, out);
    }

    /// Applies the next page of the stream and updates the calls whose keys it mentions.
    fn follow(&mut self, now: Instant, page: &LogPage, out: &mut Vec<CoordinatorAction>) {
        self.table.trim(page.oldest);
        let mut changed: Vec<CallKey> = page
            .records
            .iter()
            .filter_map(|record| self.table.apply(record.offset, &record.data))
            .collect();
        changed.sort_unstable();
        changed.dedup();
        for key in &changed {
            self.reconcile(now, key, out);
        }
        self.drop_logged_outcomes();
        if self.table.next_offset() < page.end {
            self.scheduler.skip_read_gap();
            return;
        }
        self.scheduler.caught_up_at = self.scheduler.read_started;
        let read = self.scheduler.reads_started;
        let is_missing = |old| matches!(old, AppendState::Uncertain(first) if first <= read);
        self.update_append_states(|old| is_missing(old).then_some(AppendState::Pending));
        self.answer_lookups(read, out);
    }

    /// Replies to the requests and lookups that wait for the outcome recorded at `offset`.
    fn finish_fetches(
        &mut self,
        offset: u64,
        page: Option<&LogPage>,
        out: &mut Vec<CoordinatorAction>,
    ) {
        let record = page
            .and_then(|page| page.records.iter().find(|record| record.offset == offset))
            .and_then(|record| CallRecord::parse(&record.data).ok());
        let outcome = match record.map(|record| record.step) {
            Some(Step::Outcome(outcome)) => Some(outcome),
            _ => None,
        };
        let retry = self.settings.backoff;
        self.fetches.retain(|fetch| {
            if fetch.offset != offset {
                return true;
            }
            let ticket = fetch.ticket;
            out.push(match (&outcome, fetch.is_lookup) {
                (Some(outcome), true) => {
                    lookup_action(ticket, LookupResult::Ended(outcome.clone()))
                }
                (Some(outcome), false) => {
                    let reply: Reply = reply_of(outcome.clone());
                    CoordinatorAction::Reply { ticket, reply }
                }
                (None, true) => lookup_action(ticket, LookupResult::Unavailable(retry)),
                (None, false) => refusal_action(ticket, refusals::unknown_outcome()),
            });
            false
        });
    }

    /// Starts the append and the read that are due.
    pub(super) fn start_due_io(&mut self, now: Instant, out: &mut Vec<CoordinatorAction>) {
        if self
            .scheduler
            .may_append(now, self.settings.append_gap.get())
        {
            let records = self.start_batch(now);
            if !records.is_empty() {
                self.scheduler.begin_append(now);
                out.push(CoordinatorAction::Append(records));
            }
        }
        self.start_read(now, out);
    }

    /// Starts the read that is due, if any; recorded outcomes are read before new records.
    fn start_read(&mut self, now: Instant, out: &mut Vec<CoordinatorAction>) {
        if let Some(fetch) = self.fetches.first()
            && self.scheduler.may_read(now, std::time::Duration::ZERO)
        {
            let from = fetch.offset;
            self.scheduler
                .begin_read(now, ReadPurpose::RecordedOutcome(from));
            out.push(CoordinatorAction::Read { from, max: 1 });
            return;
        }
        let busy = self.settings.busy_poll.get();
        if !self.scheduler.may_read(now, busy) {
            return;
        }
        if self.waits_for_log() || self.scheduler.may_read(now, self.settings.idle_poll.get()) {
            self.scheduler.begin_read(now, ReadPurpose::NewRecords);
            out.push(CoordinatorAction::Read {
                from: self.table.next_offset(),
                max: self.settings.page,
            });
        }
    }

    /// Returns whether a call or a lookup needs another read of the log.
    fn waits_for_log(&self) -> bool {
        let needs_read = |state: AppendState| {
            matches!(
                state,
                AppendState::Acknowledged(_) | AppendState::Uncertain(_)
            )
        };
        !self.lookups.is_empty()
            || self.active.values().any(|active| match active.stage {
                Stage::Proposed(state) => needs_read(state),
                Stage::Waiting(_) => true,
                Stage::Sent => false,
            })
            || self
                .pending_outcomes
                .values()
                .flatten()
                .any(|c| needs_read(c.append_state))
    }

    /// Marks the records of the next append as in flight and returns them, oldest first.
    fn start_batch(&mut self, now: Instant) -> Vec<Arc<str>> {
        self.drop_expired_releases(now);
        let mut batch: Vec<(u64, bool, CallKey)> = Vec::new();
        for (key, active) in &self.active {
            if active.stage == Stage::Proposed(AppendState::Pending) {
                batch.push((active.nonce, false, key.clone()));
            }
        }
        for (key, list) in &self.pending_outcomes {
            let due = list
                .iter()
                .filter(|c| c.append_state == AppendState::Pending);
            batch.extend(due.map(|c| (c.nonce, true, key.clone())));
        }
        batch.sort_unstable();
        batch.truncate(self.settings.batch);
        batch
            .into_iter()
            .filter_map(|(nonce, is_outcome, key)| self.start_append(key, nonce, is_outcome))
            .map(|record| record.to_text())
            .collect()
    }

    fn start_append(&mut self, key: CallKey, nonce: u64, is_outcome: bool) -> Option<CallRecord> {
        let owner = self.owner(nonce);
        if is_outcome {
            let list = self.pending_outcomes.get_mut(&key)?;
            let pending = list.iter_mut().find(|c| c.nonce == nonce)?;
            pending.append_state = AppendState::InFlight;
            let step = Step::Outcome(pending.outcome.clone());
            return Some(CallRecord::new(key, pending.hash, owner, step));
        }
        let active = self.active.get_mut(&key)?;
        active.stage = Stage::Proposed(AppendState::InFlight);
        Some(CallRecord::new(key, active.hash, owner, Step::Intent))
    }

    /// Drops the `NotRun` outcomes, which free their keys, whose release window has passed.
    fn drop_expired_releases(&mut self, now: Instant) {
        let window = self.settings.release_window.get();
        self.pending_outcomes.retain(|_, list| {
            list.retain(|pending| {
                let age = now.saturating_duration_since(pending.since);
                pending.outcome != Outcome::NotRun || age < window
            });
            !list.is_empty()
        });
    }

    /// Drops the outcomes whose records lie below the next offset to apply, even if the log has
    /// dropped them since.
    fn drop_logged_outcomes(&mut self) {
        let next = self.table.next_offset();
        self.pending_outcomes.retain(|_, list| {
            list.retain(|pending| !matches!(pending.append_state, AppendState::Acknowledged(end) if end <= next));
            !list.is_empty()
        });
    }

    /// Replaces the append state of each record for which `change` returns a new one, and returns
    /// the keys of these records.
    fn update_append_states(
        &mut self,
        change: impl Fn(AppendState) -> Option<AppendState>,
    ) -> Vec<CallKey> {
        let mut changed = Vec::new();
        for (key, active) in &mut self.active {
            if let Stage::Proposed(state) = active.stage
                && let Some(new) = change(state)
            {
                active.stage = Stage::Proposed(new);
                changed.push(key.clone());
            }
        }
        for (key, list) in &mut self.pending_outcomes {
            for pending in list {
                if let Some(new) = change(pending.append_state) {
                    pending.append_state = new;
                    changed.push(key.clone());
                }
            }
        }
        changed
    }
}
