//! [`Once`] coordinates calls with an idempotency key, so that each runs at most once.

mod event;
mod log_pace;
mod post;
mod refusals;
mod settings;
mod settle;
mod state;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{Incarnation, InstanceId, Refusal, Ticket};

pub use event::{Appending, Ended, Found, KeyedCall, LogPage, LogRecord, OnceAction, Reply};
pub use settings::OnceSettings;

use crate::{CallFold, CallKey, Known, Outcome, Owner};
use log_pace::LogPace;
use state::{Active, Closing, Fetch, Lookup, Post, Sending, Stage, found, refuse, reply_of};

/// Runs each keyed call at most once across all instances, coordinated through the platform's log.
///
/// The instance that receives a call appends an intent to the `calls` stream and reads it back. The
/// first intent of a key wins, and only its owner sends the call, in the same incarnation and
/// within the send window. The outcome is appended afterwards, so that a request with the same key
/// on any instance gets the recorded answer or `in_doubt`. Appending a record twice has no effect,
/// because it names its owner and nonce.
#[derive(Debug)]
pub struct Once {
    settings: OnceSettings,
    me: Owner,
    fold: CallFold,
    active: HashMap<CallKey, Active>,
    sent: HashMap<u64, CallKey>,
    closing: HashMap<CallKey, Vec<Closing>>,
    lookups: Vec<Lookup>,
    fetches: Vec<Fetch>,
    pace: LogPace,
}

impl Once {
    /// Creates the state for one incarnation of an instance.
    ///
    /// `process` is a random number that distinguishes this process from any other with the same
    /// `incarnation`.
    #[must_use]
    pub fn new(
        settings: OnceSettings,
        instance: InstanceId,
        incarnation: Incarnation,
        process: u64,
    ) -> Self {
        Self {
            settings,
            me: Owner {
                instance,
                incarnation,
                process,
                nonce: 0,
            },
            fold: CallFold::new(settings.body_memory),
            active: HashMap::new(),
            sent: HashMap::new(),
            closing: HashMap::new(),
            lookups: Vec::new(),
            fetches: Vec::new(),
            pace: LogPace::default(),
        }
    }

    /// Returns the state of all keys, as far as the log was read.
    #[must_use]
    pub fn fold(&self) -> &CallFold {
        &self.fold
    }

    /// Returns whether no request or lookup waits for the log or for a service.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.active.is_empty()
            && self.closing.is_empty()
            && self.lookups.is_empty()
            && self.fetches.is_empty()
    }

    /// Handles a request with an idempotency key.
    pub fn on_call(&mut self, now: Instant, call: KeyedCall, out: &mut Vec<OnceAction>) {
        if let Err(refusal) = self.admit(now, call, out) {
            out.push(refusal);
        }
        self.pump(now, out);
    }

    /// Handles a lookup of the outcome of a key.
    pub fn on_lookup(
        &mut self,
        now: Instant,
        ticket: Ticket,
        key: CallKey,
        out: &mut Vec<OnceAction>,
    ) {
        if let Some(outcome) = self.ended_here(&key) {
            out.push(found(ticket, Found::Ended(outcome)));
        } else if self.cannot_look_up(now) {
            out.push(found(ticket, Found::Unavailable(self.settings.backoff)));
        } else {
            let barrier = self.pace.reads + 1;
            self.lookups.push(Lookup {
                ticket,
                key,
                since: now,
                barrier,
            });
        }
        self.pump(now, out);
    }

    /// Handles the disconnect of a caller. A call that was already sent continues, and its outcome
    /// is recorded.
    pub fn on_gone(&mut self, ticket: Ticket) {
        self.lookups.retain(|lookup| lookup.ticket != ticket);
        self.fetches.retain(|fetch| fetch.ticket != ticket);
        self.active.retain(|_, active| {
            active.sendings.retain(|sending| sending.ticket != ticket);
            active.stage == Stage::Sent || !active.sendings.is_empty()
        });
    }

    /// Handles the end of a call that was sent on [`OnceAction::Send`].
    pub fn on_ended(&mut self, now: Instant, nonce: u64, ended: Ended, out: &mut Vec<OnceAction>) {
        let Some(key) = self.sent.remove(&nonce) else {
            return;
        };
        let Some(mut active) = self.active.remove(&key) else {
            return;
        };
        let (outcome, reply) = match ended {
            Ended::Answered(recorded) => {
                let reply = Reply::Answer(recorded.clone());
                (Outcome::Answered(recorded), reply)
            }
            Ended::NotRun(refusal) => (Outcome::NotRun, Reply::Refuse(refusal)),
            Ended::InDoubt(refusal) => (Outcome::InDoubt(refusal.clone()), Reply::Refuse(refusal)),
        };
        active.reply(&reply, out);
        self.close(active.since, key, nonce, active.hash, outcome);
        self.pump(now, out);
    }

    /// Handles the passage of time: refuses expired callers and starts the append and the read that
    /// are due.
    pub fn on_tick(&mut self, now: Instant, out: &mut Vec<OnceAction>) {
        let down = refusals::no_log(self.settings.backoff.get());
        let log_wait = self.settings.log_wait.get();
        self.active.retain(|_, active| {
            let age = now.saturating_duration_since(active.since);
            match active.stage {
                Stage::Proposed(_) if age >= log_wait => active.refuse(down.clone(), out),
                Stage::Proposed(_) => expire_proposed(active, now, out),
                Stage::Waiting(until) if until <= now => {
                    active.refuse(refusals::unknown_outcome(), out);
                }
                Stage::Waiting(_) => active.expire(now, &refusals::unknown_outcome(), out),
                Stage::Sent => active.expire(now, &refusals::still_running(), out),
            }
            active.stage == Stage::Sent || !active.sendings.is_empty()
        });
        let retry = self.settings.backoff;
        self.lookups.retain(|lookup| {
            let late = now.saturating_duration_since(lookup.since) >= log_wait;
            if late {
                out.push(found(lookup.ticket, Found::Unavailable(retry)));
            }
            !late
        });
        self.pump(now, out);
    }

    fn admit(
        &mut self,
        now: Instant,
        call: KeyedCall,
        out: &mut Vec<OnceAction>,
    ) -> Result<(), OnceAction> {
        let ticket = call.ticket;
        if call.deadline <= now {
            return Err(refuse(ticket, refusals::deadline()));
        }
        let known = self.fold.entry(&call.key);
        let is_reused = known.is_some_and(|entry| entry.stands_for_another(call.hash));
        if is_reused {
            return Err(refuse(ticket, refusals::key_reused()));
        }
        if let Some(Known::Evicted(offset)) = known.map(|entry| &entry.known) {
            let fetch = Fetch {
                offset: *offset,
                ticket,
                is_lookup: false,
            };
            return self
                .fetch(fetch)
                .map_err(|()| refuse(ticket, refusals::too_many_joined()));
        }
        if let Some(outcome) = self.ended_here(&call.key) {
            let reply = reply_of(outcome);
            out.push(OnceAction::Reply { ticket, reply });
            return Ok(());
        }
        self.join_or_begin(now, call)
            .map_err(|refusal| refuse(ticket, refusal))
    }

    fn join_or_begin(&mut self, now: Instant, call: KeyedCall) -> Result<(), Refusal> {
        let sending = Sending {
            ticket: call.ticket,
            deadline: call.deadline,
        };
        if let Some(active) = self.active.get_mut(&call.key) {
            if active.hash != call.hash {
                return Err(refusals::key_reused());
            }
            if active.sendings.len() >= self.settings.joined {
                return Err(refusals::too_many_joined());
            }
            active.sendings.push(sending);
            return Ok(());
        }
        if self.active.len() + self.closing.len() >= self.settings.calls {
            return Err(refusals::too_many_calls());
        }
        let stage = match self.fold.known(&call.key) {
            Some(Known::Intended(_)) => Stage::Waiting(now + self.settings.outcome_wait.get()),
            known => {
                if known.is_none() {
                    self.check_age(call.age)?;
                }
                self.propose(now)?
            }
        };
        let nonce = self.next_nonce();
        let active = Active {
            nonce,
            hash: call.hash,
            since: now,
            stage,
            sendings: vec![sending],
        };
        self.active.insert(call.key, active);
        Ok(())
    }

    fn cannot_look_up(&self, now: Instant) -> bool {
        self.lookups.len() >= self.settings.calls
            || self.pace.is_down(now, self.settings.log_wait.get())
    }

    fn propose(&self, now: Instant) -> Result<Stage, Refusal> {
        if self.pace.is_down(now, self.settings.log_wait.get()) {
            return Err(refusals::no_log(self.settings.backoff.get()));
        }
        if self.fold.len() >= self.settings.keys {
            return Err(refusals::too_many_keys());
        }
        Ok(Stage::Proposed(Post::Wanted))
    }

    /// Refuses a key without records if the log may have dropped them.
    fn check_age(&self, age: Option<Duration>) -> Result<(), Refusal> {
        match age {
            Some(age) if age >= self.settings.key_life.get() => Err(refusals::too_old()),
            None if self.settings.dated_keys => Err(refusals::undated()),
            _ => Ok(()),
        }
    }

    /// Returns the final outcome of a key if it is in memory.
    fn ended_here(&self, key: &CallKey) -> Option<Outcome> {
        if let Some(Known::Done(_, outcome)) = self.fold.known(key) {
            return Some(outcome.clone());
        }
        let closing = self.closing.get(key)?;
        closing
            .iter()
            .map(|closing| &closing.outcome)
            .find(|outcome| **outcome != Outcome::NotRun)
            .cloned()
    }

    fn fetch(&mut self, fetch: Fetch) -> Result<(), ()> {
        if self.fetches.len() >= self.settings.calls {
            return Err(());
        }
        self.fetches.push(fetch);
        Ok(())
    }

    fn next_nonce(&mut self) -> u64 {
        self.me.nonce += 1;
        self.me.nonce
    }

    fn owner(&self, nonce: u64) -> Owner {
        Owner {
            nonce,
            ..self.me.clone()
        }
    }

    fn is_mine(&self, owner: &Owner) -> bool {
        *owner == self.owner(owner.nonce)
    }
}

/// Refuses the callers of an unsent call whose deadlines have passed: as `not_run` only if no other
/// caller remains for whom the call may still be sent.
fn expire_proposed(active: &mut Active, now: Instant, out: &mut Vec<OnceAction>) {
    let goes_on = active.sendings.iter().any(|s| s.deadline > now);
    let refusal = if goes_on {
        refusals::still_running()
    } else {
        refusals::deadline()
    };
    active.expire(now, &refusal, out);
}

/// Returns whether it is too late to send a call.
fn lapsed(active: &Active, now: Instant, settings: &OnceSettings) -> bool {
    let age = now.saturating_duration_since(active.since);
    age >= settings.send_window.get() || active.sendings.iter().all(|s| s.deadline <= now)
}
