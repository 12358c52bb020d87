//! Simulated cluster of followers with an in-memory log and a virtual clock.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_records::{
    Follower, FollowerInput, FollowerOutput, FollowerSettings, LogPage, LogRecord, Notice, Outcome,
    State,
};
use serde_json::{Value, json};

/// Time between two simulation steps.
const STEP: Duration = Duration::from_millis(100);
/// Number of steps between two rounds of offers.
const OFFER_STEPS: u64 = 5;

/// In-memory log, with the state that results from its records.
#[derive(Default)]
pub(crate) struct Log {
    /// All records, including those that are no longer retained.
    pub(crate) records: Vec<Arc<str>>,
    /// Number of latest records that the log retains.
    pub(crate) retention: usize,
    /// Whether all reads and appends fail.
    pub(crate) down: bool,
    /// Number of next appends whose answers are lost after the records are appended.
    pub(crate) lost_answers: u32,
    /// The state that results from folding all records.
    pub(crate) expected: State,
    digests: Vec<u64>,
}

/// A simulated instance.
pub(crate) struct Instance {
    /// Id of the instance.
    pub(crate) id: Arc<str>,
    /// Follower under test.
    pub(crate) follower: Follower,
    /// Whether the instance is paused and handles no inputs.
    pub(crate) paused: bool,
    /// Whether the instance cannot reach the log.
    pub(crate) log_unreachable: bool,
    /// Notices that the follower returned.
    pub(crate) notices: Vec<Notice>,
    /// Offset and outcome of each record that the follower folded.
    pub(crate) outcomes: Vec<(u64, Outcome)>,
    /// Number of appends that the follower requested.
    pub(crate) appends: usize,
    last_next: u64,
}

/// The instances, the log and the virtual clock.
pub(crate) struct Cluster {
    /// Current time of the virtual clock.
    pub(crate) now: Instant,
    /// Log that all instances share.
    pub(crate) log: Log,
    /// Instances, including paused ones.
    pub(crate) instances: Vec<Instance>,
    settings: FollowerSettings,
    steps: u64,
    started: usize,
}

impl Log {
    /// Appends a record and returns its offset and outcome.
    pub(crate) fn append(&mut self, text: impl Into<Arc<str>>) -> (u64, Outcome) {
        let text = text.into();
        let offset = self.expected.next();
        let outcome = self.expected.apply(offset, &text);
        self.digests.push(self.expected.digest());
        self.records.push(text);
        (offset, outcome)
    }

    fn oldest(&self) -> usize {
        self.records.len().saturating_sub(self.retention)
    }

    fn page(&self, from: u64, max: u32) -> LogPage {
        let oldest = self.oldest();
        let from = usize::try_from(from)
            .unwrap()
            .clamp(oldest, self.records.len());
        let retained = self.records[from..].iter().take(max as usize);
        let record = |(i, data): (usize, &Arc<str>)| LogRecord {
            offset: (from + i) as u64,
            data: data.clone(),
        };
        LogPage {
            oldest: oldest as u64,
            end: self.records.len() as u64,
            records: retained.enumerate().map(record).collect(),
        }
    }
}

impl Instance {
    fn new(id: &str, settings: &FollowerSettings, now: Instant) -> Self {
        let id: Arc<str> = id.into();
        Self {
            follower: Follower::new(&id, settings.clone(), now),
            id,
            paused: false,
            log_unreachable: false,
            notices: Vec::new(),
            outcomes: Vec::new(),
            appends: 0,
            last_next: 0,
        }
    }
}

impl Cluster {
    /// Creates `count` instances on an empty log that retains `retention` records.
    pub(crate) fn new(count: usize, retention: usize, settings: FollowerSettings) -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            log: Log {
                retention,
                ..Log::default()
            },
            instances: Vec::new(),
            settings,
            steps: 0,
            started: 0,
        };
        for _ in 0..count {
            cluster.start();
        }
        cluster
    }

    /// Starts an instance with an empty state and returns its index.
    pub(crate) fn start(&mut self) -> usize {
        self.started += 1;
        let id = format!("entry-{}", self.started);
        let instance = Instance::new(&id, &self.settings, self.now);
        self.instances.push(instance);
        self.instances.len() - 1
    }

    /// Appends a record whose base is the current revision of its key.
    pub(crate) fn publish(&mut self, id: &str, kind: &str, key: &str, body: &Value) -> Outcome {
        let base = self.log.expected.revision(kind, key);
        let record = json!({
            "schema": 1, "kind": kind, "key": key, "base": base, "id": id, "body": body,
        });
        self.log.append(record.to_string()).1
    }

    /// Advances the clock, and checks all states after each step.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for i in 0..self.instances.len() {
                self.handle(i, FollowerInput::Tick);
            }
            if self.steps.is_multiple_of(OFFER_STEPS) {
                self.exchange_offers();
            }
            self.check_states();
        }
    }

    /// Advances the clock until all running instances have folded the whole log.
    ///
    /// Returns the time that this took; panics if it exceeds `limit`.
    pub(crate) fn settle(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        let end = self.log.expected.next();
        let behind = |i: &Instance| !i.paused && i.follower.state().next() < end;
        while self.instances.iter().any(behind) {
            assert!(self.now < start + limit, "not settled within {limit:?}");
            self.run_for(STEP);
        }
        self.now - start
    }

    /// Passes an input to an instance and executes the actions that it returns.
    pub(crate) fn handle(&mut self, i: usize, input: FollowerInput) {
        if self.instances[i].paused {
            return;
        }
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.instances[i].follower.handle(self.now, input, &mut out);
            inputs.extend(out.into_iter().filter_map(|o| self.execute(i, o)));
        }
    }

    fn execute(&mut self, i: usize, output: FollowerOutput) -> Option<FollowerInput> {
        let unreachable = self.log.down || self.instances[i].log_unreachable;
        match output {
            FollowerOutput::ReadLog { .. } if unreachable => Some(FollowerInput::LogFailed),
            FollowerOutput::ReadLog { from, max } => {
                Some(FollowerInput::Page(self.log.page(from, max)))
            }
            FollowerOutput::FetchFromPeer { peer, from } => {
                let responder = self
                    .instances
                    .iter_mut()
                    .find(|m| m.id == peer && !m.paused);
                let answer = responder.map(|m| m.follower.answer(from));
                Some(FollowerInput::Answer(peer, answer))
            }
            FollowerOutput::Append(_) if unreachable => Some(FollowerInput::Appended(false)),
            FollowerOutput::Append(records) => {
                self.instances[i].appends += 1;
                for record in records {
                    self.log.append(record);
                }
                let lost = self.log.lost_answers > 0;
                self.log.lost_answers = self.log.lost_answers.saturating_sub(1);
                Some(FollowerInput::Appended(!lost))
            }
            FollowerOutput::Folded { offset, outcome } => {
                self.instances[i].outcomes.push((offset, outcome));
                None
            }
            FollowerOutput::Notice(notice) => {
                self.instances[i].notices.push(notice);
                None
            }
            FollowerOutput::Installed { .. } | FollowerOutput::Changed => None,
        }
    }

    /// Sends the offer of each running instance to all others.
    fn exchange_offers(&mut self) {
        let running = self.instances.iter().filter(|m| !m.paused);
        let offers: Vec<_> = running
            .map(|m| (m.id.clone(), m.follower.offer()))
            .collect();
        for i in 0..self.instances.len() {
            for (id, offer) in &offers {
                if *id != self.instances[i].id {
                    self.handle(i, FollowerInput::Offer(id.clone(), *offer));
                }
            }
        }
    }

    /// Checks that no instance's offset decreased and that each digest matches its offset.
    fn check_states(&mut self) {
        for instance in &mut self.instances {
            let offer = instance.follower.offer();
            assert!(
                offer.next >= instance.last_next,
                "{}: offset decreased",
                instance.id
            );
            instance.last_next = offer.next;
            let last_folded = offer.next.checked_sub(1);
            let expected = last_folded.map_or(0, |i| self.log.digests[usize::try_from(i).unwrap()]);
            assert_eq!(offer.digest, expected, "{} at {}", instance.id, offer.next);
        }
    }
}
