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
    sync::{
        mpsc::{Receiver as Ended, Sender as Ends, channel},
        oneshot, watch,
    },
    time::{Instant, MissedTickBehavior, interval},
};

use crate::{
    events::emit,
    follow_events,
    shared::{Control, Shared},
};

/// Capacity of the channel for results of calls to the log and peers.
const CALLS: usize = 8;

/// A message to the log thread.
#[derive(Debug)]
pub(crate) enum Follow {
    /// A peer's gossip says which configuration it has.
    Offer(InstanceId, Offer),
    /// A peer requests records; the reply is an encoded [`PeerAnswer`].
    Ask(PeerAsk, oneshot::Sender<Bytes>),
}

/// A request for a peer's configuration records, as sent between instances.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PeerAsk {
    /// Offset of the first record that the sender lacks.
    pub(crate) from: Offset,
}

/// The log thread's state.
struct FollowThread {
    shared: Arc<Shared>,
    http: HttpClient,
    log: LogClient,
    settings: FollowerSettings,
    follower: Follower,
    publish: watch::Sender<Arc<State>>,
    ends: Ends<FollowerInput>,
    reachable: bool,
    /// Next offset of the configuration that was last sent to the control thread.
    told: Offset,
}

/// Follows the configuration records until the control thread ends.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inbox: Receiver<Follow>,
    publish: watch::Sender<Arc<State>>,
) -> Result<(), CallError> {
    let (ends, mut ended) = channel(CALLS);
    let mut thread = FollowThread::new(shared, publish, ends).await?;
    let mut tick = interval(thread.shared.settings.times.tick_ms.get());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !thread.shared.rings.control.is_closed() {
        tokio::select! {
            _ = tick.tick() => thread.handle(FollowerInput::Tick),
            Some(end) = ended.recv() => thread.take(end, &mut ended),
            message = inbox.recv() => match message {
                Some(message) => thread.hear(message),
                None => return Ok(()),
            },
        }
    }
    Ok(())
}

impl FollowThread {
    async fn new(
        shared: Arc<Shared>,
        publish: watch::Sender<Arc<State>>,
        ends: Ends<FollowerInput>,
    ) -> Result<Self, CallError> {
        let http = HttpClient::new().await?;
        let settings = FollowerSettings {
            poll_ms: shared.settings.times.follow_ms,
            ..shared.settings.config.clone()
        };
        let limit = settings.request_ms.get();
        let now = Instant::now().into_std();
        Ok(Self {
            log: LogClient::new(http.clone(), shared.settings.log, limit),
            follower: Follower::new(&shared.settings.instance, settings.clone(), now),
            http,
            settings,
            shared,
            publish,
            ends,
            reachable: true,
            told: 0,
        })
    }

    /// Handles a message from the http thread.
    fn hear(&mut self, message: Follow) {
        match message {
            Follow::Offer(peer, offer) => self.handle(FollowerInput::Offer(peer, offer)),
            Follow::Ask(ask, reply) => {
                let answer = self.follower.answer(ask.from);
                let answer = PeerClient::encode(&answer).unwrap_or_default();
                let metrics = &self.shared.metrics;
                metrics.control_bytes("records_sent", answer.len());
                let _ = reply.send(answer);
            }
        }
    }

    /// Handles the result of a call to the log or a peer, and all further results already queued.
    fn take(&mut self, end: FollowerInput, ended: &mut Ended<FollowerInput>) {
        self.note_reachable(&end);
        self.handle(end);
        while let Ok(end) = ended.try_recv() {
            self.note_reachable(&end);
            self.handle(end);
        }
    }

    /// Logs when the platform's log becomes unreachable or reachable again.
    fn note_reachable(&mut self, end: &FollowerInput) {
        let reachable = match end {
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
            self.carry_out(output);
        }
        self.publish();
    }

    fn carry_out(&self, output: FollowerOutput) {
        match output {
            FollowerOutput::ReadLog { from, max } => {
                spawn(read(self.log.clone(), from, max, self.ends.clone()));
            }
            FollowerOutput::FetchFromPeer { peer, from } => {
                let client = self.shared.peer(&peer);
                let client = client.map(|addr| PeerClient::new(self.http.clone(), addr));
                let limit = self.settings.request_ms.get();
                let ends = self.ends.clone();
                spawn(async move {
                    let answer = match client {
                        Some(client) => ask(client, PeerAsk { from }, limit).await,
                        None => None,
                    };
                    let _ = ends.send(FollowerInput::Answer(peer, answer)).await;
                });
            }
            FollowerOutput::Append(records) => {
                let (log, ends) = (self.log.clone(), self.ends.clone());
                spawn(async move {
                    let done = log.append(CONFIG_STREAM, records).await.is_ok();
                    let _ = ends.send(FollowerInput::Appended(done)).await;
                });
            }
            output => follow_events::note(&self.shared.log, self.follower.is_ready(), &output),
        }
    }

    /// Publishes the configuration if it has advanced and the follower has caught up.
    ///
    /// When the control thread's ring is full, the next input to this thread retries.
    fn publish(&mut self) {
        let state = self.follower.state();
        let next = state.next();
        if !self.follower.is_ready() || next <= self.told {
            return;
        }
        self.publish.send_replace(Arc::clone(state));
        let message = Control::Config(Arc::clone(state));
        if self.shared.rings.control.push(message).is_ok() {
            self.told = next;
        } else {
            emit!(self.shared.log, warn, RingFull; "ring" => "control");
        }
    }
}

/// Reads a page of configuration records from the log.
async fn read(log: LogClient, from: Offset, max: u32, ends: Ends<FollowerInput>) {
    let end = match log.read(CONFIG_STREAM, from, max).await {
        Ok(page) => FollowerInput::Page(convert(page)),
        Err(_) => FollowerInput::LogFailed,
    };
    let _ = ends.send(end).await;
}

/// Requests records from a peer. Returns `None` when the call fails.
async fn ask(client: PeerClient, ask: PeerAsk, limit: std::time::Duration) -> Option<PeerAnswer> {
    let message = PeerClient::encode(&ask).ok()?;
    client.exchange("records", message, limit).await.ok()
}

fn convert(page: Page) -> LogPage {
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
