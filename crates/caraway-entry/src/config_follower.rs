//! The log thread: follows the operators' configuration records, from the platform's log and from
//! peers, and puts the resulting configuration in force.

use std::sync::Arc;

use caraway_records::{
    Follower, FollowerInput, FollowerOutput, FollowerSettings, LogPage, LogRecord, Offer,
    PeerAnswer, State,
};
use caraway_ring::Receiver;
use caraway_types::{InstanceId, Offset};
use caraway_wire::{
    CallError, HttpClient, LogClient, PeerClient,
    log::{CONFIG_STREAM, Page},
};
use ntex::{rt::spawn, util::Bytes};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    config_events,
    events::emit,
    shared::{ControlMessage, Shared},
};

/// Capacity of the channel for results of calls to the log and peers.
const RESULT_CAPACITY: usize = 8;

/// A message to the log thread.
#[derive(Debug)]
pub(crate) enum FollowerMessage {
    /// A peer's gossip says which configuration it has.
    Offer(InstanceId, Offer),
    /// A peer requests records; the reply is an encoded [`PeerAnswer`].
    Request(RecordsRequest, oneshot::Sender<Bytes>),
}

/// A request for a peer's configuration records, as sent between instances.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct RecordsRequest {
    /// Offset of the first record that the sender lacks.
    pub(crate) from: Offset,
}

/// The log thread's state.
struct FollowerThread {
    shared: Arc<Shared>,
    http: HttpClient,
    log: LogClient,
    settings: FollowerSettings,
    follower: Follower,
    config_sender: watch::Sender<Arc<State>>,
    result_sender: mpsc::Sender<FollowerInput>,
    reachable: bool,
    /// Next offset of the configuration that was last sent to the control thread.
    sent_next: Offset,
}

/// Follows the configuration records until the control thread ends.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inbox: Receiver<FollowerMessage>,
    config_sender: watch::Sender<Arc<State>>,
) -> Result<(), CallError> {
    let (result_sender, mut results) = mpsc::channel(RESULT_CAPACITY);
    let mut thread = FollowerThread::new(shared, config_sender, result_sender).await?;
    let mut tick = interval(thread.shared.settings.times.tick_ms.get());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !thread.shared.rings.control.is_closed() {
        tokio::select! {
            _ = tick.tick() => thread.handle(FollowerInput::Tick),
            Some(result) = results.recv() => thread.on_results(result, &mut results),
            message = inbox.recv() => match message {
                Some(message) => thread.on_message(message),
                None => return Ok(()),
            },
        }
    }
    Ok(())
}

impl FollowerThread {
    async fn new(
        shared: Arc<Shared>,
        config_sender: watch::Sender<Arc<State>>,
        result_sender: mpsc::Sender<FollowerInput>,
    ) -> Result<Self, CallError> {
        let http = HttpClient::new().await?;
        let settings = FollowerSettings {
            poll_ms: shared.settings.times.follow_ms,
            ..shared.settings.config.clone()
        };
        let timeout = settings.request_ms.get();
        let now = Instant::now().into_std();
        Ok(Self {
            log: LogClient::new(http.clone(), shared.settings.log, timeout),
            follower: Follower::new(&shared.settings.instance, settings.clone(), now),
            http,
            settings,
            shared,
            config_sender,
            result_sender,
            reachable: true,
            sent_next: 0,
        })
    }

    /// Handles a message from the http thread.
    fn on_message(&mut self, message: FollowerMessage) {
        match message {
            FollowerMessage::Offer(peer, offer) => self.handle(FollowerInput::Offer(peer, offer)),
            FollowerMessage::Request(request, reply) => {
                let answer = self.follower.answer(request.from);
                let answer = PeerClient::encode(&answer).unwrap_or_default();
                let metrics = &self.shared.metrics;
                metrics.record_control_bytes("records_sent", answer.len());
                let _ = reply.send(answer);
            }
        }
    }

    /// Handles the result of a call to the log or a peer, and all further results already queued.
    fn on_results(&mut self, result: FollowerInput, results: &mut mpsc::Receiver<FollowerInput>) {
        self.log_reachability(&result);
        self.handle(result);
        while let Ok(result) = results.try_recv() {
            self.log_reachability(&result);
            self.handle(result);
        }
    }

    /// Logs when the platform's log becomes unreachable or reachable again.
    fn log_reachability(&mut self, result: &FollowerInput) {
        let reachable = match result {
            FollowerInput::Page(_) => true,
            FollowerInput::LogFailed => false,
            _ => return,
        };
        match (self.reachable, reachable) {
            (true, false) => emit!(self.shared.log, warn, LogUnreachable),
            (false, true) => emit!(self.shared.log, info, LogReachable),
            _ => {}
        }
        self.reachable = reachable;
    }

    fn handle(&mut self, input: FollowerInput) {
        let mut out = Vec::new();
        let now = Instant::now().into_std();
        self.follower.handle(now, input, &mut out);
        for output in out {
            self.execute(output);
        }
        self.publish_config();
    }

    fn execute(&self, output: FollowerOutput) {
        match output {
            FollowerOutput::ReadLog { from, max } => {
                spawn(read_log(
                    self.log.clone(),
                    from,
                    max,
                    self.result_sender.clone(),
                ));
            }
            FollowerOutput::FetchFromPeer { peer, from } => {
                let client = self.shared.peer_addr(&peer);
                let client = client.map(|addr| PeerClient::new(self.http.clone(), addr));
                let timeout = self.settings.request_ms.get();
                let result_sender = self.result_sender.clone();
                spawn(async move {
                    let answer = match client {
                        Some(client) => {
                            request_records(client, RecordsRequest { from }, timeout).await
                        }
                        None => None,
                    };
                    let _ = result_sender
                        .send(FollowerInput::Answer(peer, answer))
                        .await;
                });
            }
            FollowerOutput::Append(records) => {
                let (log, result_sender) = (self.log.clone(), self.result_sender.clone());
                spawn(async move {
                    let done = log.append(CONFIG_STREAM, records).await.is_ok();
                    let _ = result_sender.send(FollowerInput::Appended(done)).await;
                });
            }
            output => {
                config_events::log_output(&self.shared.log, self.follower.is_ready(), &output);
            }
        }
    }

    /// Publishes the configuration if it has advanced and the follower has caught up.
    ///
    /// When the control thread's ring is full, the next input to this thread retries.
    fn publish_config(&mut self) {
        let state = self.follower.state();
        let next = state.next();
        if !self.follower.is_ready() || next <= self.sent_next {
            return;
        }
        self.config_sender.send_replace(Arc::clone(state));
        let message = ControlMessage::Config(Arc::clone(state));
        if self.shared.rings.control.push(message).is_ok() {
            self.sent_next = next;
        } else {
            emit!(self.shared.log, warn, RingFull; "ring" => "control");
        }
    }
}

/// Reads a page of configuration records from the log.
async fn read_log(
    log: LogClient,
    from: Offset,
    max: u32,
    result_sender: mpsc::Sender<FollowerInput>,
) {
    let result = match log.read(CONFIG_STREAM, from, max).await {
        Ok(page) => FollowerInput::Page(log_page(page)),
        Err(_) => FollowerInput::LogFailed,
    };
    let _ = result_sender.send(result).await;
}

/// Requests records from a peer. Returns `None` when the call fails.
async fn request_records(
    client: PeerClient,
    request: RecordsRequest,
    timeout: std::time::Duration,
) -> Option<PeerAnswer> {
    let message = PeerClient::encode(&request).ok()?;
    client.exchange("records", message, timeout).await.ok()
}

fn log_page(page: Page) -> LogPage {
    let record = |r: caraway_wire::log::Entry| LogRecord {
        offset: r.offset,
        data: r.data,
    };
    LogPage {
        oldest: page.oldest,
        end: page.end,
        records: page.records.into_iter().map(record).collect(),
    }
}
