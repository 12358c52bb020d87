//! Property test: no order of events on several instances, with pauses, restarts, disconnects and
//! lost or late answers of the log, runs the call of a key twice.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_calls::{
    AppendResult, Body, CallCoordinator, CallKey, CallRecord, CoordinatorAction,
    CoordinatorSettings, KeyedCall, LogPage, LogRecord, RecordedAnswer, Reply, RequestHash,
    SendResult,
};
use caraway_types::{Certainty, Reason, Refusal, Ticket};
use proptest::{prelude::*, test_runner::RngSeed};

const NODE_COUNT: usize = 3;
const RETENTION: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
enum Op {
    Call {
        node: usize,
        key: u8,
        body: u8,
    },
    /// Carries out a node's oldest action; `way` selects success or one of the failures.
    RunAction {
        node: usize,
        way: u8,
    },
    /// Delivers the oldest result of an action to its node.
    DeliverResult {
        node: usize,
    },
    /// Adds the records of the oldest late append to the log.
    FinishLateAppend,
    Tick {
        node: usize,
    },
    /// Drops the records of the log that are older than the retention.
    Trim,
    /// Advances the clock.
    Advance {
        ms: u64,
    },
    Restart {
        node: usize,
    },
    Disconnect {
        node: usize,
    },
}

#[derive(Debug)]
enum ActionResult {
    Appended(AppendResult),
    Page(Option<LogPage>),
    Ended(u64, SendResult),
}

struct Node {
    coordinator: CallCoordinator,
    /// Number of restarts; a node keeps its incarnation over them.
    restarts: u64,
    actions: VecDeque<CoordinatorAction>,
    results: VecDeque<ActionResult>,
    /// Requests whose callers wait for a reply.
    waiting: HashMap<Ticket, (CallKey, RequestHash)>,
}

struct Simulation {
    now: Instant,
    /// Records with the time at which they were added.
    log: Vec<(Instant, Arc<str>)>,
    oldest: usize,
    /// Appends without an answer whose records reach the log later.
    late_appends: VecDeque<Vec<Arc<str>>>,
    nodes: Vec<Node>,
    /// Latest request that ran under each key, with the offset of its intent.
    ran: HashMap<CallKey, (RequestHash, usize)>,
    calls: HashMap<Ticket, (CallKey, RequestHash)>,
    /// Requests that waited when their call ran, so that they must not be refused as not run.
    waited: HashSet<Ticket>,
    replied: HashSet<Ticket>,
    last_ticket: Ticket,
}

fn coordinator(node: usize, restarts: u64) -> CallCoordinator {
    let name = format!("i{node}");
    CallCoordinator::new(
        CoordinatorSettings {
            page: 3,
            batch: 4,
            ..Default::default()
        },
        name.into(),
        7,
        restarts,
    )
}

impl Simulation {
    fn new() -> Self {
        let nodes = (0..NODE_COUNT).map(|i| Node {
            coordinator: coordinator(i, 0),
            restarts: 0,
            actions: VecDeque::new(),
            results: VecDeque::new(),
            waiting: HashMap::new(),
        });
        Self {
            now: Instant::now(),
            log: Vec::new(),
            oldest: 0,
            late_appends: VecDeque::new(),
            nodes: nodes.collect(),
            ran: HashMap::new(),
            calls: HashMap::new(),
            waited: HashSet::new(),
            replied: HashSet::new(),
            last_ticket: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        let mut out = Vec::new();
        let now = self.now;
        let node_index = match op {
            Op::Call { node, key, body } => {
                self.call(node, key, body, &mut out);
                node
            }
            Op::RunAction { node, way } => {
                self.run_action(node, way);
                node
            }
            Op::DeliverResult { node } => {
                self.deliver(node, &mut out);
                node
            }
            Op::FinishLateAppend => {
                let records = self.late_appends.pop_front().unwrap_or_default();
                self.add_records(records);
                0
            }
            Op::Trim => {
                let is_retained =
                    |(added_at, _): &(Instant, _)| now.duration_since(*added_at) < RETENTION;
                self.oldest = self
                    .log
                    .iter()
                    .position(is_retained)
                    .unwrap_or(self.log.len());
                0
            }
            Op::Tick { node } => {
                self.nodes[node].coordinator.on_tick(now, &mut out);
                node
            }
            Op::Advance { ms } => {
                self.now += Duration::from_millis(ms);
                0
            }
            Op::Restart { node } => {
                let restarts = self.nodes[node].restarts + 1;
                self.nodes[node] = Node {
                    coordinator: coordinator(node, restarts),
                    restarts,
                    actions: VecDeque::new(),
                    results: VecDeque::new(),
                    waiting: HashMap::new(),
                };
                node
            }
            Op::Disconnect { node } => {
                let disconnected = self.nodes[node].waiting.keys().min().copied();
                if let Some(ticket) = disconnected {
                    self.nodes[node].waiting.remove(&ticket);
                    self.nodes[node].coordinator.on_disconnect(ticket);
                }
                node
            }
        };
        self.handle_actions(node_index, out);
    }

    fn call(&mut self, node: usize, key: u8, body: u8, out: &mut Vec<CoordinatorAction>) {
        self.last_ticket += 1;
        let key = CallKey {
            account: "coop".into(),
            service: "quotes".into(),
            key: format!("k{key}").into(),
        };
        let hash = RequestHash::of("POST", "/deposits", &[body]);
        let call = KeyedCall {
            ticket: self.last_ticket,
            key: key.clone(),
            hash,
            age: None,
            deadline: self.now + Duration::from_secs(3),
        };
        self.calls.insert(self.last_ticket, (key.clone(), hash));
        self.nodes[node]
            .waiting
            .insert(self.last_ticket, (key, hash));
        self.nodes[node].coordinator.on_call(self.now, call, out);
    }

    fn run_action(&mut self, node_index: usize, way: u8) {
        let Some(action) = self.nodes[node_index].actions.pop_front() else {
            return;
        };
        let result = match action {
            CoordinatorAction::Append(records) => ActionResult::Appended(self.append(records, way)),
            CoordinatorAction::Read { from, max } => ActionResult::Page(self.read(from, max, way)),
            CoordinatorAction::Send {
                ticket,
                nonce,
                until,
            } => ActionResult::Ended(nonce, self.send(node_index, (ticket, nonce), until, way)),
            other => panic!("not an action with a result: {other:?}"),
        };
        self.nodes[node_index].results.push_back(result);
    }

    fn append(&mut self, records: Vec<Arc<str>>, way: u8) -> AppendResult {
        match way {
            0 => return AppendResult::Failed,
            1 => return AppendResult::Unknown,
            2 => {
                self.late_appends.push_back(records);
                return AppendResult::Unknown;
            }
            _ => self.add_records(records),
        }
        if way == 3 {
            AppendResult::Unknown
        } else {
            AppendResult::Done(self.log.len() as u64)
        }
    }

    fn add_records(&mut self, records: Vec<Arc<str>>) {
        let now = self.now;
        self.log
            .extend(records.into_iter().map(|record| (now, record)));
    }

    /// Returns the offset of the intent whose call an instance sends.
    fn intent_offset(&self, node_index: usize, nonce: u64) -> usize {
        let (name, restarts) = (format!("i{node_index}"), self.nodes[node_index].restarts);
        let matches_nonce = |(_, data): &(_, Arc<str>)| {
            let owner = CallRecord::parse(data).unwrap().owner;
            *owner.instance == name && owner.process == restarts && owner.nonce == nonce
        };
        self.log
            .iter()
            .position(matches_nonce)
            .expect("sent before its intent was in the log")
    }

    fn read(&self, from: u64, max: u32, way: u8) -> Option<LogPage> {
        let first = usize::try_from(from).unwrap().max(self.oldest);
        let records = self.log.iter().enumerate().skip(first).take(max as usize);
        let records = records.map(|(offset, (_, data))| LogRecord {
            offset: offset as u64,
            data: data.clone(),
        });
        (way != 0).then(|| LogPage {
            oldest: self.oldest as u64,
            end: self.log.len() as u64,
            records: records.collect(),
        })
    }

    /// Runs a call, unless it is refused before it runs, and asserts that its key has not run
    /// before. A second run is allowed once the earlier intent has left the log.
    fn send(
        &mut self,
        node_index: usize,
        (ticket, nonce): (Ticket, u64),
        until: Instant,
        way: u8,
    ) -> SendResult {
        if way == 0 || self.now >= until {
            return SendResult::NotRun(Refusal::not_run(Reason::NoEndpoint, "refused"));
        }
        let (key, hash) = self.calls[&ticket].clone();
        let intent = self.intent_offset(node_index, nonce);
        if let Some((_, before)) = self.ran.insert(key.clone(), (hash, intent)) {
            assert!(
                before < self.oldest,
                "{key:?} ran twice, at {before} and {intent}"
            );
        }
        let same = |(k, h): &(CallKey, RequestHash)| *k == key && *h == hash;
        let waiting = self.nodes[node_index]
            .waiting
            .iter()
            .filter(|(_, call)| same(call));
        self.waited.extend(waiting.map(|(ticket, _)| *ticket));
        if way == 1 {
            return SendResult::InDoubt(Refusal::in_doubt(Reason::EndpointFailed, "lost"));
        }
        SendResult::Answered(recorded(&key))
    }

    fn deliver(&mut self, node_index: usize, out: &mut Vec<CoordinatorAction>) {
        let node = &mut self.nodes[node_index];
        match node.results.pop_front() {
            Some(ActionResult::Appended(ended)) => node.coordinator.on_append(self.now, ended, out),
            Some(ActionResult::Page(Some(page))) => node.coordinator.on_page(self.now, &page, out),
            Some(ActionResult::Page(None)) => node.coordinator.on_read_failed(self.now, out),
            Some(ActionResult::Ended(nonce, ended)) => {
                node.coordinator.on_send_result(self.now, nonce, ended, out);
            }
            None => {}
        }
    }

    fn handle_actions(&mut self, node_index: usize, out: Vec<CoordinatorAction>) {
        for action in out {
            match action {
                CoordinatorAction::Reply { ticket, reply } => {
                    self.reply(node_index, ticket, &reply);
                }
                other => self.nodes[node_index].actions.push_back(other),
            }
        }
    }

    fn reply(&mut self, node_index: usize, ticket: Ticket, reply: &Reply) {
        assert!(self.replied.insert(ticket), "{ticket} was answered twice");
        let Some((key, hash)) = self.nodes[node_index].waiting.remove(&ticket) else {
            return;
        };
        match reply {
            Reply::Answer(answer) => {
                assert_eq!(*answer, recorded(&key), "foreign answer");
                assert_eq!(self.ran[&key].0, hash, "answer to another request");
            }
            Reply::Refuse(refusal) if refusal.certainty == Certainty::NotRun => {
                assert!(!self.waited.contains(&ticket), "{ticket} ran: {refusal}");
            }
            Reply::Refuse(_) => {}
        }
    }

    fn is_idle(&self) -> bool {
        let idle = |node: &Node| node.coordinator.is_idle() && node.waiting.is_empty();
        self.nodes.iter().all(idle)
    }

    /// Runs all nodes without failures until every request has a reply.
    fn run_until_idle(&mut self) {
        for _ in 0..1500 {
            if self.is_idle() {
                break;
            }
            self.apply(Op::Advance { ms: 10 });
            for node in 0..NODE_COUNT {
                self.apply(Op::Tick { node });
                while !self.nodes[node].actions.is_empty() || !self.nodes[node].results.is_empty() {
                    self.apply(Op::RunAction { node, way: 9 });
                    self.apply(Op::DeliverResult { node });
                }
            }
        }
        for node in &self.nodes {
            assert!(node.waiting.is_empty(), "unanswered: {:?}", node.waiting);
            assert!(
                node.coordinator.is_idle(),
                "not idle: {:?}",
                node.coordinator
            );
        }
    }
}

fn recorded(key: &CallKey) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: Body::Text(format!("done {}", key.key).into()),
    }
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODE_COUNT;
    prop_oneof![
        3 => (node.clone(), 0u8..3, 0u8..10).prop_map(|(node, key, body)| Op::Call { node, key, body: body / 9 }),
        12 => (node.clone(), 0u8..10).prop_map(|(node, way)| Op::RunAction { node, way }),
        12 => node.clone().prop_map(|node| Op::DeliverResult { node }),
        2 => Just(Op::FinishLateAppend),
        5 => node.clone().prop_map(|node| Op::Tick { node }),
        6 => prop_oneof![8 => 1u64..40, 1 => 500u64..8000, 1 => 30_000u64..200_000].prop_map(|ms| Op::Advance { ms }),
        1 => Just(Op::Trim),
        1 => node.clone().prop_map(|node| Op::Restart { node }),
        1 => node.prop_map(|node| Op::Disconnect { node }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_key_runs_twice(ops in proptest::collection::vec(op(), 20..300)) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.apply(op);
        }
        while !simulation.late_appends.is_empty() {
            simulation.apply(Op::FinishLateAppend);
        }
        simulation.run_until_idle();
    }
}
