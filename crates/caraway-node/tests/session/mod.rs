//! [`Session`]: a few whole nodes with small fakes of engines, list and network, driven by text.

mod engine;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    time::{Duration, Instant},
};

use caraway_node::{
    AttemptOutcome, EndpointSettings, Input, ListedMember, LoadResult, Node, NodeSettings, Output,
    Submission,
};
use caraway_slots::StoreLimits;
use caraway_types::{Class, InstanceId};

pub(crate) use engine::{Engine, Mood};

/// Time between two ticks of every node.
const TICK_MS: u64 = 20;
/// Ticks between two reports, and between two listings.
const REPORT_TICKS: u64 = 25;
/// Ticks that a message or an answer takes.
const DELAY_TICKS: u64 = 1;

/// A request at a node.
type Key = (InstanceId, u64);

/// A few whole nodes with small fakes of engines, list and network.
pub(crate) struct Session {
    start: Instant,
    ticks: u64,
    nodes: BTreeMap<InstanceId, (Node, String)>,
    pub(crate) engines: BTreeMap<String, Engine>,
    /// Inputs by the tick at which they arrive.
    arriving: BTreeMap<u64, Vec<(InstanceId, Input)>>,
    paused: BTreeSet<InstanceId>,
    /// Zones that are cut off from all others.
    cut: BTreeSet<String>,
    listed: bool,
    running: BTreeMap<(InstanceId, u64), (String, String)>,
    /// Requests by node and ticket, with the node that passed them on.
    asked: BTreeMap<Key, (Submission, Option<Key>)>,
    passed: u64,
    log: String,
}

impl Session {
    /// Makes nodes `name:zone` and engines `name:zone:slots[:checks]`.
    pub(crate) fn new(nodes: &str, engines: &str) -> Self {
        let start = Instant::now();
        let endpoint = |text: &str| {
            let parts: Vec<&str> = text.split(':').collect();
            EndpointSettings {
                id: parts[0].into(),
                zone: parts[1].into(),
                slots: parts[2].parse().unwrap(),
                checks_fencing: parts.len() > 3,
                ..EndpointSettings::default()
            }
        };
        let endpoints: Vec<EndpointSettings> = engines.split(' ').map(endpoint).collect();
        let node = |text: &str| {
            let (id, zone) = text.split_once(':').unwrap();
            let settings = NodeSettings {
                id: id.into(),
                zone: zone.into(),
                endpoints: endpoints.clone(),
                store: StoreLimits::default(),
                ..NodeSettings::default()
            };
            (
                InstanceId::from(id),
                (Node::new(settings, start), zone.to_owned()),
            )
        };
        Self {
            start,
            ticks: 0,
            nodes: nodes.split(' ').map(node).collect(),
            engines: endpoints
                .iter()
                .map(|e| (e.id.to_string(), Engine::new(e)))
                .collect(),
            arriving: BTreeMap::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            listed: true,
            running: BTreeMap::new(),
            asked: BTreeMap::new(),
            passed: 100,
            log: String::new(),
        }
    }

    /// Carries out one line and returns what happened.
    pub(crate) fn command(&mut self, line: &str) -> String {
        self.log.clear();
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["run", ms] => self.run(ms.parse().unwrap()),
            ["submit", node, ticket, adapter, class] => {
                self.submit(node, ticket, adapter, class, "60000");
            }
            ["submit", node, ticket, adapter, class, deadline] => {
                self.submit(node, ticket, adapter, class, deadline);
            }
            ["finish", node, ticket] => {
                self.finish(node, ticket.parse().unwrap(), AttemptOutcome::Complete)
            }
            ["cancel", node, ticket] => self.handle(node, Input::Cancel(ticket.parse().unwrap())),
            ["pause", node] => drop(self.paused.insert((*node).into())),
            ["wake", node] => drop(self.paused.remove(*node)),
            ["kill", node] => drop(self.nodes.remove(*node)),
            ["leave", node] => self.handle(node, Input::Leave),
            ["cut", zone] => drop(self.cut.insert((*zone).into())),
            ["heal", zone] => drop(self.cut.remove(*zone)),
            ["list", state] => self.listed = *state == "on",
            ["engine", id, "restart"] => self.restart(id),
            ["engine", id, mood] => self.engines.get_mut(*id).unwrap().mood = Mood::parse(mood),
            other => panic!("unknown command {other:?}"),
        }
        std::mem::take(&mut self.log)
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ticks * TICK_MS)
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.ticks += 1;
            if self.ticks % REPORT_TICKS == 1 {
                self.report();
            }
            let due = self.arriving.remove(&self.ticks).unwrap_or_default();
            for (node, input) in due {
                if self.paused.contains(&node) {
                    let next = self.arriving.entry(self.ticks + 1).or_default();
                    next.push((node, input));
                } else {
                    self.handle(&node, input);
                }
            }
            let awake = self.nodes.keys().filter(|n| !self.paused.contains(*n));
            for node in awake.cloned().collect::<Vec<_>>() {
                self.handle(&node, Input::Tick);
            }
        }
    }

    fn later(&mut self, node: &str, input: Input) {
        let due = self.arriving.entry(self.ticks + DELAY_TICKS).or_default();
        due.push((node.into(), input));
    }

    fn handle(&mut self, node: &str, input: Input) {
        let now = self.now();
        let mut outputs = Vec::new();
        if let Some((machine, _)) = self.nodes.get_mut(node) {
            machine.handle(now, input, &mut outputs);
        }
        for output in outputs {
            self.carry_out(node, output);
        }
    }

    fn note(&mut self, text: &str) {
        let ms = self.ticks * TICK_MS;
        writeln!(self.log, "  > {ms} {text}").unwrap();
    }

    fn submit(&mut self, node: &str, ticket: &str, adapter: &str, class: &str, deadline: &str) {
        let submission = Submission {
            ticket: ticket.parse().unwrap(),
            account: "signs".into(),
            adapter: adapter.parse().unwrap(),
            class: class.parse::<Class>().unwrap(),
            deadline: self.now() + Duration::from_millis(deadline.parse().unwrap()),
            max_tokens: 10,
            prefix_hash: 0,
            forwarded_by: None,
            hops: 0,
        };
        let key = (InstanceId::from(node), submission.ticket);
        self.asked.insert(key, (submission.clone(), None));
        self.handle(node, Input::Submit(submission));
    }

    /// Passes a request on, or says that the peer cannot be reached.
    fn forward(&mut self, node: &str, ticket: u64, peer: &InstanceId) {
        let key = (InstanceId::from(node), ticket);
        let mut submission = self.asked[&key].0.clone();
        if !self.reaches(node, peer) {
            self.note(&format!("{node} does not reach {peer} with {ticket}"));
            self.later(node, Input::Finished(ticket, AttemptOutcome::NotRun));
            return;
        }
        self.passed += 1;
        submission.ticket = self.passed;
        submission.forwarded_by = Some(node.into());
        submission.hops += 1;
        self.note(&format!(
            "{node} passes {ticket} to {peer} as {}",
            self.passed
        ));
        let there = (peer.clone(), self.passed);
        self.asked.insert(there, (submission.clone(), Some(key)));
        self.later(peer, Input::Submit(submission));
    }

    fn reaches(&self, node: &str, peer: &str) -> bool {
        let zone = |id: &str| self.nodes.get(id).map(|(_, z)| z.clone());
        let (a, b) = (zone(node), zone(peer));
        let apart = |z: &Option<String>| z.as_ref().is_none_or(|z| self.cut.contains(z));
        b.is_some() && (a == b || !apart(&a) && !apart(&b))
    }

    /// Ends the attempt of a ticket on its engine.
    pub(crate) fn finish(&mut self, node: &str, ticket: u64, done: AttemptOutcome) {
        if let Some((engine, load)) = self.running.remove(&(node.into(), ticket)) {
            self.engines.get_mut(&engine).unwrap().end(&load);
        }
        self.handle(node, Input::Finished(ticket, done));
        let from = self
            .asked
            .get(&(node.into(), ticket))
            .and_then(|a| a.1.clone());
        if let Some((before, theirs)) = from.filter(|_| done == AttemptOutcome::Complete) {
            self.later(&before, Input::Finished(theirs, done));
        }
    }

    fn carry_out(&mut self, node: &str, output: Output) {
        match output {
            Output::Start {
                ticket,
                endpoint,
                load,
                ..
            } => {
                let (adapter, _) = load.rsplit_once('#').unwrap();
                self.note(&format!(
                    "{node} starts {ticket} on {endpoint} with {adapter}"
                ));
                if self.engines.get_mut(&*endpoint).unwrap().start(&load) {
                    let key = (node.into(), ticket);
                    self.running
                        .insert(key, (endpoint.to_string(), load.to_string()));
                } else {
                    self.note(&format!("! {endpoint} does not have {adapter}"));
                    self.later(node, Input::Finished(ticket, AttemptOutcome::NotResident));
                }
            }
            Output::Forward { ticket, peer } => self.forward(node, ticket, &peer),
            Output::Refuse { ticket, refusal } => {
                let retry = refusal.retry_after.map(u64::from);
                let text = format!(
                    "{node} refuses {ticket}: {:?} {:?} {retry:?}",
                    refusal.reason, refusal.certainty
                );
                self.note(&text);
                let from = self
                    .asked
                    .get(&(node.into(), ticket))
                    .and_then(|a| a.1.clone());
                if let Some((before, theirs)) = from {
                    self.later(&before, Input::Finished(theirs, AttemptOutcome::NotRun));
                }
            }
            Output::Cancel { ticket } => self.note(&format!("{node} stops {ticket}")),
            Output::Load {
                endpoint,
                load,
                adapter,
                fence,
            } => {
                let result = self
                    .engines
                    .get_mut(&*endpoint)
                    .unwrap()
                    .load(&load, &adapter, fence);
                self.note(&format!("{node} loads {adapter} on {endpoint}: {result:?}"));
                if let Some(result) = result {
                    self.later(node, Input::Loaded(endpoint, load, result));
                }
            }
            Output::Unload {
                endpoint,
                load,
                fence,
            } => {
                let engine = self.engines.get_mut(&*endpoint).unwrap();
                let (done, pinned) = engine.unload(&load, fence);
                let (adapter, _) = load.rsplit_once('#').unwrap();
                self.note(&format!("{node} unloads {adapter} on {endpoint}: {done}"));
                if pinned {
                    self.note(&format!("! {adapter} was pinned on {endpoint}"));
                }
                self.later(node, Input::Unloaded(endpoint, load, done));
            }
            Output::Gossip { peer, gossip } => {
                if self.reaches(node, &peer) {
                    self.later(&peer, Input::Gossip(gossip));
                }
            }
        }
    }

    fn restart(&mut self, id: &str) {
        self.engines.get_mut(id).unwrap().restart();
        let lost: Vec<(InstanceId, u64)> = self
            .running
            .iter()
            .filter(|(_, (engine, _))| engine == id)
            .map(|(key, _)| key.clone())
            .collect();
        for (node, ticket) in lost {
            self.finish(&node, ticket, AttemptOutcome::NotRun);
        }
    }

    fn report(&mut self) {
        let nodes: Vec<(InstanceId, String)> = self
            .nodes
            .iter()
            .map(|(id, (_, zone))| (id.clone(), zone.clone()))
            .collect();
        let list: Vec<ListedMember> = nodes
            .iter()
            .map(|(id, zone)| listed(id, zone, false))
            .collect();
        let engines = self.engines.iter().map(|(id, e)| listed(id, &e.zone, true));
        let list: Vec<ListedMember> = list.into_iter().chain(engines).collect();
        for (node, zone) in nodes {
            if self.listed && !self.cut.contains(&zone) {
                self.later(&node, Input::Listing(list.clone()));
            }
            let near = self.engines.iter().filter(|(_, e)| e.zone == zone);
            let reports: Vec<Input> = near
                .map(|(id, e)| Input::Report(id.as_str().into(), e.report()))
                .collect();
            for report in reports {
                self.later(&node, report);
            }
        }
    }
}

fn listed(id: &str, zone: &str, endpoint: bool) -> ListedMember {
    ListedMember {
        id: id.into(),
        zone: zone.into(),
        incarnation: 1,
        leaving: false,
        endpoint,
    }
}

/// Says how a fake engine answers a load.
pub(crate) fn answer(mood: Mood) -> Option<LoadResult> {
    match mood {
        Mood::Good => Some(LoadResult::Resident),
        Mood::Failing => Some(LoadResult::Failed),
        Mood::Losing => Some(LoadResult::Unknown),
        Mood::Silent => None,
    }
}
