//! [`CallCoordinator`] coordinates calls with an idempotency key, so that each runs at most once.

mod event;
mod log_io;
mod log_scheduler;
mod reconcile;
mod refusals;
mod settings;
mod state;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{Incarnation, InstanceId, Refusal, Ticket};

pub use event::{
    AppendResult, CoordinatorAction, KeyedCall, LogPage, LogRecord, LookupResult, Reply, SendResult,
};
pub use settings::CoordinatorSettings;

use crate::{CallKey, CallTable, KeyState, Outcome, Owner};
use log_scheduler::LogScheduler;
use state::{
    ActiveCall, AppendState, Fetch, Lookup, PendingOutcome, Stage, Waiter, lookup_action,
    refusal_action, reply_of,
};

/// Runs each keyed call at most once across all instances, coordinated through the platform's log.
///
/// The instance that receives a call appends an intent to the `calls` stream and reads it back. The
/// first intent of a key wins, and only its owner sends the call, in the same incarnation and
/// within the send window. The outcome is appended afterwards, so that a request with the same key
/// on any instance gets the recorded answer or `in_doubt`. A record that is appended twice has no
/// further effect, because it names its owner and nonce.
#[derive(Debug)]
pub struct CallCoordinator {
    settings: CoordinatorSettings,
    /// Owner of the intent that this process proposed last; the next intent has the next nonce.
    last_owner: Owner,
    table: CallTable,
    active: HashMap<CallKey, ActiveCall>,
    /// Keys of the calls that were sent and have not ended, by nonce.
    sent: HashMap<u64, CallKey>,
    /// Outcomes that still have to be recorded in the log.
    pending_outcomes: HashMap<CallKey, Vec<PendingOutcome>>,
    /// Lookups that wait for a read of the log.
    lookups: Vec<Lookup>,
    fetches: Vec<Fetch>,
    scheduler: LogScheduler,
}

impl CallCoordinator {
    /// Creates the state for one incarnation of an instance.
    ///
    /// `process` is a random number that distinguishes this process from any other with the same
    /// `incarnation`.
    #[must_use]
    pub fn new(
        settings: CoordinatorSettings,
        instance: InstanceId,
        incarnation: Incarnation,
        process: u64,
    ) -> Self {
        Self {
            settings,
            last_owner: Owner {
                instance,
                incarnation,
                process,
                nonce: 0,
            },
            table: CallTable::new(settings.body_memory),
            active: HashMap::new(),
            sent: HashMap::new(),
            pending_outcomes: HashMap::new(),
            lookups: Vec::new(),
            fetches: Vec::new(),
            scheduler: LogScheduler::default(),
        }
    }

    /// Returns the state of all keys, as far as the log was read.
    #[must_use]
    pub fn table(&self) -> &CallTable {
        &self.table
    }

    /// Returns whether no request or lookup waits for the log or for a service.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.active.is_empty()
            && self.pending_outcomes.is_empty()
            && self.lookups.is_empty()
            && self.fetches.is_empty()
    }

    /// Handles a request with an idempotency key.
    pub fn on_call(&mut self, now: Instant, call: KeyedCall, out: &mut Vec<CoordinatorAction>) {
        if let Err(refusal) = self.admit(now, call, out) {
            out.push(refusal);
        }
        self.start_due_io(now, out);
    }

    /// Handles a lookup of the outcome of a key.
    pub fn on_lookup(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: CallKey,
        out: &mut Vec<CoordinatorAction>,
    ) {
        if let Some(outcome) = self.final_outcome(&key) {
            out.push(lookup_action(ticket, LookupResult::Ended(outcome)));
        } else if self.lookups_unavailable(now) {
            out.push(lookup_action(
                ticket,
                LookupResult::Unavailable(self.settings.backoff),
            ));
        } else {
            let answering_read = self.scheduler.reads_started + 1;
            self.lookups.push(Lookup {
                ticket,
                key,
                since: now,
                answering_read,
            });
        }
        self.start_due_io(now, out);
    }

    /// Handles the disconnect of a caller. A call that was already sent continues, and its outcome
    /// is recorded.
    pub fn on_disconnect(&mut self, ticket: Ticket) {
        self.lookups.retain(|lookup| lookup.ticket != ticket);
        self.fetches.retain(|fetch| fetch.ticket != ticket);
        self.active.retain(|_, active| {
            active.waiters.retain(|waiter| waiter.ticket != ticket);
            active.stage == Stage::Sent || !active.waiters.is_empty()
        });
    }

    /// Handles the end of a call that was sent on [`CoordinatorAction::Send`].
    pub fn on_send_result(
        &mut self,
        now: Instant,
        nonce: u64,
        result: SendResult,
        out: &mut Vec<CoordinatorAction>,
    ) {
        let Some(key) = self.sent.remove(&nonce) else {
            return;
        };
        let Some(mut active) = self.active.remove(&key) else {
            return;
        };
        let (outcome, reply) = match result {
            SendResult::Answered(recorded) => {
                let reply = Reply::Answer(recorded.clone());
                (Outcome::Answered(recorded), reply)
            }
            SendResult::NotRun(refusal) => (Outcome::NotRun, Reply::Refuse(refusal)),
            SendResult::InDoubt(refusal) => {
                (Outcome::InDoubt(refusal.clone()), Reply::Refuse(refusal))
            }
        };
        active.reply(&reply, out);
        self.queue_outcome(active.since, key, nonce, active.hash, outcome);
        self.start_due_io(now, out);
    }

    /// Handles the passage of time: refuses expired callers and starts the append and the read that
    /// are due.
    pub fn on_tick(&mut self, now: Instant, out: &mut Vec<CoordinatorAction>) {
        let unavailable = refusals::log_unavailable(self.settings.backoff.get());
        let log_wait = self.settings.log_wait.get();
        self.active.retain(|_, active| {
            let age = now.saturating_duration_since(active.since);
            match active.stage {
                Stage::Proposed(_) if age >= log_wait => active.refuse(unavailable.clone(), out),
                Stage::Proposed(_) => expire_proposed(active, now, out),
                Stage::Waiting(until) if until <= now => {
                    active.refuse(refusals::unknown_outcome(), out);
                }
                Stage::Waiting(_) => active.expire(now, &refusals::unknown_outcome(), out),
                Stage::Sent => active.expire(now, &refusals::still_running(), out),
            }
            active.stage == Stage::Sent || !active.waiters.is_empty()
        });
        let retry = self.settings.backoff;
        self.lookups.retain(|lookup| {
            let expired = now.saturating_duration_since(lookup.since) >= log_wait;
            if expired {
                out.push(lookup_action(
                    lookup.ticket,
                    LookupResult::Unavailable(retry),
                ));
            }
            !expired
        });
        self.start_due_io(now, out);
    }

    fn admit(
        &mut self,
        now: Instant,
        call: KeyedCall,
        out: &mut Vec<CoordinatorAction>,
    ) -> Result<(), CoordinatorAction> {
        let ticket = call.ticket;
        if call.deadline <= now {
            return Err(refusal_action(ticket, refusals::deadline_passed()));
        }
        let known = self.table.entry(&call.key);
        let is_reused = known.is_some_and(|entry| entry.conflicts_with(call.hash));
        if is_reused {
            return Err(refusal_action(ticket, refusals::key_reused()));
        }
        if let Some(KeyState::Evicted(offset)) = known.map(|entry| &entry.state) {
            let fetch = Fetch {
                offset: *offset,
                ticket,
                is_lookup: false,
            };
            return self
                .queue_fetch(fetch)
                .map_err(|()| refusal_action(ticket, refusals::too_many_waiters()));
        }
        if let Some(outcome) = self.final_outcome(&call.key) {
            let reply = reply_of(outcome);
            out.push(CoordinatorAction::Reply { ticket, reply });
            return Ok(());
        }
        self.join_or_start(now, call)
            .map_err(|refusal| refusal_action(ticket, refusal))
    }

    fn join_or_start(&mut self, now: Instant, call: KeyedCall) -> Result<(), Refusal> {
        let waiter = Waiter {
            ticket: call.ticket,
            deadline: call.deadline,
        };
        if let Some(active) = self.active.get_mut(&call.key) {
            if active.hash != call.hash {
                return Err(refusals::key_reused());
            }
            if active.waiters.len() >= self.settings.max_waiters {
                return Err(refusals::too_many_waiters());
            }
            active.waiters.push(waiter);
            return Ok(());
        }
        if self.active.len() + self.pending_outcomes.len() >= self.settings.max_calls {
            return Err(refusals::too_many_calls());
        }
        let stage = match self.table.state(&call.key) {
            Some(KeyState::Intended(_)) => Stage::Waiting(now + self.settings.outcome_wait.get()),
            known => {
                if known.is_none() {
                    self.check_age(call.age)?;
                }
                self.propose(now)?
            }
        };
        let nonce = self.next_nonce();
        let active = ActiveCall {
            nonce,
            hash: call.hash,
            since: now,
            stage,
            waiters: vec![waiter],
        };
        self.active.insert(call.key, active);
        Ok(())
    }

    fn lookups_unavailable(&self, now: Instant) -> bool {
        self.lookups.len() >= self.settings.max_calls
            || self
                .scheduler
                .is_failing_for(now, self.settings.log_wait.get())
    }

    fn propose(&self, now: Instant) -> Result<Stage, Refusal> {
        if self
            .scheduler
            .is_failing_for(now, self.settings.log_wait.get())
        {
            return Err(refusals::log_unavailable(self.settings.backoff.get()));
        }
        if self.table.len() >= self.settings.max_keys {
            return Err(refusals::too_many_keys());
        }
        Ok(Stage::Proposed(AppendState::Pending))
    }

    /// Refuses a key without records if the log may have dropped them.
    fn check_age(&self, age: Option<Duration>) -> Result<(), Refusal> {
        match age {
            Some(age) if age >= self.settings.key_retention.get() => Err(refusals::key_too_old()),
            None if self.settings.require_timestamp => Err(refusals::key_without_timestamp()),
            _ => Ok(()),
        }
    }

    /// Returns the final outcome of a key if it is in memory.
    fn final_outcome(&self, key: &CallKey) -> Option<Outcome> {
        if let Some(KeyState::Done(_, outcome)) = self.table.state(key) {
            return Some(outcome.clone());
        }
        let pending = self.pending_outcomes.get(key)?;
        pending
            .iter()
            .map(|pending| &pending.outcome)
            .find(|outcome| **outcome != Outcome::NotRun)
            .cloned()
    }

    fn queue_fetch(&mut self, fetch: Fetch) -> Result<(), ()> {
        if self.fetches.len() >= self.settings.max_calls {
            return Err(());
        }
        self.fetches.push(fetch);
        Ok(())
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_owner.nonce += 1;
        self.last_owner.nonce
    }

    fn owner(&self, nonce: u64) -> Owner {
        Owner {
            nonce,
            ..self.last_owner.clone()
        }
    }

    fn is_own(&self, owner: &Owner) -> bool {
        *owner == self.owner(owner.nonce)
    }
}

/// Refuses the callers of an unsent call whose deadlines have passed: as `not_run` only if no other
/// caller remains for whom the call may still be sent.
fn expire_proposed(active: &mut ActiveCall, now: Instant, out: &mut Vec<CoordinatorAction>) {
    let continues = active.waiters.iter().any(|w| w.deadline > now);
    let refusal = if continues {
        refusals::still_running()
    } else {
        refusals::deadline_passed()
    };
    active.expire(now, &refusal, out);
}

/// Returns whether it is too late to send a call.
fn is_too_late(active: &ActiveCall, now: Instant, settings: &CoordinatorSettings) -> bool {
    let age = now.saturating_duration_since(active.since);
    age >= settings.send_window.get() || active.waiters.iter().all(|w| w.deadline <= now)
}
