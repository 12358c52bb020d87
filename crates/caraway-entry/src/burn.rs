//! The burn thread: counts samples for service-level objectives and appends closed time buckets to
//! the log.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use caraway_burn::{BurnRecord, InstanceCounts, Sample, Snapshot, UnixSeconds};
use caraway_ring::Receiver;
use caraway_wire::{CallError, HttpClient, LogClient, log::BURN_STREAM};
use tokio::sync::oneshot;

use crate::{events::emit, shared::Shared};

/// Interval at which the thread checks for a closed bucket.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Most closed buckets kept while the log does not accept them; beyond it the oldest are dropped.
const BACKLOG_LIMIT: usize = 36;

/// A message to the burn thread.
#[derive(Debug)]
pub(crate) enum BurnMessage {
    /// Measurements of a request that ended.
    Sample(Sample),
    /// An operator requests the current counts.
    SnapshotRequest(oneshot::Sender<Snapshot>),
    /// Ends the thread after it has appended all remaining buckets.
    Stop,
}

/// The burn thread's state.
struct BurnThread {
    shared: Arc<Shared>,
    log: LogClient,
    counts: InstanceCounts,
    backlog: Vec<BurnRecord>,
}

/// Counts samples until [`BurnMessage::Stop`] arrives or the ring is closed, then appends all
/// remaining buckets.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inbox: Receiver<BurnMessage>,
) -> Result<(), CallError> {
    let timeout = shared.settings.times.control_ms.get();
    let log = LogClient::new(HttpClient::new().await?, shared.settings.log, timeout);
    let mut thread = BurnThread {
        shared,
        log,
        counts: InstanceCounts::default(),
        backlog: Vec::new(),
    };
    let mut tick = tokio::time::interval(CLOSE_CHECK_INTERVAL);
    loop {
        let message = tokio::select! {
            message = inbox.recv() => message,
            _ = tick.tick() => {
                thread.append_buckets(false).await;
                continue;
            }
        };
        match message {
            Some(BurnMessage::Sample(sample)) => thread.record_sample(&sample),
            Some(BurnMessage::SnapshotRequest(reply)) => {
                let _ = reply.send(thread.snapshot());
            }
            Some(BurnMessage::Stop) | None => {
                thread.append_buckets(true).await;
                return Ok(());
            }
        }
    }
}

impl BurnThread {
    fn record_sample(&mut self, sample: &Sample) {
        let state = self.shared.current_config();
        self.counts.add(unix_now(), state.objectives(), sample);
    }

    fn snapshot(&self) -> Snapshot {
        let instance = &self.shared.settings.instance;
        let state = self.shared.current_config();
        let objectives = state
            .objectives()
            .map(|(name, o)| (Arc::clone(name), o.clone()));
        let counts = self
            .counts
            .snapshot(unix_now(), instance, self.shared.incarnation);
        Snapshot {
            offset: state.next(),
            objectives: objectives.collect(),
            ..counts
        }
    }

    /// Appends closed buckets to the log, and the current one when `stopping` is set. Buckets that
    /// the log does not accept stay in the backlog until the next call.
    async fn append_buckets(&mut self, stopping: bool) {
        let instance = &self.shared.settings.instance;
        let incarnation = self.shared.incarnation;
        // At the end, the previous bucket may not have been appended yet either.
        let records = [
            self.counts
                .take_record(unix_now(), instance, incarnation, false),
            stopping
                .then(|| {
                    self.counts
                        .take_record(unix_now(), instance, incarnation, true)
                })
                .flatten(),
        ];
        self.backlog.extend(records.into_iter().flatten());
        if self.backlog.is_empty() {
            return;
        }
        let excess = self.backlog.len().saturating_sub(BACKLOG_LIMIT);
        self.backlog.drain(..excess);
        let encode = |r: &BurnRecord| serde_json::to_string(r).ok().map(Arc::from);
        let texts: Vec<Arc<str>> = self.backlog.iter().filter_map(encode).collect();
        let bytes = texts.iter().map(|t| t.len()).sum();
        // When the log's answer is lost, the next call appends the buckets again; reports count
        // each bucket once.
        match self.log.append(BURN_STREAM, texts).await {
            Ok(_) => {
                self.shared
                    .metrics
                    .record_control_bytes("burn_appended", bytes);
                self.backlog.clear();
            }
            Err(error) => {
                emit!(self.shared.log, warn, LogUnreachable; "error" => %error);
            }
        }
    }
}

fn unix_now() -> UnixSeconds {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}
