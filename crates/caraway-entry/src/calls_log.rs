//! The calls thread: coordinates keyed calls through the platform's log, so that none runs twice.

use std::{
    collections::HashMap,
    hash::{BuildHasher, RandomState},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use caraway_calls::{
    AppendResult, CallCoordinator, CallKey, CoordinatorAction, KeyedCall, LogPage, LogRecord,
    LookupResult, Reply, SendResult,
};
use caraway_ring::Receiver;
use caraway_types::Ticket;
use caraway_wire::{
    CallError, HttpClient, LogClient,
    log::{CALLS_STREAM, Page},
};
use ntex::rt::spawn;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

use crate::shared::Shared;

/// Interval of the coordinator's tick while calls are pending.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Interval of the coordinator's tick otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Most events that a caller gets: one [`CallEvent::Send`] and one [`CallEvent::Reply`].
pub(crate) const CALL_EVENTS: usize = 2;

/// A message to the calls thread.
#[derive(Debug)]
pub(crate) enum CallsMessage {
    /// A caller makes a keyed call; its events go to the sender.
    Call(KeyedCall, mpsc::Sender<CallEvent>),
    /// A call that was sent after [`CallEvent::Send`] has ended; the number is its nonce.
    Ended(u64, SendResult),
    /// The caller of a call or lookup has disconnected.
    Gone(Ticket),
    /// A caller requests the outcome of an earlier call.
    Lookup(Ticket, CallKey, oneshot::Sender<LookupResult>),
    /// Ends the thread.
    Stop,
}

/// An event for the handler of a keyed call.
#[derive(Debug)]
pub(crate) enum CallEvent {
    /// Send the call to the service now.
    Send {
        /// Identifies the call in [`CallsMessage::Ended`].
        nonce: u64,
        /// Latest time to write the request; one not written by then must end as not run.
        until: std::time::Instant,
    },
    /// The final answer to the caller.
    Reply(Reply),
}

/// The result of a call to the platform's log; `Read(None)` when the read failed.
enum LogAnswer {
    Appended(AppendResult),
    Read(Option<LogPage>),
}

/// The calls thread's state.
struct CallsThread {
    shared: Arc<Shared>,
    once: CallCoordinator,
    log: LogClient,
    answers: mpsc::UnboundedSender<LogAnswer>,
    callers: HashMap<Ticket, mpsc::Sender<CallEvent>>,
    askers: HashMap<Ticket, oneshot::Sender<LookupResult>>,
}

/// Coordinates calls until [`CallsMessage::Stop`] arrives or the ring is closed.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inbox: Receiver<CallsMessage>,
) -> Result<(), CallError> {
    let limit = shared.settings.times.control_ms.get();
    let log = LogClient::new(HttpClient::new().await?, shared.settings.log, limit);
    // At most one append and one read are in flight, so this channel holds at most two results.
    let (answers, mut answered) = mpsc::unbounded_channel();
    let mut thread = CallsThread {
        once: CallCoordinator::new(
            shared.settings.calls,
            Arc::clone(&shared.settings.instance),
            shared.incarnation,
            RandomState::new().hash_one(shared.incarnation),
        ),
        shared,
        log,
        answers,
        callers: HashMap::new(),
        askers: HashMap::new(),
    };
    loop {
        let idle = thread.once.is_idle();
        thread.shared.calls_open.store(!idle, Ordering::Release);
        let tick = if idle { IDLE_TICK } else { BUSY_TICK };
        let mut out = Vec::new();
        tokio::select! {
            message = inbox.recv() => match message {
                None | Some(CallsMessage::Stop) => return Ok(()),
                Some(message) => thread.take(message, &mut out),
            },
            Some(answer) = answered.recv() => thread.heard(answer, &mut out),
            () = sleep(tick) => thread.once.on_tick(now(), &mut out),
        }
        thread.carry_out(out);
    }
}

impl CallsThread {
    fn take(&mut self, message: CallsMessage, out: &mut Vec<CoordinatorAction>) {
        match message {
            CallsMessage::Call(call, caller) => {
                self.callers.insert(call.ticket, caller);
                self.once.on_call(now(), call, out);
            }
            CallsMessage::Ended(nonce, ended) => self.once.on_send_result(now(), nonce, ended, out),
            CallsMessage::Gone(ticket) => {
                self.callers.remove(&ticket);
                self.askers.remove(&ticket);
                self.once.on_disconnect(ticket);
            }
            CallsMessage::Lookup(ticket, key, asker) => {
                self.askers.insert(ticket, asker);
                self.once.on_lookup(now(), ticket, key, out);
            }
            CallsMessage::Stop => {}
        }
    }

    fn heard(&mut self, answer: LogAnswer, out: &mut Vec<CoordinatorAction>) {
        match answer {
            LogAnswer::Appended(ended) => self.once.on_append(now(), ended, out),
            LogAnswer::Read(Some(page)) => self.once.on_page(now(), &page, out),
            LogAnswer::Read(None) => self.once.on_read_failed(now(), out),
        }
    }

    fn carry_out(&mut self, mut actions: Vec<CoordinatorAction>) {
        while !actions.is_empty() {
            let mut more = Vec::new();
            for action in actions {
                self.act(action, &mut more);
            }
            actions = more;
        }
    }

    fn act(&mut self, action: CoordinatorAction, more: &mut Vec<CoordinatorAction>) {
        match action {
            CoordinatorAction::Append(records) => {
                let (log, answers) = (self.log.clone(), self.answers.clone());
                spawn(async move {
                    let ended = appended(log.append(CALLS_STREAM, records).await);
                    let _ = answers.send(LogAnswer::Appended(ended));
                });
            }
            CoordinatorAction::Read { from, max } => {
                let (log, answers) = (self.log.clone(), self.answers.clone());
                spawn(async move {
                    let page = log.read(CALLS_STREAM, from, max).await.ok().map(page);
                    let _ = answers.send(LogAnswer::Read(page));
                });
            }
            CoordinatorAction::Send {
                ticket,
                nonce,
                until,
            } => self.hand_out(ticket, nonce, until, more),
            CoordinatorAction::Reply { ticket, reply } => {
                if let Some(caller) = self.callers.remove(&ticket) {
                    let _ = caller.try_send(CallEvent::Reply(reply));
                }
            }
            CoordinatorAction::AnswerLookup { ticket, result } => {
                if let Some(asker) = self.askers.remove(&ticket) {
                    let _ = asker.send(result);
                }
            }
        }
    }

    /// Lets the caller's handler send the call. When the handler is gone, ends the call as not run,
    /// since nothing was sent.
    fn hand_out(
        &mut self,
        ticket: Ticket,
        nonce: u64,
        until: std::time::Instant,
        more: &mut Vec<CoordinatorAction>,
    ) {
        let event = CallEvent::Send { nonce, until };
        let caller = self.callers.get(&ticket);
        let taken = caller.is_some_and(|caller| caller.try_send(event).is_ok());
        if !taken {
            let refusal = caraway_types::Refusal::not_run(
                caraway_types::Reason::Deadline,
                "the caller left before the call was sent",
            );
            self.once
                .on_send_result(now(), nonce, SendResult::NotRun(refusal), more);
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

fn appended(result: Result<caraway_wire::log::Appended, CallError>) -> AppendResult {
    match result {
        Ok(appended) => AppendResult::Done(appended.next),
        Err(error) if error.not_sent() => AppendResult::Failed,
        Err(_) => AppendResult::Unknown,
    }
}

fn page(page: Page) -> LogPage {
    let records = page.records.into_iter();
    LogPage {
        oldest: page.oldest,
        end: page.end,
        records: records
            .map(|entry| LogRecord {
                offset: entry.offset,
                data: entry.data,
            })
            .collect(),
    }
}
