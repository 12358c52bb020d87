//! Property test: no order of events on several instances, with pauses, restarts, disconnects and
//! lost or late answers of the log, runs the call of a key twice.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_calls::{
    Appending, Body, CallKey, CallRecord, Ended, KeyedCall, LogPage, LogRecord, Once, OnceAction,
    OnceSettings, Recorded, Reply, RequestHash,
};
use caraway_types::{Certainty, Reason, Refusal, Ticket};
use proptest::{prelude::*, test_runner::RngSeed};

const NODES: usize = 3;
const RETENTION: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
enum Op {
    Call {
        node: usize,
        key: u8,
        body: u8,
    },
    /// Carries out a node's oldest action; `way` selects success or one of the failures.
    Serve {
        node: usize,
        way: u8,
    },
    /// Delivers the oldest result of an action to its node.
    Deliver {
        node: usize,
    },
    /// Adds the records of the oldest late append to the log.
    Land,
    Tick {
        node: usize,
    },
    /// Drops the records of the log that are older than the retention.
    Trim,
    /// Advances the clock.
    Pass {
        ms: u64,
    },
    Restart {
        node: usize,
    },
    Gone {
        node: usize,
    },
}

#[derive(Debug)]
enum Answer {
    Appended(Appending),
    Page(Option<LogPage>),
    Ended(u64, Ended),
}

struct Node {
    once: Once,
    /// Number of restarts; a node keeps its incarnation over them.
    life: u64,
    asked: VecDeque<OnceAction>,
    answers: VecDeque<Answer>,
    /// Requests whose callers wait for a reply.
    waiting: HashMap<Ticket, (CallKey, RequestHash)>,
}

struct World {
    now: Instant,
    /// Records with the time at which they were added.
    log: Vec<(Instant, Arc<str>)>,
    oldest: usize,
    /// Appends without an answer whose records reach the log later.
    late: VecDeque<Vec<Arc<str>>>,
    nodes: Vec<Node>,
    /// Latest request that ran under each key, with the offset of its intent.
    ran: HashMap<CallKey, (RequestHash, usize)>,
    calls: HashMap<Ticket, (CallKey, RequestHash)>,
    /// Requests that waited when their call ran, so that they must not be refused as not run.
    joined: HashSet<Ticket>,
    answered: HashSet<Ticket>,
    tickets: Ticket,
}

fn once(node: usize, life: u64) -> Once {
    let name = format!("i{node}");
    Once::new(
        OnceSettings {
            page: 3,
            batch: 4,
            ..Default::default()
        },
        name.into(),
        7,
        life,
    )
}

impl World {
    fn new() -> Self {
        let nodes = (0..NODES).map(|i| Node {
            once: once(i, 0),
            life: 0,
            asked: VecDeque::new(),
            answers: VecDeque::new(),
            waiting: HashMap::new(),
        });
        Self {
            now: Instant::now(),
            log: Vec::new(),
            oldest: 0,
            late: VecDeque::new(),
            nodes: nodes.collect(),
            ran: HashMap::new(),
            calls: HashMap::new(),
            joined: HashSet::new(),
            answered: HashSet::new(),
            tickets: 0,
        }
    }

    fn act(&mut self, op: Op) {
        let mut out = Vec::new();
        let now = self.now;
        let at = match op {
            Op::Call { node, key, body } => {
                self.call(node, key, body, &mut out);
                node
            }
            Op::Serve { node, way } => {
                self.serve(node, way);
                node
            }
            Op::Deliver { node } => {
                self.deliver(node, &mut out);
                node
            }
            Op::Land => {
                let records = self.late.pop_front().unwrap_or_default();
                self.extend(records);
                0
            }
            Op::Trim => {
                let kept = |(at, _): &(Instant, _)| now.duration_since(*at) < RETENTION;
                self.oldest = self.log.iter().position(kept).unwrap_or(self.log.len());
                0
            }
            Op::Tick { node } => {
                self.nodes[node].once.on_tick(now, &mut out);
                node
            }
            Op::Pass { ms } => {
                self.now += Duration::from_millis(ms);
                0
            }
            Op::Restart { node } => {
                let life = self.nodes[node].life + 1;
                self.nodes[node] = Node {
                    once: once(node, life),
                    life,
                    asked: VecDeque::new(),
                    answers: VecDeque::new(),
                    waiting: HashMap::new(),
                };
                node
            }
            Op::Gone { node } => {
                let gone = self.nodes[node].waiting.keys().min().copied();
                if let Some(ticket) = gone {
                    self.nodes[node].waiting.remove(&ticket);
                    self.nodes[node].once.on_gone(ticket);
                }
                node
            }
        };
        self.take(at, out);
    }

    fn call(&mut self, node: usize, key: u8, body: u8, out: &mut Vec<OnceAction>) {
        self.tickets += 1;
        let key = CallKey {
            account: "coop".into(),
            service: "quotes".into(),
            key: format!("k{key}").into(),
        };
        let hash = RequestHash::of("POST", "/deposits", &[body]);
        let call = KeyedCall {
            ticket: self.tickets,
            key: key.clone(),
            hash,
            age: None,
            deadline: self.now + Duration::from_secs(3),
        };
        self.calls.insert(self.tickets, (key.clone(), hash));
        self.nodes[node].waiting.insert(self.tickets, (key, hash));
        self.nodes[node].once.on_call(self.now, call, out);
    }

    fn serve(&mut self, at: usize, way: u8) {
        let Some(action) = self.nodes[at].asked.pop_front() else {
            return;
        };
        let answer = match action {
            OnceAction::Append(records) => Answer::Appended(self.append(records, way)),
            OnceAction::Read { from, max } => Answer::Page(self.read(from, max, way)),
            OnceAction::Send {
                ticket,
                nonce,
                until,
            } => Answer::Ended(nonce, self.send(at, (ticket, nonce), until, way)),
            other => panic!("not for the outside: {other:?}"),
        };
        self.nodes[at].answers.push_back(answer);
    }

    fn append(&mut self, records: Vec<Arc<str>>, way: u8) -> Appending {
        match way {
            0 => return Appending::Failed,
            1 => return Appending::Unknown,
            2 => {
                self.late.push_back(records);
                return Appending::Unknown;
            }
            _ => self.extend(records),
        }
        if way == 3 {
            Appending::Unknown
        } else {
            Appending::Done(self.log.len() as u64)
        }
    }

    fn extend(&mut self, records: Vec<Arc<str>>) {
        let now = self.now;
        self.log
            .extend(records.into_iter().map(|record| (now, record)));
    }

    /// Returns the offset of the intent whose call an instance sends.
    fn intent(&self, at: usize, nonce: u64) -> usize {
        let (name, life) = (format!("i{at}"), self.nodes[at].life);
        let is_it = |(_, data): &(_, Arc<str>)| {
            let owner = CallRecord::parse(data).unwrap().owner;
            *owner.instance == name && owner.process == life && owner.nonce == nonce
        };
        self.log
            .iter()
            .position(is_it)
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
        at: usize,
        (ticket, nonce): (Ticket, u64),
        until: Instant,
        way: u8,
    ) -> Ended {
        if way == 0 || self.now >= until {
            return Ended::NotRun(Refusal::not_run(Reason::NoEndpoint, "refused"));
        }
        let (key, hash) = self.calls[&ticket].clone();
        let intent = self.intent(at, nonce);
        if let Some((_, before)) = self.ran.insert(key.clone(), (hash, intent)) {
            assert!(
                before < self.oldest,
                "{key:?} ran twice, at {before} and {intent}"
            );
        }
        let same = |(k, h): &(CallKey, RequestHash)| *k == key && *h == hash;
        let with = self.nodes[at].waiting.iter().filter(|(_, call)| same(call));
        self.joined.extend(with.map(|(ticket, _)| *ticket));
        if way == 1 {
            return Ended::InDoubt(Refusal::in_doubt(Reason::EndpointFailed, "lost"));
        }
        Ended::Answered(recorded(&key))
    }

    fn deliver(&mut self, at: usize, out: &mut Vec<OnceAction>) {
        let node = &mut self.nodes[at];
        match node.answers.pop_front() {
            Some(Answer::Appended(ended)) => node.once.on_append(self.now, ended, out),
            Some(Answer::Page(Some(page))) => node.once.on_page(self.now, &page, out),
            Some(Answer::Page(None)) => node.once.on_read_failed(self.now, out),
            Some(Answer::Ended(nonce, ended)) => node.once.on_ended(self.now, nonce, ended, out),
            None => {}
        }
    }

    fn take(&mut self, at: usize, out: Vec<OnceAction>) {
        for action in out {
            match action {
                OnceAction::Reply { ticket, reply } => self.reply(at, ticket, &reply),
                other => self.nodes[at].asked.push_back(other),
            }
        }
    }

    fn reply(&mut self, at: usize, ticket: Ticket, reply: &Reply) {
        assert!(self.answered.insert(ticket), "{ticket} was answered twice");
        let Some((key, hash)) = self.nodes[at].waiting.remove(&ticket) else {
            return;
        };
        match reply {
            Reply::Answer(answer) => {
                assert_eq!(*answer, recorded(&key), "foreign answer");
                assert_eq!(self.ran[&key].0, hash, "answer to another request");
            }
            Reply::Refuse(refusal) if refusal.certainty == Certainty::NotRun => {
                assert!(!self.joined.contains(&ticket), "{ticket} ran: {refusal}");
            }
            Reply::Refuse(_) => {}
        }
    }

    fn is_settled(&self) -> bool {
        let idle = |node: &Node| node.once.is_idle() && node.waiting.is_empty();
        self.nodes.iter().all(idle)
    }

    /// Runs all nodes without failures until every request has a reply.
    fn quiesce(&mut self) {
        for _ in 0..1500 {
            if self.is_settled() {
                break;
            }
            self.act(Op::Pass { ms: 10 });
            for node in 0..NODES {
                self.act(Op::Tick { node });
                while !self.nodes[node].asked.is_empty() || !self.nodes[node].answers.is_empty() {
                    self.act(Op::Serve { node, way: 9 });
                    self.act(Op::Deliver { node });
                }
            }
        }
        for node in &self.nodes {
            assert!(node.waiting.is_empty(), "unanswered: {:?}", node.waiting);
            assert!(node.once.is_idle(), "left over: {:?}", node.once);
        }
    }
}

fn recorded(key: &CallKey) -> Recorded {
    Recorded {
        status: 200,
        content: "text/plain".into(),
        body: Body::Text(format!("done {}", key.key).into()),
    }
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NODES;
    prop_oneof![
        3 => (node.clone(), 0u8..3, 0u8..10).prop_map(|(node, key, body)| Op::Call { node, key, body: body / 9 }),
        12 => (node.clone(), 0u8..10).prop_map(|(node, way)| Op::Serve { node, way }),
        12 => node.clone().prop_map(|node| Op::Deliver { node }),
        2 => Just(Op::Land),
        5 => node.clone().prop_map(|node| Op::Tick { node }),
        6 => prop_oneof![8 => 1u64..40, 1 => 500u64..8000, 1 => 30_000u64..200_000].prop_map(|ms| Op::Pass { ms }),
        1 => Just(Op::Trim),
        1 => node.clone().prop_map(|node| Op::Restart { node }),
        1 => node.prop_map(|node| Op::Gone { node }),
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
        let mut world = World::new();
        for op in ops {
            world.act(op);
        }
        while !world.late.is_empty() {
            world.act(Op::Land);
        }
        world.quiesce();
    }
}
