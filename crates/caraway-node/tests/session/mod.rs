//! [`Session`]: a few nodes with simulated engines, platform list and network, driven by text
//! commands.

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

pub(crate) use engine::{Engine, LoadBehavior};

/// Interval between two ticks of every node, in milliseconds.
const TICK_MS: u64 = 20;
/// Number of ticks between two reports of each engine, and between two platform lists.
const REPORT_TICKS: u64 = 25;
/// Number of ticks after which a message or an answer arrives.
const DELAY_TICKS: u64 = 1;

/// A request: the node that serves or forwards it, and its ticket there.
type RequestKey = (InstanceId, u64);

/// A few nodes with simulated engines, platform list and network.
pub(crate) struct Session {
    start: Instant,
    ticks: u64,
    /// Nodes with their availability zones.
    nodes: BTreeMap<InstanceId, (Node, String)>,
    pub(crate) engines: BTreeMap<String, Engine>,
    /// Inputs by the tick at which they arrive.
    scheduled: BTreeMap<u64, Vec<(InstanceId, Input)>>,
    /// Nodes that receive no input until they are resumed.
    paused: BTreeSet<InstanceId>,
    /// Zones that are cut off from all others.
    cut: BTreeSet<String>,
    /// Whether nodes receive the platform list.
    list_enabled: bool,
    /// Engine and load of each running attempt.
    running: BTreeMap<RequestKey, (String, String)>,
    /// Submissions, with the request of the peer that forwarded them, if any.
    submissions: BTreeMap<RequestKey, (Submission, Option<RequestKey>)>,
    /// Ticket of the last forwarded request.
    last_forwarded: u64,
    /// Output of the current command.
    log: String,
}

impl Session {
    /// Creates a session from lists separated by spaces: nodes as `name:zone`, and engines as
    /// `name:zone:slots`, or `name:zone:slots:checks` if they check fencing tokens.
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
            scheduled: BTreeMap::new(),
            paused: BTreeSet::new(),
            cut: BTreeSet::new(),
            list_enabled: true,
            running: BTreeMap::new(),
            submissions: BTreeMap::new(),
            last_forwarded: 100,
            log: String::new(),
        }
    }

    /// Executes a command and returns the log of what happened, one indented line for each event.
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
                self.finish(node, ticket.parse().unwrap(), AttemptOutcome::Complete);
            }
            ["cancel", node, ticket] => self.handle(node, Input::Cancel(ticket.parse().unwrap())),
            ["pause", node] => drop(self.paused.insert((*node).into())),
            ["resume", node] => drop(self.paused.remove(*node)),
            ["kill", node] => drop(self.nodes.remove(*node)),
            ["leave", node] => self.handle(node, Input::Leave),
            ["cut", zone] => drop(self.cut.insert((*zone).into())),
            ["heal", zone] => drop(self.cut.remove(*zone)),
            ["list", state] => self.list_enabled = *state == "on",
            ["engine", id, "restart"] => self.restart(id),
            ["engine", id, behavior] => {
                self.engines.get_mut(*id).unwrap().load_behavior = LoadBehavior::parse(behavior);
            }
            other => panic!("unknown command {other:?}"),
        }
        std::mem::take(&mut self.log)
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ticks * TICK_MS)
    }

    /// Advances the time, delivering scheduled inputs and ticks.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.ticks += 1;
            if self.ticks % REPORT_TICKS == 1 {
                self.report();
            }
            let due = self.scheduled.remove(&self.ticks).unwrap_or_default();
            for (node, input) in due {
                if self.paused.contains(&node) {
                    let next = self.scheduled.entry(self.ticks + 1).or_default();
                    next.push((node, input));
                } else {
                    self.handle(&node, input);
                }
            }
            let active = self.nodes.keys().filter(|n| !self.paused.contains(*n));
            for node in active.cloned().collect::<Vec<_>>() {
                self.handle(&node, Input::Tick);
            }
        }
    }

    /// Schedules an input to arrive after the network delay.
    fn schedule(&mut self, node: &str, input: Input) {
        let due = self.scheduled.entry(self.ticks + DELAY_TICKS).or_default();
        due.push((node.into(), input));
    }

    /// Passes an input to a node, unless it was killed, and executes its outputs.
    fn handle(&mut self, node: &str, input: Input) {
        let now = self.now();
        let mut outputs = Vec::new();
        if let Some((target, _)) = self.nodes.get_mut(node) {
            target.handle(now, input, &mut outputs);
        }
        for output in outputs {
            self.execute(node, output);
        }
    }

    /// Adds a line with the current time, in milliseconds, to the log.
    fn log_event(&mut self, text: &str) {
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
        self.submissions.insert(key, (submission.clone(), None));
        self.handle(node, Input::Submit(submission));
    }

    /// Forwards a request to a peer, or ends it as not run if the peer cannot be reached.
    fn forward(&mut self, node: &str, ticket: u64, peer: &InstanceId) {
        let key = (InstanceId::from(node), ticket);
        let mut submission = self.submissions[&key].0.clone();
        if !self.reaches(node, peer) {
            self.log_event(&format!("{node} cannot reach {peer} with {ticket}"));
            self.schedule(node, Input::Finished(ticket, AttemptOutcome::NotRun));
            return;
        }
        self.last_forwarded += 1;
        submission.ticket = self.last_forwarded;
        submission.forwarded_by = Some(node.into());
        submission.hops += 1;
        self.log_event(&format!(
            "{node} forwards {ticket} to {peer} as {}",
            self.last_forwarded
        ));
        let peer_key = (peer.clone(), self.last_forwarded);
        self.submissions
            .insert(peer_key, (submission.clone(), Some(key)));
        self.schedule(peer, Input::Submit(submission));
    }

    /// Returns whether two nodes can exchange messages.
    fn reaches(&self, node: &str, peer: &str) -> bool {
        let zone = |id: &str| self.nodes.get(id).map(|(_, z)| z.clone());
        let (a, b) = (zone(node), zone(peer));
        let is_cut = |z: &Option<String>| z.as_ref().is_none_or(|z| self.cut.contains(z));
        b.is_some() && (a == b || !is_cut(&a) && !is_cut(&b))
    }

    /// Ends a request and its attempt, and reports a complete one to the peer that forwarded it.
    pub(crate) fn finish(&mut self, node: &str, ticket: u64, outcome: AttemptOutcome) {
        if let Some((engine, load)) = self.running.remove(&(node.into(), ticket)) {
            self.engines.get_mut(&engine).unwrap().end(&load);
        }
        self.handle(node, Input::Finished(ticket, outcome));
        let from = self
            .submissions
            .get(&(node.into(), ticket))
            .and_then(|a| a.1.clone());
        if let Some((sender, sender_ticket)) = from.filter(|_| outcome == AttemptOutcome::Complete)
        {
            self.schedule(&sender, Input::Finished(sender_ticket, outcome));
        }
    }

    /// Executes an output of a node.
    fn execute(&mut self, node: &str, output: Output) {
        match output {
            Output::Start {
                ticket,
                endpoint,
                load,
                ..
            } => {
                let (adapter, _) = load.rsplit_once('#').unwrap();
                self.log_event(&format!(
                    "{node} starts {ticket} on {endpoint} with {adapter}"
                ));
                if self.engines.get_mut(&*endpoint).unwrap().start(&load) {
                    let key = (node.into(), ticket);
                    self.running
                        .insert(key, (endpoint.to_string(), load.to_string()));
                } else {
                    self.log_event(&format!("! {endpoint} does not have {adapter}"));
                    self.schedule(node, Input::Finished(ticket, AttemptOutcome::NotResident));
                }
            }
            Output::Forward { ticket, peer } => self.forward(node, ticket, &peer),
            Output::Refuse { ticket, refusal } => {
                let retry = refusal.retry_after.map(u64::from);
                let text = format!(
                    "{node} refuses {ticket}: {:?} {:?} {retry:?}",
                    refusal.reason, refusal.certainty
                );
                self.log_event(&text);
                let from = self
                    .submissions
                    .get(&(node.into(), ticket))
                    .and_then(|a| a.1.clone());
                if let Some((sender, sender_ticket)) = from {
                    self.schedule(
                        &sender,
                        Input::Finished(sender_ticket, AttemptOutcome::NotRun),
                    );
                }
            }
            Output::Cancel { ticket } => self.log_event(&format!("{node} cancels {ticket}")),
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
                self.log_event(&format!("{node} loads {adapter} on {endpoint}: {result:?}"));
                if let Some(result) = result {
                    self.schedule(node, Input::Loaded(endpoint, load, result));
                }
            }
            Output::Unload {
                endpoint,
                load,
                fence,
            } => {
                let engine = self.engines.get_mut(&*endpoint).unwrap();
                let (confirmed, was_in_use) = engine.unload(&load, fence);
                let (adapter, _) = load.rsplit_once('#').unwrap();
                self.log_event(&format!(
                    "{node} unloads {adapter} on {endpoint}: {confirmed}"
                ));
                if was_in_use {
                    self.log_event(&format!("! {adapter} was in use on {endpoint}"));
                }
                self.schedule(node, Input::Unloaded(endpoint, load, confirmed));
            }
            Output::Gossip { peer, gossip } => {
                if self.reaches(node, &peer) {
                    self.schedule(&peer, Input::Gossip(gossip));
                }
            }
        }
    }

    /// Restarts an engine; the attempts that ran on it end as not run.
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

    /// Schedules the platform list and the reports of the engines for the nodes.
    fn report(&mut self) {
        let nodes: Vec<(InstanceId, String)> = self
            .nodes
            .iter()
            .map(|(id, (_, zone))| (id.clone(), zone.clone()))
            .collect();
        let list: Vec<ListedMember> = nodes
            .iter()
            .map(|(id, zone)| list_entry(id, zone, false))
            .collect();
        let engines = self
            .engines
            .iter()
            .map(|(id, e)| list_entry(id, &e.zone, true));
        let list: Vec<ListedMember> = list.into_iter().chain(engines).collect();
        for (node, zone) in nodes {
            if self.list_enabled && !self.cut.contains(&zone) {
                self.schedule(&node, Input::Listing(list.clone()));
            }
            let zone_engines = self.engines.iter().filter(|(_, e)| e.zone == zone);
            let reports: Vec<Input> = zone_engines
                .map(|(id, e)| Input::Report(id.as_str().into(), e.report()))
                .collect();
            for report in reports {
                self.schedule(&node, report);
            }
        }
    }
}

fn list_entry(id: &str, zone: &str, endpoint: bool) -> ListedMember {
    ListedMember {
        id: id.into(),
        zone: zone.into(),
        incarnation: 1,
        leaving: false,
        endpoint,
    }
}

/// Returns the result of a load that the node receives, if any.
pub(crate) fn load_result(behavior: LoadBehavior) -> Option<LoadResult> {
    match behavior {
        LoadBehavior::Succeed => Some(LoadResult::Resident),
        LoadBehavior::Fail => Some(LoadResult::Failed),
        LoadBehavior::LoseAnswers => Some(LoadResult::Unknown),
        LoadBehavior::NeverAnswer => None,
    }
}
