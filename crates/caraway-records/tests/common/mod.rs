//! A floor of followers on a small fake log, under a virtual clock.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_records::{
    Follower, FollowerInput, FollowerOutput, FollowerSettings, LogPage, LogRecord, Notice, Outcome,
    State,
};
use serde_json::{Value, json};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(100);
/// Steps between two rounds of offers.
const OFFER_STEPS: u64 = 5;

/// The log, and the state that each of its offsets must give.
#[derive(Default)]
pub(crate) struct Log {
    /// All records, also those past the retention.
    pub(crate) records: Vec<Arc<str>>,
    /// Number of records that are kept.
    pub(crate) keep: usize,
    /// Whether it answers nothing.
    pub(crate) down: bool,
    /// Number of appends whose answers are lost after they took effect.
    pub(crate) lose: u32,
    /// The state that results from all records.
    pub(crate) truth: State,
    digests: Vec<u64>,
}

/// An instance.
pub(crate) struct Member {
    /// Its id.
    pub(crate) id: Arc<str>,
    /// Its follower.
    pub(crate) follower: Follower,
    /// Whether it stands still.
    pub(crate) paused: bool,
    /// Whether it is cut off from the log.
    pub(crate) cut: bool,
    /// What it told.
    pub(crate) notices: Vec<Notice>,
    /// The outcomes that it saw, by offset.
    pub(crate) outcomes: Vec<(u64, Outcome)>,
    /// Number of appends of snapshot chunks.
    pub(crate) appends: usize,
    applied: u64,
}

/// Instances, the log and the time.
pub(crate) struct Floor {
    /// The time.
    pub(crate) now: Instant,
    /// The log.
    pub(crate) log: Log,
    /// The instances.
    pub(crate) members: Vec<Member>,
    settings: FollowerSettings,
    steps: u64,
    made: usize,
}

impl Log {
    /// Appends a record and returns its offset and outcome.
    pub(crate) fn append(&mut self, text: impl Into<Arc<str>>) -> (u64, Outcome) {
        let text = text.into();
        let offset = self.truth.next();
        let outcome = self.truth.apply(offset, &text);
        self.digests.push(self.truth.digest());
        self.records.push(text);
        (offset, outcome)
    }

    fn oldest(&self) -> usize {
        self.records.len().saturating_sub(self.keep)
    }

    fn page(&self, from: u64, max: u32) -> LogPage {
        let oldest = self.oldest();
        let from = usize::try_from(from)
            .unwrap()
            .clamp(oldest, self.records.len());
        let kept = self.records[from..].iter().take(max as usize);
        let record = |(i, data): (usize, &Arc<str>)| LogRecord {
            offset: (from + i) as u64,
            data: data.clone(),
        };
        LogPage {
            oldest: oldest as u64,
            end: self.records.len() as u64,
            records: kept.enumerate().map(record).collect(),
        }
    }
}

impl Member {
    fn new(id: &str, settings: &FollowerSettings, now: Instant) -> Self {
        let id: Arc<str> = id.into();
        Self {
            follower: Follower::new(&id, settings.clone(), now),
            id,
            paused: false,
            cut: false,
            notices: Vec::new(),
            outcomes: Vec::new(),
            appends: 0,
            applied: 0,
        }
    }
}

impl Floor {
    /// Makes `count` instances on an empty log that keeps `keep` records.
    pub(crate) fn new(count: usize, keep: usize, settings: FollowerSettings) -> Self {
        let mut floor = Self {
            now: Instant::now(),
            log: Log {
                keep,
                ..Log::default()
            },
            members: Vec::new(),
            settings,
            steps: 0,
            made: 0,
        };
        for _ in 0..count {
            floor.start();
        }
        floor
    }

    /// Starts an instance with an empty memory and returns its index.
    pub(crate) fn start(&mut self) -> usize {
        self.made += 1;
        let id = format!("entry-{}", self.made);
        let member = Member::new(&id, &self.settings, self.now);
        self.members.push(member);
        self.members.len() - 1
    }

    /// Appends a record with the current base of its key.
    pub(crate) fn publish(&mut self, id: &str, kind: &str, key: &str, body: &Value) -> Outcome {
        let base = self.log.truth.revision(kind, key);
        let record = json!({
            "schema": 1, "kind": kind, "key": key, "base": base, "id": id, "body": body,
        });
        self.log.append(record.to_string()).1
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for i in 0..self.members.len() {
                self.handle(i, FollowerInput::Tick);
            }
            if self.steps.is_multiple_of(OFFER_STEPS) {
                self.gossip();
            }
            self.check();
        }
    }

    /// Lets time pass until every running instance has folded the whole log; returns how long.
    pub(crate) fn settle(&mut self, limit: Duration) -> Duration {
        let start = self.now;
        let end = self.log.truth.next();
        let behind = |m: &Member| !m.paused && m.follower.state().next() < end;
        while self.members.iter().any(behind) {
            assert!(self.now < start + limit, "not settled within {limit:?}");
            self.run(STEP);
        }
        self.now - start
    }

    /// Gives an instance an input and carries out what it asks for.
    pub(crate) fn handle(&mut self, i: usize, input: FollowerInput) {
        if self.members[i].paused {
            return;
        }
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.members[i].follower.handle(self.now, input, &mut out);
            inputs.extend(out.into_iter().filter_map(|o| self.carry_out(i, o)));
        }
    }

    fn carry_out(&mut self, i: usize, output: FollowerOutput) -> Option<FollowerInput> {
        let dead = self.log.down || self.members[i].cut;
        match output {
            FollowerOutput::ReadLog { .. } if dead => Some(FollowerInput::LogFailed),
            FollowerOutput::ReadLog { from, max } => {
                Some(FollowerInput::Page(self.log.page(from, max)))
            }
            FollowerOutput::AskPeer { peer, from } => {
                let other = self.members.iter_mut().find(|m| m.id == peer && !m.paused);
                let answer = other.map(|m| m.follower.answer(from));
                Some(FollowerInput::Answer(peer, answer))
            }
            FollowerOutput::Append(_) if dead => Some(FollowerInput::Appended(false)),
            FollowerOutput::Append(records) => {
                self.members[i].appends += 1;
                for record in records {
                    self.log.append(record);
                }
                let lost = self.log.lose > 0;
                self.log.lose = self.log.lose.saturating_sub(1);
                Some(FollowerInput::Appended(!lost))
            }
            FollowerOutput::Judged { offset, outcome } => {
                self.members[i].outcomes.push((offset, outcome));
                None
            }
            FollowerOutput::Notice(notice) => {
                self.members[i].notices.push(notice);
                None
            }
            FollowerOutput::Installed { .. } | FollowerOutput::Changed => None,
        }
    }

    /// Tells every instance what the others have.
    fn gossip(&mut self) {
        let running = self.members.iter().filter(|m| !m.paused);
        let offers: Vec<_> = running
            .map(|m| (m.id.clone(), m.follower.offer()))
            .collect();
        for i in 0..self.members.len() {
            for (id, offer) in &offers {
                if *id != self.members[i].id {
                    self.handle(i, FollowerInput::Offer(id.clone(), *offer));
                }
            }
        }
    }

    /// Checks that no instance went back, and that each has the state that its offset must give.
    fn check(&mut self) {
        for member in &mut self.members {
            let offer = member.follower.offer();
            assert!(offer.next >= member.applied, "{} went back", member.id);
            member.applied = offer.next;
            let before = offer.next.checked_sub(1);
            let truth = before.map_or(0, |i| self.log.digests[usize::try_from(i).unwrap()]);
            assert_eq!(offer.digest, truth, "{} at {}", member.id, offer.next);
        }
    }
}
