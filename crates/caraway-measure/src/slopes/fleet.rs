//! A fleet of nodes under a virtual clock: control messages, processor time and memory of each.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Result, ensure};
use caraway_members::ListedMember;
use caraway_node::{
    AttemptOutcome, EndpointKind, EndpointSettings, Input, LoadResult, Node, NodeSettings, Output,
    Submission,
};
use caraway_records::State;
use caraway_slots::StoreLimits;
use caraway_types::{AdapterRef, Class, InstanceId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use serde::Serialize;

use crate::{
    cpu,
    deployment::{ACCOUNT, records},
};

/// Replicas for each instance, as in the target.
const REPLICAS_PER_INSTANCE: f64 = 600.0 / 380.0;
/// Zones of a large fleet, as in the target.
const ZONES: usize = 7;
/// Adapters, as in the target.
const ADAPTERS: usize = 10_000;
/// Loads a second that the store allows for each replica, as with the deployments of today.
const LOADS_PER_REPLICA: f64 = 3.0 / 9.0;
/// Bytes that HTTP and TCP add to one message and its empty answer, both ways together.
const EXCHANGE_BYTES: usize = 420;
const STEP: Duration = Duration::from_millis(10);
const DELAY: Duration = Duration::from_millis(2);
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time of a request: 2.3 million tokens over 9,600 requests, at 33 ms each.
const RUN_TIME: Duration = Duration::from_secs(8);
/// Adapter slots of a replica, so that the target's adapters fit into its replicas.
const SLOTS: u32 = 16;
/// Places of a batch: 9,600 requests a second of 8 s over 600 replicas, and half as many spare.
const BATCH: u32 = 192;
const WARM_UP: Duration = Duration::from_secs(40);

/// What one daemon of the fleet costs for control.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Point {
    /// Instances of the fleet.
    pub(crate) instances: usize,
    /// Requests a second that each instance takes.
    pub(crate) requests: f64,
    /// Control messages that each sends in a second.
    pub(crate) messages: f64,
    /// Control bytes that each sends and receives in a second.
    pub(crate) bytes: f64,
    /// Bytes of each part of the messages, sent in a second, without their envelopes.
    pub(crate) parts: Parts,
    /// Share of one core that its decisions take.
    pub(crate) core: f64,
    /// Memory of its decisions, in bytes.
    pub(crate) memory: f64,
}

/// Bytes of the parts of a message.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Parts {
    /// Liveness and leases.
    pub(crate) heartbeat: f64,
    /// Changes of residency.
    pub(crate) delta: f64,
    /// What loads would cost.
    pub(crate) room: f64,
    /// Wants, grants and returns of permits.
    pub(crate) permits: f64,
}

/// Something that reaches a node later.
type Due = (Reverse<(Instant, u64)>, usize);

struct Fleet {
    now: Instant,
    nodes: Vec<Node>,
    index: BTreeMap<InstanceId, usize>,
    queue: BinaryHeap<Due>,
    inputs: BTreeMap<u64, Input>,
    serial: u64,
    counting: bool,
    bytes: usize,
    messages: usize,
    parts: Parts,
    busy: Duration,
}

/// Runs a fleet of `instances`, each with `rate` requests a second, for `time`.
///
/// # Errors
///
/// Returns an error when a record is refused.
pub(crate) fn run(instances: usize, rate: f64, time: Duration) -> Result<Point> {
    let before = cpu::resident_bytes();
    let mut fleet = Fleet::new(instances)?;
    let mut arrivals = Arrivals::new(instances, rate);
    let start = fleet.now;
    while fleet.now < start + WARM_UP + time {
        fleet.counting = fleet.now >= start + WARM_UP;
        arrivals.submit(&mut fleet);
        fleet.step();
    }
    let memory = cpu::resident_bytes().saturating_sub(before);
    Ok(fleet.point(rate, time, memory))
}

struct Arrivals {
    random: ChaCha8Rng,
    popularity: Zipf<f64>,
    per_step: f64,
    instances: usize,
    ticket: u64,
}

impl Arrivals {
    fn new(instances: usize, rate: f64) -> Self {
        let popularity = Zipf::new(ADAPTERS as f64, 1.0);
        Self {
            random: ChaCha8Rng::seed_from_u64(1),
            popularity: popularity.expect("the parameters are in range"),
            per_step: rate * STEP.as_secs_f64(),
            instances,
            ticket: 0,
        }
    }

    fn submit(&mut self, fleet: &mut Fleet) {
        for node in 0..self.instances {
            if self.random.random::<f64>() < self.per_step {
                let submission = self.submission(fleet.now);
                fleet.give(node, Input::Submit(submission));
            }
        }
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rank is a small whole number"
    )]
    fn submission(&mut self, now: Instant) -> Submission {
        self.ticket += 1;
        let rank = self.popularity.sample(&mut self.random) as usize - 1;
        Submission {
            ticket: self.ticket,
            account: ACCOUNT.into(),
            adapter: AdapterRef::new(format!("adapter-{rank}"), "v1"),
            class: Class::Interactive,
            deadline: now + Duration::from_secs(30),
            max_tokens: 64,
            prefix_hash: rank as u64,
            forwarded_by: None,
            hops: 0,
        }
    }
}

impl Fleet {
    fn new(instances: usize) -> Result<Self> {
        let now = Instant::now();
        let state = state()?;
        let endpoints = endpoints(instances);
        let nodes: Vec<Node> = (0..instances)
            .map(|n| Node::new(settings(instances, n, &endpoints), now))
            .collect();
        let mut fleet = Self {
            now,
            nodes,
            index: (0..instances).map(|n| (instance(n), n)).collect(),
            queue: BinaryHeap::new(),
            inputs: BTreeMap::new(),
            serial: 0,
            counting: false,
            bytes: 0,
            messages: 0,
            parts: Parts::default(),
            busy: Duration::ZERO,
        };
        let list: Vec<ListedMember> = (0..instances).map(|n| listed(instances, n)).collect();
        for n in 0..instances {
            let mut out = Vec::new();
            fleet.nodes[n].set_config(now, Arc::clone(&state), &mut out);
            fleet.carry_out(n, out);
            fleet.give(n, Input::Listing(list.clone()));
        }
        Ok(fleet)
    }

    /// Lets all that is due happen, then ticks every node.
    fn step(&mut self) {
        let end = self.now + STEP;
        while let Some((Reverse((at, serial)), node)) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(input) = self.inputs.remove(&serial) {
                self.give(node, input);
            }
        }
        self.now = end;
        for node in 0..self.nodes.len() {
            self.give(node, Input::Tick);
        }
    }

    fn give(&mut self, node: usize, input: Input) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.nodes[node].handle(self.now, input, &mut out);
        if self.counting {
            self.busy += start.elapsed();
        }
        self.carry_out(node, out);
    }

    fn carry_out(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Gossip { peer, gossip } => self.send(&peer, gossip),
                Output::Start { ticket, .. } | Output::Forward { ticket, .. } => {
                    self.later(
                        node,
                        RUN_TIME,
                        Input::Finished(ticket, AttemptOutcome::Complete),
                    );
                }
                Output::Load { endpoint, load, .. } => {
                    let input = Input::Loaded(endpoint, load, LoadResult::Resident);
                    self.later(node, LOAD_TIME, input);
                }
                Output::Unload { endpoint, load, .. } => {
                    self.later(node, DELAY, Input::Unloaded(endpoint, load, true));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, peer: &InstanceId, gossip: caraway_node::Gossip) {
        if self.counting {
            self.messages += 1;
            self.bytes += size(&gossip) + EXCHANGE_BYTES;
            self.parts.add(&gossip);
        }
        if let Some(node) = self.index.get(peer).copied() {
            self.later(node, DELAY, Input::Gossip(gossip));
        }
    }

    fn later(&mut self, node: usize, delay: Duration, input: Input) {
        self.serial += 1;
        self.inputs.insert(self.serial, input);
        let due = Reverse((self.now + delay, self.serial));
        self.queue.push((due, node));
    }

    fn point(&self, requests: f64, time: Duration, memory: u64) -> Point {
        let each = self.nodes.len() as f64 * time.as_secs_f64();
        let part = |bytes: f64| bytes / each;
        Point {
            instances: self.nodes.len(),
            requests,
            messages: self.messages as f64 / each,
            // What one daemon sends, another receives.
            bytes: 2.0 * self.bytes as f64 / each,
            parts: Parts {
                heartbeat: part(self.parts.heartbeat),
                delta: part(self.parts.delta),
                room: part(self.parts.room),
                permits: part(self.parts.permits),
            },
            core: self.busy.as_secs_f64() / each,
            memory: memory as f64 / self.nodes.len() as f64,
        }
    }
}

impl Parts {
    fn add(&mut self, gossip: &caraway_node::Gossip) {
        self.heartbeat += gossip.heartbeat.as_ref().map_or(0, size) as f64;
        self.delta += gossip.delta.as_ref().map_or(0, size) as f64;
        self.room += gossip.capacity.as_ref().map_or(0, size) as f64;
        let want = gossip.permit_request.as_ref().map_or(0, size);
        let permits = want + size(&gossip.grants) + size(&gossip.returns);
        self.permits += permits as f64;
    }
}

fn size(message: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len())
}

fn state() -> Result<Arc<State>> {
    let mut state = State::default();
    for (offset, record) in (0..).zip(records(ADAPTERS)) {
        let outcome = state.apply(offset, &record);
        ensure!(outcome.is_accepted(), "record {offset} is refused");
    }
    Ok(Arc::new(state))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number of replicas is small and positive"
)]
fn endpoints(instances: usize) -> Vec<EndpointSettings> {
    let count = (instances as f64 * REPLICAS_PER_INSTANCE).ceil() as usize;
    let endpoint = |n: usize| EndpointSettings {
        id: format!("engine-{n:03}").into(),
        zone: zone(instances, n).into(),
        slots: SLOTS,
        max_batch: BATCH,
        checks_fencing: false,
        kind: EndpointKind::Engine,
    };
    (0..count).map(endpoint).collect()
}

fn settings(instances: usize, n: usize, endpoints: &[EndpointSettings]) -> NodeSettings {
    NodeSettings {
        id: instance(n),
        zone: zone(instances, n).into(),
        endpoints: endpoints.to_vec(),
        store: StoreLimits {
            rate: endpoints.len() as f64 * LOADS_PER_REPLICA,
            transit: u32::try_from(2 * endpoints.len()).unwrap_or(u32::MAX),
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
        },
        ..NodeSettings::default()
    }
}

fn listed(instances: usize, n: usize) -> ListedMember {
    ListedMember {
        id: instance(n),
        zone: zone(instances, n).into(),
        incarnation: 1,
        leaving: false,
        endpoint: false,
    }
}

fn instance(n: usize) -> InstanceId {
    format!("entry-{n:03}").into()
}

/// Spreads a small fleet over 3 zones and a large one over those of the target.
fn zone(instances: usize, n: usize) -> String {
    let zones = if instances < 2 * ZONES { 3 } else { ZONES };
    format!("zone-{}", n % zones)
}
