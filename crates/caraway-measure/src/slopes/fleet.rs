//! Simulates a fleet of nodes under a virtual clock; measures their control messages, CPU time and
//! memory.

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
    deployment::{ACCOUNT, config_records},
    process,
};

/// Replicas for each instance, as in the target deployment.
const REPLICAS_PER_INSTANCE: f64 = 600.0 / 380.0;
/// Zones of a large fleet, as in the target deployment.
const TARGET_ZONES: usize = 7;
/// Adapters, as in the target deployment.
const ADAPTERS: usize = 10_000;
/// Loads per second that the store allows for each replica, as in the present deployments.
const LOADS_PER_REPLICA: f64 = 3.0 / 9.0;
/// Bytes that HTTP and TCP add to one message and its empty answer, in both directions together.
const ENVELOPE_BYTES: usize = 420;
/// Interval of the nodes' ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Transit time of a gossip message, and time of an unload.
const MESSAGE_DELAY: Duration = Duration::from_millis(2);
/// Time of an adapter load.
const LOAD_TIME: Duration = Duration::from_millis(250);
/// Time of a request: 2.3 million tokens over 9,600 requests, at 33 ms each.
const REQUEST_TIME: Duration = Duration::from_secs(8);
/// Adapter slots of a replica; enough for the target's adapters to fit into its replicas.
const SLOTS_PER_REPLICA: u32 = 16;
/// Batch size of a replica: 9,600 requests per second of 8 s each over 600 replicas, plus half as
/// many spare.
const MAX_BATCH: u32 = 192;
/// Virtual time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(40);

/// Cost of control for one node of a fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Point {
    /// Instances of the fleet.
    pub(crate) instances: usize,
    /// Requests per second that each instance receives.
    pub(crate) requests: f64,
    /// Control messages that an instance sends per second.
    pub(crate) messages: f64,
    /// Control bytes that an instance sends and receives per second.
    pub(crate) bytes: f64,
    /// Bytes of each part of the messages, sent per second, without HTTP and TCP.
    pub(crate) parts: Parts,
    /// Share of one core that the node's input handling uses.
    pub(crate) core: f64,
    /// Memory of a node, in bytes.
    pub(crate) memory: f64,
}

/// Bytes by part of the gossip message.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Parts {
    /// Liveness and leases: the heartbeat.
    pub(crate) heartbeat: f64,
    /// Changes of residency.
    pub(crate) delta: f64,
    /// Cost of further loads on the sender's replicas.
    pub(crate) room: f64,
    /// Requests, grants and returns of load permits.
    pub(crate) permits: f64,
}

/// Time and id of a scheduled input, earliest first, with the index of its node.
type QueueEntry = (Reverse<(Instant, u64)>, usize);

/// The nodes with the virtual clock and the messages between them.
struct Fleet {
    now: Instant,
    nodes: Vec<Node>,
    node_indices: BTreeMap<InstanceId, usize>,
    queue: BinaryHeap<QueueEntry>,
    /// Scheduled inputs by their id.
    inputs: BTreeMap<u64, Input>,
    last_input_id: u64,
    /// Whether the warm-up is over, so that costs count.
    is_measuring: bool,
    bytes: usize,
    messages: usize,
    parts: Parts,
    /// Real time that the nodes spent handling inputs.
    handling_time: Duration,
}

/// Simulates a fleet of `instances`, each with `rate` requests per second, and measures it for
/// `time` after a warm-up.
///
/// # Errors
///
/// Returns an error when a configuration record isn't accepted.
pub(crate) fn run(instances: usize, rate: f64, time: Duration) -> Result<Point> {
    let memory_before = process::resident_bytes();
    let mut fleet = Fleet::new(instances)?;
    let mut arrivals = Arrivals::new(instances, rate);
    let start = fleet.now;
    while fleet.now < start + WARM_UP + time {
        fleet.is_measuring = fleet.now >= start + WARM_UP;
        arrivals.submit(&mut fleet);
        fleet.advance();
    }
    let memory = process::resident_bytes().saturating_sub(memory_before);
    Ok(fleet.point(rate, time, memory))
}

/// Generates requests with Zipf-distributed adapters.
struct Arrivals {
    rng: ChaCha8Rng,
    popularity: Zipf<f64>,
    /// Probability that an instance receives a request in a tick.
    requests_per_tick: f64,
    instances: usize,
    ticket: u64,
}

impl Arrivals {
    fn new(instances: usize, rate: f64) -> Self {
        let popularity = Zipf::new(ADAPTERS as f64, 1.0);
        Self {
            rng: ChaCha8Rng::seed_from_u64(1),
            popularity: popularity.expect("the parameters are in range"),
            requests_per_tick: rate * TICK_INTERVAL.as_secs_f64(),
            instances,
            ticket: 0,
        }
    }

    /// Submits the requests of one tick interval.
    fn submit(&mut self, fleet: &mut Fleet) {
        for node in 0..self.instances {
            if self.rng.random::<f64>() < self.requests_per_tick {
                let submission = self.submission(fleet.now);
                fleet.handle_input(node, Input::Submit(submission));
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
        let rank = self.popularity.sample(&mut self.rng) as usize - 1;
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
        let state = config_state()?;
        let endpoints = endpoints(instances);
        let nodes: Vec<Node> = (0..instances)
            .map(|n| Node::new(settings(instances, n, &endpoints), now))
            .collect();
        let mut fleet = Self {
            now,
            nodes,
            node_indices: (0..instances).map(|n| (instance_id(n), n)).collect(),
            queue: BinaryHeap::new(),
            inputs: BTreeMap::new(),
            last_input_id: 0,
            is_measuring: false,
            bytes: 0,
            messages: 0,
            parts: Parts::default(),
            handling_time: Duration::ZERO,
        };
        let list: Vec<ListedMember> = (0..instances)
            .map(|n| listed_member(instances, n))
            .collect();
        for n in 0..instances {
            let mut outputs = Vec::new();
            fleet.nodes[n].set_config(now, Arc::clone(&state), &mut outputs);
            fleet.apply_outputs(n, outputs);
            fleet.handle_input(n, Input::Listing(list.clone()));
        }
        Ok(fleet)
    }

    /// Handles the inputs that are due in the next tick interval, then ticks every node.
    fn advance(&mut self) {
        let end = self.now + TICK_INTERVAL;
        while let Some((Reverse((at, input_id)), node)) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(input) = self.inputs.remove(&input_id) {
                self.handle_input(node, input);
            }
        }
        self.now = end;
        for node in 0..self.nodes.len() {
            self.handle_input(node, Input::Tick);
        }
    }

    /// Lets a node handle an input and applies its outputs.
    fn handle_input(&mut self, node: usize, input: Input) {
        let mut outputs = Vec::new();
        let start = Instant::now();
        self.nodes[node].handle(self.now, input, &mut outputs);
        if self.is_measuring {
            self.handling_time += start.elapsed();
        }
        self.apply_outputs(node, outputs);
    }

    /// Sends gossip, and schedules the result of each attempt, forward, load and unload as a success.
    fn apply_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Gossip { peer, gossip } => self.send(&peer, gossip),
                Output::Start { ticket, .. } | Output::Forward { ticket, .. } => {
                    self.schedule(
                        node,
                        REQUEST_TIME,
                        Input::Finished(ticket, AttemptOutcome::Complete),
                    );
                }
                Output::Load { endpoint, load, .. } => {
                    let input = Input::Loaded(endpoint, load, LoadResult::Resident);
                    self.schedule(node, LOAD_TIME, input);
                }
                Output::Unload { endpoint, load, .. } => {
                    self.schedule(node, MESSAGE_DELAY, Input::Unloaded(endpoint, load, true));
                }
                _ => {}
            }
        }
    }

    /// Counts a gossip message and schedules its receipt.
    fn send(&mut self, peer: &InstanceId, gossip: caraway_node::Gossip) {
        if self.is_measuring {
            self.messages += 1;
            self.bytes += encoded_len(&gossip) + ENVELOPE_BYTES;
            self.parts.add(&gossip);
        }
        if let Some(node) = self.node_indices.get(peer).copied() {
            self.schedule(node, MESSAGE_DELAY, Input::Gossip(gossip));
        }
    }

    /// Schedules an input of a node after a delay.
    fn schedule(&mut self, node: usize, delay: Duration, input: Input) {
        self.last_input_id += 1;
        self.inputs.insert(self.last_input_id, input);
        let key = Reverse((self.now + delay, self.last_input_id));
        self.queue.push((key, node));
    }

    /// Returns the mean cost of a node over `time`.
    fn point(&self, requests: f64, time: Duration, memory: u64) -> Point {
        let node_seconds = self.nodes.len() as f64 * time.as_secs_f64();
        let per_node_second = |bytes: f64| bytes / node_seconds;
        Point {
            instances: self.nodes.len(),
            requests,
            messages: self.messages as f64 / node_seconds,
            // Every byte that one daemon sends, another receives.
            bytes: 2.0 * self.bytes as f64 / node_seconds,
            parts: Parts {
                heartbeat: per_node_second(self.parts.heartbeat),
                delta: per_node_second(self.parts.delta),
                room: per_node_second(self.parts.room),
                permits: per_node_second(self.parts.permits),
            },
            core: self.handling_time.as_secs_f64() / node_seconds,
            memory: memory as f64 / self.nodes.len() as f64,
        }
    }
}

impl Parts {
    fn add(&mut self, gossip: &caraway_node::Gossip) {
        self.heartbeat += gossip.heartbeat.as_ref().map_or(0, encoded_len) as f64;
        self.delta += gossip.delta.as_ref().map_or(0, encoded_len) as f64;
        self.room += gossip.capacity.as_ref().map_or(0, encoded_len) as f64;
        let request = gossip.permit_request.as_ref().map_or(0, encoded_len);
        let permits = request + encoded_len(&gossip.grants) + encoded_len(&gossip.returns);
        self.permits += permits as f64;
    }
}

/// Returns the encoded size of a message, in bytes.
fn encoded_len(message: &impl Serialize) -> usize {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len())
}

/// Returns the configuration with the records of all adapters.
fn config_state() -> Result<Arc<State>> {
    let mut state = State::default();
    for (offset, record) in (0..).zip(config_records(ADAPTERS)) {
        let outcome = state.apply(offset, &record);
        ensure!(
            outcome.is_accepted(),
            "the record at offset {offset} was not accepted"
        );
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
        zone: zone_name(instances, n).into(),
        slots: SLOTS_PER_REPLICA,
        max_batch: MAX_BATCH,
        checks_fencing: false,
        kind: EndpointKind::Engine,
    };
    (0..count).map(endpoint).collect()
}

fn settings(instances: usize, n: usize, endpoints: &[EndpointSettings]) -> NodeSettings {
    NodeSettings {
        id: instance_id(n),
        zone: zone_name(instances, n).into(),
        endpoints: endpoints.to_vec(),
        store: StoreLimits {
            rate: endpoints.len() as f64 * LOADS_PER_REPLICA,
            transit: u32::try_from(2 * endpoints.len()).unwrap_or(u32::MAX),
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
        },
        ..NodeSettings::default()
    }
}

fn listed_member(instances: usize, n: usize) -> ListedMember {
    ListedMember {
        id: instance_id(n),
        zone: zone_name(instances, n).into(),
        incarnation: 1,
        leaving: false,
        endpoint: false,
    }
}

fn instance_id(n: usize) -> InstanceId {
    format!("entry-{n:03}").into()
}

/// Returns the zone of instance or replica `n`: one of 3 in a small fleet, one of
/// [`TARGET_ZONES`] in a large one.
fn zone_name(instances: usize, n: usize) -> String {
    let zones = if instances < 2 * TARGET_ZONES {
        3
    } else {
        TARGET_ZONES
    };
    format!("zone-{}", n % zones)
}
