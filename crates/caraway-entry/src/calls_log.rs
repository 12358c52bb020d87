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
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval of the coordinator's tick otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of a call's event channel: its handler gets at most one [`CallEvent::Send`] and one
/// [`CallEvent::Reply`].
pub(crate) const CALL_EVENT_CAPACITY: usize = 2;

/// A message to the calls thread.
#[derive(Debug)]
pub(crate) enum CallsMessage {
    /// A caller makes a keyed call; its events go to the sender.
    Call(KeyedCall, mpsc::Sender<CallEvent>),
    /// A call that was sent after [`CallEvent::Send`] has ended; the number is its nonce.
    SendEnded(u64, SendResult),
    /// The caller of a call or lookup has disconnected.
    Disconnected(Ticket),
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
        /// Identifies the call in [`CallsMessage::SendEnded`].
        nonce: u64,
        /// Latest time to write the request; one not written by then must end as not run.
        until: std::time::Instant,
    },
    /// The final answer to the caller.
    Reply(Reply),
}

/// The result of a call to the platform's log; `Read(None)` when the read failed.
enum LogResult {
    Appended(AppendResult),
    Read(Option<LogPage>),
}

/// The calls thread's state.
struct CallsThread {
    shared: Arc<Shared>,
    coordinator: CallCoordinator,
    log: LogClient,
    result_sender: mpsc::UnboundedSender<LogResult>,
    callers: HashMap<Ticket, mpsc::Sender<CallEvent>>,
    lookups: HashMap<Ticket, oneshot::Sender<LookupResult>>,
}

/// Coordinates calls until [`CallsMessage::Stop`] arrives or the ring is closed.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inbox: Receiver<CallsMessage>,
) -> Result<(), CallError> {
    let timeout = shared.settings.times.control_ms.get();
    let log = LogClient::new(HttpClient::new().await?, shared.settings.log, timeout);
    // At most one append and one read are in flight, so this channel holds at most two results.
    let (result_sender, mut results) = mpsc::unbounded_channel();
    let mut thread = CallsThread {
        coordinator: CallCoordinator::new(
            shared.settings.calls,
            Arc::clone(&shared.settings.instance),
            shared.incarnation,
            RandomState::new().hash_one(shared.incarnation),
        ),
        shared,
        log,
        result_sender,
        callers: HashMap::new(),
        lookups: HashMap::new(),
    };
    loop {
        let idle = thread.coordinator.is_idle();
        thread.shared.calls_pending.store(!idle, Ordering::Release);
        let tick = if idle {
            IDLE_TICK_INTERVAL
        } else {
            BUSY_TICK_INTERVAL
        };
        let mut out = Vec::new();
        tokio::select! {
            message = inbox.recv() => match message {
                None | Some(CallsMessage::Stop) => return Ok(()),
                Some(message) => thread.on_message(message, &mut out),
            },
            Some(result) = results.recv() => thread.on_log_result(result, &mut out),
            () = sleep(tick) => thread.coordinator.on_tick(now(), &mut out),
        }
        thread.execute_all(out);
    }
}

impl CallsThread {
    fn on_message(&mut self, message: CallsMessage, out: &mut Vec<CoordinatorAction>) {
        match message {
            CallsMessage::Call(call, caller) => {
                self.callers.insert(call.ticket, caller);
                self.coordinator.on_call(now(), call, out);
            }
            CallsMessage::SendEnded(nonce, result) => {
                self.coordinator.on_send_result(now(), nonce, result, out);
            }
            CallsMessage::Disconnected(ticket) => {
                self.callers.remove(&ticket);
                self.lookups.remove(&ticket);
                self.coordinator.on_disconnect(ticket);
            }
            CallsMessage::Lookup(ticket, key, reply) => {
                self.lookups.insert(ticket, reply);
                self.coordinator.on_lookup(now(), ticket, key, out);
            }
            CallsMessage::Stop => {}
        }
    }

    fn on_log_result(&mut self, result: LogResult, out: &mut Vec<CoordinatorAction>) {
        match result {
            LogResult::Appended(result) => self.coordinator.on_append(now(), result, out),
            LogResult::Read(Some(page)) => self.coordinator.on_page(now(), &page, out),
            LogResult::Read(None) => self.coordinator.on_read_failed(now(), out),
        }
    }

    fn execute_all(&mut self, mut actions: Vec<CoordinatorAction>) {
        while !actions.is_empty() {
            let mut more = Vec::new();
            for action in actions {
                self.execute(action, &mut more);
            }
            actions = more;
        }
    }

    fn execute(&mut self, action: CoordinatorAction, more: &mut Vec<CoordinatorAction>) {
        match action {
            CoordinatorAction::Append(records) => {
                let (log, result_sender) = (self.log.clone(), self.result_sender.clone());
                spawn(async move {
                    let result = append_result(log.append(CALLS_STREAM, records).await);
                    let _ = result_sender.send(LogResult::Appended(result));
                });
            }
            CoordinatorAction::Read { from, max } => {
                let (log, result_sender) = (self.log.clone(), self.result_sender.clone());
                spawn(async move {
                    let page = log.read(CALLS_STREAM, from, max).await.ok().map(log_page);
                    let _ = result_sender.send(LogResult::Read(page));
                });
            }
            CoordinatorAction::Send {
                ticket,
                nonce,
                until,
            } => self.dispatch_send(ticket, nonce, until, more),
            CoordinatorAction::Reply { ticket, reply } => {
                if let Some(caller) = self.callers.remove(&ticket) {
                    let _ = caller.try_send(CallEvent::Reply(reply));
                }
            }
            CoordinatorAction::AnswerLookup { ticket, result } => {
                if let Some(reply) = self.lookups.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
        }
    }

    /// Lets the caller's handler send the call. When the handler is gone, ends the call as not run,
    /// since nothing was sent.
    fn dispatch_send(
        &mut self,
        ticket: Ticket,
        nonce: u64,
        until: std::time::Instant,
        more: &mut Vec<CoordinatorAction>,
    ) {
        let event = CallEvent::Send { nonce, until };
        let caller = self.callers.get(&ticket);
        let delivered = caller.is_some_and(|caller| caller.try_send(event).is_ok());
        if !delivered {
            let refusal = caraway_types::Refusal::not_run(
                caraway_types::Reason::Deadline,
                "the caller left before the call was sent",
            );
            self.coordinator
                .on_send_result(now(), nonce, SendResult::NotRun(refusal), more);
        }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

fn append_result(result: Result<caraway_wire::log::Appended, CallError>) -> AppendResult {
    match result {
        Ok(appended) => AppendResult::Done(appended.next),
        Err(error) if error.not_sent() => AppendResult::Failed,
        Err(_) => AppendResult::Unknown,
    }
}

fn log_page(page: Page) -> LogPage {
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
