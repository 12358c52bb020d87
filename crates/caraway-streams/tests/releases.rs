//! Simulates releases of engines' software in virtual time, with killed instances, whose callers take
//! their streams up at others.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use caraway_streams::{HistoryRecord, Origin, StreamOrigins, VersionHistory};
use caraway_types::{RequestId, SoftwareVersion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "lm";
/// Unix time of the start of a run, in milliseconds, like all times here.
const START: u64 = 1_700_000_000_000;
const LENGTH: u64 = 100_000;
/// Range of the time for which streams last.
const STREAM_TIME: std::ops::Range<u64> = 2000..12_000;
/// Longest time for which the gateway expects streams to last.
const LIFE: u64 = 24_000;
/// Interval at which instances update their histories.
const UPDATE_INTERVAL: u64 = 1000;
/// Range of the time in which an instance learns of a change of the registry.
const REGISTRY_DELAY: std::ops::Range<u64> = 50..1000;
/// Range of the time from the first event of a stream until its origin is in the store.
const APPEND_DELAY: std::ops::Range<u64> = 10..80;
/// Range of the time for which instances are out of step.
const ABSENCE: std::ops::Range<u64> = 500..5000;
/// When the first engine is replaced.
const RELEASE_START: u64 = 10_000;
/// Number of streams that are taken up at an instance that is out of step or has just come back.
const VISIT: usize = 8;
/// Least share of the streams that go on, of those whose version serves.
const MIN_CONTINUED: f64 = 0.9;
/// Number of streams that may hold events of two versions.
const MAX_JOINED: usize = 2;
/// Environment variable with the number of seeds of each fleet; the default suits CI.
const SEEDS_VARIABLE: &str = "CARAWAY_STREAMS_SEEDS";
const DEFAULT_SEEDS: u64 = 10;

/// How a release goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    Forward,
    /// Half of the engines are replaced, the rest much later at once.
    HalfWay,
    /// Half of the engines are replaced, and go back to the former version.
    Back,
}

/// Which instances are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kill {
    All,
    Third,
    One,
    None,
}

/// What an instance that is out of step lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lack {
    /// It stands still.
    Time,
    /// The other instances, which forward records to it; it reads the store.
    Peers,
    /// The store; the other instances forward records to it.
    Store,
    /// Both.
    PeersAndStore,
}

const LACKS: [Lack; 4] = [Lack::Time, Lack::Peers, Lack::Store, Lack::PeersAndStore];

impl Lack {
    fn has_store(this: Option<Self>) -> bool {
        matches!(this, None | Some(Self::Peers))
    }

    fn has_peers(this: Option<Self>) -> bool {
        matches!(this, None | Some(Self::Store))
    }

    /// Returns whether it learns of records, from the store or from others.
    fn learns(this: Option<Self>) -> bool {
        Self::has_store(this) || Self::has_peers(this)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// An engine is replaced by one of this version.
    Replace(usize, usize),
    /// An instance learns of an engine's version.
    Learn(usize, usize),
    Update(usize),
    /// An instance is killed.
    Kill(usize),
    /// An instance falls out of step.
    Away(usize, Lack),
    /// Callers take streams up at an instance.
    Visit(usize),
    /// An instance is back, and has missed what happened meanwhile.
    Back(usize),
    /// A history is shared.
    Share(usize, usize),
    /// An instance receives a shared history.
    Receive(usize, usize),
    /// An origin is in the store.
    Store(usize),
    TakeUp(usize),
    End(usize),
}

const VERSIONS: [&str; 2] = ["v1", "v2"];

#[derive(Clone)]
struct Node {
    incarnation: u64,
    /// Whether it has read the registry and the shared histories.
    is_up: bool,
    history: VersionHistory,
    origins: StreamOrigins,
    /// The version of each engine as it knows it, with its start.
    engines: Vec<(usize, u64)>,
    /// Set while it is out of step.
    lack: Option<Lack>,
}

struct Stream {
    instance: usize,
    version: usize,
    id: RequestId,
    /// Whether its origin reaches the store even if its instance is killed.
    is_sent: bool,
}

#[derive(Debug, Default)]
struct Figures {
    taken_up: usize,
    continued: usize,
    joined: usize,
    refused: usize,
    /// Take-ups that were refused, and came back, as the store did not answer the instance.
    unconfirmed: usize,
    records: usize,
    histories: usize,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: u64,
    rate: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_event: u64,
    nodes: Vec<Node>,
    engines: Vec<(usize, u64)>,
    streams: HashMap<usize, Stream>,
    last_stream: usize,
    store: HashMap<RequestId, SoftwareVersion>,
    /// Origins that are on their way to the store.
    pending: HashMap<usize, (RequestId, SoftwareVersion)>,
    histories: Vec<HistoryRecord>,
    newest_history: Option<usize>,
    kill_times: Vec<u64>,
    figures: Figures,
}

impl Simulation {
    fn new(instances: usize, seed: u64) -> Self {
        let engines: Vec<(usize, u64)> =
            (0..instances.clamp(9, 60)).map(|e| (0, e as u64)).collect();
        let mut history = VersionHistory::default();
        history.update(START, &SERVICE.into(), &present(&engines));
        let node = Node {
            incarnation: 0,
            is_up: true,
            history,
            origins: StreamOrigins::default(),
            engines: engines.clone(),
            lack: None,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            rate: 5.0 + f64::from(u32::try_from(instances).expect("a small number")) / 2.0,
            events: BinaryHeap::new(),
            last_event: 0,
            nodes: vec![node; instances],
            engines,
            streams: HashMap::new(),
            last_stream: 0,
            store: HashMap::new(),
            pending: HashMap::new(),
            histories: Vec::new(),
            newest_history: None,
            kill_times: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.last_event += 1;
        let entry = (self.now + after, self.last_event, event);
        self.events.push(Reverse(entry));
    }

    /// Lets instances fall out of step again and again, a tenth of them at a time.
    fn schedule_absences(&mut self) {
        let count = self.nodes.len().div_ceil(10);
        // The first one spans the start of the release.
        let mut at = RELEASE_START - self.rng.random_range(100..500);
        while at < LENGTH - 10_000 {
            let first = self.rng.random_range(0..self.nodes.len());
            let lack = LACKS[self.rng.random_range(0..LACKS.len())];
            let length = self.rng.random_range(ABSENCE);
            for number in 0..count {
                let node = (first + number) % self.nodes.len();
                self.schedule(at, Event::Away(node, lack));
                if lack != Lack::Time {
                    let moment = self.rng.random_range(0..length);
                    self.schedule(at + moment, Event::Visit(node));
                }
                self.schedule(at + length, Event::Back(node));
            }
            at += length + self.rng.random_range(200..3000);
        }
    }

    fn run(mut self, release: Release, kill: Kill) -> Figures {
        self.schedule(0, Event::Arrival);
        for node in 0..self.nodes.len() {
            let first = self.rng.random_range(0..UPDATE_INTERVAL);
            self.schedule(first, Event::Update(node));
        }
        let half = self.engines.len() / 2;
        for engine in 0..self.engines.len() {
            let step = RELEASE_START + engine as u64 * 20_000 / self.engines.len() as u64;
            match release {
                Release::Forward => self.schedule(step, Event::Replace(engine, 1)),
                Release::HalfWay if engine < half => {
                    self.schedule(step, Event::Replace(engine, 1));
                }
                Release::HalfWay => self.schedule(60_000, Event::Replace(engine, 1)),
                Release::Back if engine < half => {
                    self.schedule(step, Event::Replace(engine, 1));
                    self.schedule(step + 40_000, Event::Replace(engine, 0));
                }
                Release::Back => {}
            }
        }
        for _ in 0..4 {
            let at = self.rng.random_range(5000..LENGTH - 5000);
            self.kill_times.push(START + at);
            let count = match kill {
                Kill::All => self.nodes.len(),
                Kill::Third => self.nodes.len().div_ceil(3),
                Kill::One => 1,
                Kill::None => 0,
            };
            let first = self.rng.random_range(0..self.nodes.len());
            for number in 0..count {
                let node = (first + number) % self.nodes.len();
                self.schedule(at, Event::Kill(node));
            }
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > START + LENGTH {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.figures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.on_arrival(),
            Event::Replace(engine, version) => {
                self.engines[engine] = (version, self.now);
                for node in 0..self.nodes.len() {
                    let delay = self.rng.random_range(REGISTRY_DELAY);
                    self.schedule(delay, Event::Learn(node, engine));
                }
            }
            Event::Learn(node, engine) => {
                if Lack::learns(self.nodes[node].lack) {
                    self.nodes[node].engines[engine] = self.engines[engine];
                }
            }
            Event::Away(node, lack) => {
                self.nodes[node].lack.get_or_insert(lack);
                self.break_some(node);
            }
            Event::Visit(node) => self.on_visit(node),
            Event::Back(node) => self.on_back(node),
            Event::Update(node) => {
                if self.nodes[node].lack != Some(Lack::Time) {
                    self.update(node);
                }
                self.schedule(UPDATE_INTERVAL, event);
            }
            Event::Kill(node) => self.on_kill(node),
            Event::Share(node, history) => {
                let history_names = names(&self.histories[history]);
                let newest = self.newest_history.map(|h| names(&self.histories[h]));
                let can_write = Lack::has_store(self.nodes[node].lack);
                if self.nodes[node].is_up && can_write && newest != Some(history_names) {
                    self.figures.histories += 1;
                    self.newest_history = Some(history);
                    for receiver in 0..self.nodes.len() {
                        let delay = self.rng.random_range(5..60);
                        self.schedule(delay, Event::Receive(receiver, history));
                    }
                }
            }
            Event::Receive(node, history) => {
                if self.nodes[node].is_up && Lack::learns(self.nodes[node].lack) {
                    self.nodes[node].history.adopt(&self.histories[history]);
                }
            }
            Event::Store(stream) => {
                if let Some((id, software)) = self.pending.remove(&stream) {
                    self.figures.records += 1;
                    self.store.entry(id).or_insert(software);
                }
            }
            Event::TakeUp(stream) => self.on_take_up(stream),
            Event::End(stream) => {
                self.streams.remove(&stream);
            }
        }
    }

    fn update(&mut self, node: usize) {
        if !self.nodes[node].is_up {
            if !Lack::has_store(self.nodes[node].lack) {
                return;
            }
            // It has started by now, and has read the registry and the newest history.
            let engines = self.engines.clone();
            let newest = self.newest_history.map(|h| self.histories[h].clone());
            let started = &mut self.nodes[node];
            started.is_up = true;
            started.engines = engines;
            if let Some(newest) = newest {
                started.history.adopt(&newest);
            }
        }
        let versions = present(&self.nodes[node].engines);
        let now = self.now;
        let history = &mut self.nodes[node].history;
        if let Some(changed) = history.update(now, &SERVICE.into(), &versions) {
            self.histories.push(changed);
            let delay = self.rng.random_range(0..=20 * self.nodes.len() as u64);
            self.schedule(delay, Event::Share(node, self.histories.len() - 1));
        }
    }

    fn on_arrival(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.rate * 1000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the gap is a small positive number"
        )]
        self.schedule(1 + gap as u64, Event::Arrival);
        let instance = self.rng.random_range(0..self.nodes.len());
        if !self.nodes[instance].is_up || self.nodes[instance].lack == Some(Lack::Time) {
            return;
        }
        // An instance sends to engines that it knows; those that have left are not there any more.
        let engine = self.rng.random_range(0..self.engines.len());
        if self.nodes[instance].engines[engine] != self.engines[engine] {
            return;
        }
        let version = self.engines[engine].0;
        self.refresh(instance);
        self.last_stream += 1;
        let number = self.last_stream;
        let id: RequestId = format!("s{number}").into();
        let now = self.now;
        let software: SoftwareVersion = VERSIONS[version].into();
        let node = &mut self.nodes[instance];
        let unrecorded = node.history.unrecorded_origin(now, SERVICE, LIFE);
        let can_store = Lack::learns(node.lack);
        if matches!(unrecorded, Origin::Known(other) if other != software) {
            if !can_store {
                // It begins at the other version instead.
                return;
            }
            // Its first event waits until its origin is in the store.
            self.figures.records += 1;
            self.store.insert(id.clone(), software);
        } else if node.history.needs_record(now, SERVICE, LIFE) {
            node.origins.insert(&id, &software);
        }
        if node.origins.get(&id).is_some() && can_store {
            let software: SoftwareVersion = VERSIONS[version].into();
            self.pending.insert(number, (id.clone(), software));
            let delay = self.rng.random_range(APPEND_DELAY);
            self.schedule(delay, Event::Store(number));
        }
        // The holder of the zone has its origin, except for streams of the holder itself.
        let is_sent = self.rng.random_bool(0.8);
        self.streams.insert(
            number,
            Stream {
                instance,
                version,
                id,
                is_sent,
            },
        );
        let time = self.rng.random_range(STREAM_TIME);
        self.schedule(time, Event::End(number));
    }

    fn on_kill(&mut self, node: usize) {
        let killed = &mut self.nodes[node];
        killed.incarnation += 1;
        killed.is_up = false;
        killed.history = VersionHistory::default();
        killed.origins = StreamOrigins::default();
        for number in self.streams_of(node) {
            if !self.streams[&number].is_sent {
                self.pending.remove(&number);
            }
            let delay = self.rng.random_range(100..2500);
            self.schedule(delay, Event::TakeUp(number));
        }
    }

    /// Returns the streams of an instance in the order in which they began.
    fn streams_of(&self, node: usize) -> Vec<usize> {
        let of_node = self.streams.iter().filter(|(_, s)| s.instance == node);
        let mut numbers: Vec<usize> = of_node.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Breaks half of the streams of an instance and of its neighbours off, some of them while the
    /// instance is out of step and some when it is back.
    fn break_some(&mut self, node: usize) {
        for neighbour in 0..3 {
            let node = (node + neighbour) % self.nodes.len();
            for number in self.streams_of(node) {
                if self.rng.random_bool(0.5) {
                    let delay = self.rng.random_range(10..ABSENCE.end);
                    self.schedule(delay, Event::TakeUp(number));
                }
            }
        }
    }

    /// Streams are taken up at once at an instance that is back, before it learns what it has missed.
    fn on_back(&mut self, node: usize) {
        if self.nodes[node].lack.is_none() {
            return;
        }
        self.break_some((node + 1) % self.nodes.len());
        self.nodes[node].lack = None;
        self.on_visit(node);
        for engine in 0..self.engines.len() {
            let delay = self.rng.random_range(REGISTRY_DELAY);
            self.schedule(delay, Event::Learn(node, engine));
        }
        if let Some(history) = self.newest_history {
            let delay = self.rng.random_range(REGISTRY_DELAY);
            self.schedule(delay, Event::Receive(node, history));
        }
    }

    /// Takes some of the newest streams up at an instance.
    fn on_visit(&mut self, node: usize) {
        if !self.nodes[node].is_up {
            return;
        }
        let mut running: Vec<usize> = self.streams.keys().copied().collect();
        running.sort_unstable();
        running.reverse();
        for number in running.into_iter().take(VISIT) {
            self.take_up_at(number, node);
        }
    }

    /// Updates the history of an instance by the engines that it knows.
    fn refresh(&mut self, node: usize) {
        if self.nodes[node].is_up {
            self.update(node);
        }
    }

    /// Brings what an instance knows up to the present; returns false if the store does not answer it.
    fn catch_up(&mut self, node: usize) -> bool {
        if !Lack::has_store(self.nodes[node].lack) {
            return false;
        }
        self.nodes[node].engines = self.engines.clone();
        if let Some(history) = self.newest_history {
            let history = self.histories[history].clone();
            self.nodes[node].history.adopt(&history);
        }
        self.refresh(node);
        true
    }

    fn on_take_up(&mut self, number: usize) {
        let instance = self.rng.random_range(0..self.nodes.len());
        let node = &self.nodes[instance];
        if !node.is_up || node.lack == Some(Lack::Time) {
            self.schedule(500, Event::TakeUp(number));
            return;
        }
        self.take_up_at(number, instance);
    }

    fn take_up_at(&mut self, number: usize, instance: usize) {
        let Some(stream) = self.streams.get(&number) else {
            return;
        };
        let id = stream.id.clone();
        let is_known = self.nodes[instance].origins.get(&id).is_some();
        if !is_known && !self.catch_up(instance) {
            self.figures.unconfirmed += 1;
            self.schedule(500, Event::TakeUp(number));
            return;
        }
        let stream = &self.streams[&number];
        let serving = self.engines.iter().filter(|e| e.0 == stream.version);
        let node = &self.nodes[instance];
        let needs_store = node.history.needs_record(self.now, SERVICE, LIFE);
        // The store is read only if the history leaves the version open.
        let stored = self.store.get(&id).filter(|_| needs_store);
        let recorded = node.origins.get(&id).or(stored);
        let origin = recorded.map_or_else(
            || node.history.unrecorded_origin(self.now, SERVICE, LIFE),
            |software| Origin::Known(software.clone()),
        );
        let truth = VERSIONS[stream.version];
        let can_go_on = serving.count() >= 2;
        let is_continued = match &origin {
            Origin::Known(software) => **software == *truth,
            Origin::Ambiguous => false,
        };
        let is_joined = matches!(&origin, Origin::Known(software) if **software != *truth
            && self.engines.iter().any(|e| VERSIONS[e.0] == &**software));
        self.figures.joined += usize::from(is_joined);
        if can_go_on {
            self.figures.taken_up += 1;
            self.figures.continued += usize::from(is_continued);
            self.figures.refused += usize::from(origin == Origin::Ambiguous);
        }
        if let Some(stream) = self.streams.get_mut(&number)
            && is_continued
        {
            stream.instance = instance;
        } else {
            self.streams.remove(&number);
        }
    }
}

fn present(engines: &[(usize, u64)]) -> BTreeMap<SoftwareVersion, Option<u64>> {
    let mut versions: BTreeMap<SoftwareVersion, Option<u64>> = BTreeMap::new();
    for (version, started) in engines {
        let earliest = versions.entry(VERSIONS[*version].into()).or_default();
        *earliest = Some(earliest.map_or(*started, |e| e.min(*started)));
    }
    versions
}

fn names(history: &HistoryRecord) -> Vec<(SoftwareVersion, bool)> {
    let versions = history.versions.iter();
    versions
        .map(|v| (v.software.clone(), v.until.is_some()))
        .collect()
}

fn seeds() -> u64 {
    let text = std::env::var(SEEDS_VARIABLE).ok();
    text.map_or(DEFAULT_SEEDS, |t| t.parse().expect("a number of seeds"))
}

/// Plays a release with killed instances in fleets of all sizes, and checks the bounds.
fn check(release: Release, kill: Kill) {
    check_with(release, kill, false, MAX_JOINED);
}

/// As [`check`], also with instances out of step, and with this number of streams that may be joined.
fn check_with(release: Release, kill: Kill, has_absences: bool, max_joined: usize) {
    for instances in [8, 60, 385] {
        let mut total = Figures::default();
        for seed in 0..seeds() {
            let mut simulation = Simulation::new(instances, seed);
            if has_absences {
                simulation.schedule_absences();
            }
            let figures = simulation.run(release, kill);
            assert!(
                figures.joined <= max_joined,
                "{instances} instances, seed {seed}: {figures:?}"
            );
            total.taken_up += figures.taken_up;
            total.continued += figures.continued;
            total.joined += figures.joined;
            total.refused += figures.refused;
            total.unconfirmed += figures.unconfirmed;
            total.records += figures.records;
            total.histories = total.histories.max(figures.histories);
        }
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = total.continued as f64 / total.taken_up.max(1) as f64;
        println!(
            "{release:?}, {kill:?} killed, {instances} instances: {share:.3} went on; {total:?}"
        );
        assert!(share >= MIN_CONTINUED, "{instances} instances: {total:?}");
    }
}

// Guards against: streams hold events of two software versions, or don't go on, after instances were
// killed in the middle of a release.
#[test]
fn streams_go_on_at_their_version_when_all_instances_are_killed() {
    for release in [Release::Forward, Release::HalfWay, Release::Back] {
        check(release, Kill::All);
    }
}

#[test]
fn streams_go_on_at_their_version_when_a_third_is_killed() {
    for release in [Release::Forward, Release::HalfWay, Release::Back] {
        check(release, Kill::Third);
    }
}

#[test]
fn streams_go_on_at_their_version_when_one_instance_is_killed() {
    for release in [Release::Forward, Release::HalfWay, Release::Back] {
        check(release, Kill::One);
    }
}

// Guards against: an instance that stood still or was cut off while engines of a new version joined takes
// streams that began there for streams of the version that it knows.
#[test]
fn streams_go_on_at_their_version_at_instances_that_were_out_of_step() {
    for release in [Release::Forward, Release::HalfWay, Release::Back] {
        check_with(release, Kill::None, true, 0);
    }
}

#[test]
fn streams_go_on_at_their_version_when_instances_are_killed_and_out_of_step() {
    for release in [Release::Forward, Release::HalfWay, Release::Back] {
        check_with(release, Kill::Third, true, MAX_JOINED);
    }
}
