//! Appends to the log and reads from it: what is due, and how the results are handled.

use std::{sync::Arc, time::Instant};

use super::{
    Appending, Found, LogPage, Once, OnceAction, Post, Reply, Stage, found, log_pace::Reading,
    refusals, refuse, reply_of,
};
use crate::{CallKey, CallRecord, Outcome, Step};

impl Once {
    /// Handles the result of an append.
    ///
    /// If the answer was lost, the records are not appended again until a later read shows which of
    /// them are missing from the log.
    pub fn on_append(&mut self, now: Instant, ended: Appending, out: &mut Vec<OnceAction>) {
        self.pace.is_appending = false;
        let post = match ended {
            Appending::Done(next) => {
                self.pace.on_success();
                Post::Acked(next)
            }
            Appending::Failed => {
                self.pace.on_failure(now, self.settings.backoff.get());
                Post::Wanted
            }
            Appending::Unknown => {
                self.pace.on_failure(now, self.settings.backoff.get());
                Post::Unsure(self.pace.reads + 1)
            }
        };
        let posted = self.replace_posts(|old| (old == Post::InFlight).then_some(post));
        for key in posted {
            self.settle(now, &key, out);
        }
        self.pump(now, out);
    }

    /// Handles a page that was read.
    pub fn on_page(&mut self, now: Instant, page: &LogPage, out: &mut Vec<OnceAction>) {
        self.pace.on_success();
        match self.pace.end_read(now) {
            Some(Reading::Follow) => self.follow(now, page, out),
            Some(Reading::Fetch(offset)) => self.fetched(offset, Some(page), out),
            None => {}
        }
        self.pump(now, out);
    }

    /// Handles the failure of a read.
    pub fn on_read_failed(&mut self, now: Instant, out: &mut Vec<OnceAction>) {
        self.pace.on_failure(now, self.settings.backoff.get());
        if let Some(Reading::Fetch(offset)) = self.pace.end_read(now) {
            self.fetched(offset, None, out);
        }
        self.pump(now, out);
    }

    fn follow(&mut self, now: Instant, page: &LogPage, out: &mut Vec<OnceAction>) {
        self.fold.trim(page.oldest);
        let mut changed: Vec<CallKey> = page
            .records
            .iter()
            .filter_map(|record| self.fold.apply(record.offset, &record.data))
            .collect();
        changed.sort_unstable();
        changed.dedup();
        for key in &changed {
            self.settle(now, key, out);
        }
        self.drop_passed();
        if self.fold.next() < page.end {
            self.pace.hurry();
            return;
        }
        self.pace.caught_up = self.pace.read_began;
        let read = self.pace.reads;
        let is_settled = |old| matches!(old, Post::Unsure(first) if first <= read);
        self.replace_posts(|old| is_settled(old).then_some(Post::Wanted));
        self.settle_lookups(read, out);
    }

    fn fetched(&mut self, offset: u64, page: Option<&LogPage>, out: &mut Vec<OnceAction>) {
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
                (Some(outcome), true) => found(ticket, Found::Ended(outcome.clone())),
                (Some(outcome), false) => {
                    let reply: Reply = reply_of(outcome.clone());
                    OnceAction::Reply { ticket, reply }
                }
                (None, true) => found(ticket, Found::Unavailable(retry)),
                (None, false) => refuse(ticket, refusals::unknown_outcome()),
            });
            false
        });
    }

    /// Starts the append and the read that are due.
    pub(super) fn pump(&mut self, now: Instant, out: &mut Vec<OnceAction>) {
        if self.pace.may_append(now, self.settings.append_gap.get()) {
            let records = self.take_batch(now);
            if !records.is_empty() {
                self.pace.begin_append(now);
                out.push(OnceAction::Append(records));
            }
        }
        self.start_read(now, out);
    }

    fn start_read(&mut self, now: Instant, out: &mut Vec<OnceAction>) {
        if let Some(fetch) = self.fetches.first()
            && self.pace.may_read(now, std::time::Duration::ZERO)
        {
            let from = fetch.offset;
            self.pace.begin_read(now, Reading::Fetch(from));
            out.push(OnceAction::Read { from, max: 1 });
            return;
        }
        let busy = self.settings.busy_poll.get();
        if !self.pace.may_read(now, busy) {
            return;
        }
        if self.waits_for_log() || self.pace.may_read(now, self.settings.idle_poll.get()) {
            self.pace.begin_read(now, Reading::Follow);
            out.push(OnceAction::Read {
                from: self.fold.next(),
                max: self.settings.page,
            });
        }
    }

    fn waits_for_log(&self) -> bool {
        let reads = |post: Post| matches!(post, Post::Acked(_) | Post::Unsure(_));
        !self.lookups.is_empty()
            || self.active.values().any(|active| match active.stage {
                Stage::Proposed(post) => reads(post),
                Stage::Waiting(_) => true,
                Stage::Sent => false,
            })
            || self.closing.values().flatten().any(|c| reads(c.post))
    }

    /// Marks the records of the next append as in flight and returns them, oldest first.
    fn take_batch(&mut self, now: Instant) -> Vec<Arc<str>> {
        self.drop_late_releases(now);
        let mut wanted: Vec<(u64, bool, CallKey)> = Vec::new();
        for (key, active) in &self.active {
            if active.stage == Stage::Proposed(Post::Wanted) {
                wanted.push((active.nonce, false, key.clone()));
            }
        }
        for (key, list) in &self.closing {
            let due = list.iter().filter(|c| c.post == Post::Wanted);
            wanted.extend(due.map(|c| (c.nonce, true, key.clone())));
        }
        wanted.sort_unstable();
        wanted.truncate(self.settings.batch);
        wanted
            .into_iter()
            .filter_map(|(nonce, is_outcome, key)| self.post(key, nonce, is_outcome))
            .map(|record| record.to_text())
            .collect()
    }

    fn post(&mut self, key: CallKey, nonce: u64, is_outcome: bool) -> Option<CallRecord> {
        let owner = self.owner(nonce);
        if is_outcome {
            let list = self.closing.get_mut(&key)?;
            let closing = list.iter_mut().find(|c| c.nonce == nonce)?;
            closing.post = Post::InFlight;
            let step = Step::Outcome(closing.outcome.clone());
            return Some(CallRecord::new(key, closing.hash, owner, step));
        }
        let active = self.active.get_mut(&key)?;
        active.stage = Stage::Proposed(Post::InFlight);
        Some(CallRecord::new(key, active.hash, owner, Step::Intent))
    }

    /// Drops the outcomes that would free a key after the release window.
    fn drop_late_releases(&mut self, now: Instant) {
        let window = self.settings.release_window.get();
        self.closing.retain(|_, list| {
            list.retain(|closing| {
                let age = now.saturating_duration_since(closing.since);
                closing.outcome != Outcome::NotRun || age < window
            });
            !list.is_empty()
        });
    }

    /// Drops the outcomes whose records lie below the next offset to apply, even if the log has
    /// dropped them since.
    fn drop_passed(&mut self) {
        let next = self.fold.next();
        self.closing.retain(|_, list| {
            list.retain(|closing| !matches!(closing.post, Post::Acked(end) if end <= next));
            !list.is_empty()
        });
    }

    /// Replaces the append state of each record for which `change` returns a new one, and returns
    /// the keys of these records.
    fn replace_posts(&mut self, change: impl Fn(Post) -> Option<Post>) -> Vec<CallKey> {
        let mut changed = Vec::new();
        for (key, active) in &mut self.active {
            if let Stage::Proposed(post) = active.stage
                && let Some(new) = change(post)
            {
                active.stage = Stage::Proposed(new);
                changed.push(key.clone());
            }
        }
        for (key, list) in &mut self.closing {
            for closing in list {
                if let Some(new) = change(closing.post) {
                    closing.post = new;
                    changed.push(key.clone());
                }
            }
        }
        changed
    }
}
