//! [`NodePolicy`]: the shipped policy, as six real nodes in three zones.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_node::{
    AttemptOutcome, EndpointSettings, EngineReport, Input, ListedMember, LoadResult, Node,
    NodeSettings, Output, ReportedLoad, Submission,
};
use caraway_records::State;
use caraway_slots::StoreLimits;
use caraway_types::{
    AccountId, AdapterRef, Certainty, EndpointId, InstanceId, LoadName, Reason, Refusal, Ticket,
};
use serde_json::json;

use super::{
    arrivals::INSTANCES,
    engine::Attempt,
    scenario::{MILLISECOND, Plan, SECOND},
    simulator::{PolicyDriver, Simulator},
};

/// Interval of the nodes' ticks, in microseconds.
const TICK_INTERVAL: u64 = 10 * MILLISECOND;
/// Interval of the engines' reports, in microseconds.
const REPORT_INTERVAL: u64 = 250 * MILLISECOND;
/// Age of an engine report when it arrives, in microseconds.
const REPORT_LAG: u64 = 500 * MILLISECOND;
/// Interval at which nodes receive the platform's instance list, in microseconds.
const LISTING_INTERVAL: u64 = 500 * MILLISECOND;

/// An input for a node, an order to an engine, or a periodic task of the policy.
#[derive(Debug)]
pub(crate) enum Message {
    /// An input reaches a node.
    Input(usize, Box<Input>),
    /// An order of a node reaches an engine: node, engine, order.
    Order(usize, usize, Order),
    /// An attempt reaches an engine: node, ticket, attempt id, engine, load.
    Start(usize, Ticket, u64, usize, LoadName),
    /// All nodes tick.
    Tick,
    /// Engines send their reports.
    Report,
    /// Nodes receive the instance list.
    Listing,
}

/// An order to an engine.
#[derive(Debug)]
pub(crate) enum Order {
    /// Load this adapter under a name, with a fencing token.
    Load(LoadName, u32, u64),
    /// Unload a load, with a fencing token.
    Unload(LoadName, u64),
}

/// The request behind a node's ticket, and where the node got it.
#[derive(Clone, Copy, Debug)]
struct TicketOrigin {
    request: usize,
    /// The node that forwarded the request, with its own ticket; `None` when a caller sent it.
    forwarded_from: Option<(usize, Ticket)>,
}

/// The shipped policy, as six real nodes in three zones.
#[derive(Debug)]
pub(crate) struct NodePolicy {
    /// Real time that stands for the virtual time 0.
    start: Instant,
    nodes: Vec<Node>,
    /// Ids of the nodes' instances, by the index of the node.
    ids: Vec<InstanceId>,
    /// Ids of the engines, by their index.
    endpoints: Vec<EndpointId>,
    /// The adapter versions, by their index.
    adapters: Vec<AdapterRef>,
    /// Origins of each node's tickets.
    origins: Vec<BTreeMap<Ticket, TicketOrigin>>,
    last_ticket: Ticket,
    /// The node that ordered each load.
    load_senders: BTreeMap<LoadName, usize>,
    /// The node and ticket of each attempt, by request and attempt id.
    attempts: BTreeMap<(usize, u64), (usize, Ticket)>,
    last_attempt: u64,
    /// Empty between inputs; kept to reuse its allocation.
    output_buffer: Vec<Output>,
    report_buffer: Vec<(usize, Input)>,
}

type Sim<'a> = Simulator<'a, Message>;

impl NodePolicy {
    pub(crate) fn new(plan: &Plan) -> Self {
        let start = Instant::now();
        let zone = |i| Arc::from(format!("zone-{}", Plan::zone_of(i)));
        let endpoint = |i| EndpointSettings {
            id: format!("engine-{i}").into(),
            zone: zone(i),
            slots: plan.slots,
            max_batch: plan.max_batch,
            checks_fencing: i % 2 == 0,
            ..EndpointSettings::default()
        };
        let endpoints: Vec<EndpointSettings> = (0..plan.replicas).map(endpoint).collect();
        let settings = |i| NodeSettings {
            id: format!("entry-{i}").into(),
            zone: zone(i),
            endpoints: endpoints.clone(),
            store: StoreLimits {
                rate: plan.store_rate,
                ..StoreLimits::default()
            },
            ..NodeSettings::default()
        };
        let mut nodes: Vec<Node> = (0..INSTANCES)
            .map(|i| Node::new(settings(i), start))
            .collect();
        let config = Arc::new(routing_config(plan));
        for node in &mut nodes {
            node.set_config(start, Arc::clone(&config), &mut Vec::new());
        }
        let adapter = |i| AdapterRef::new(format!("a{i}"), "1");
        Self {
            start,
            nodes,
            ids: (0..INSTANCES).map(|i| settings(i).id).collect(),
            endpoints: endpoints.iter().map(|e| e.id.clone()).collect(),
            adapters: (0..plan.adapters).map(adapter).collect(),
            origins: vec![BTreeMap::new(); INSTANCES],
            last_ticket: 0,
            load_senders: BTreeMap::new(),
            attempts: BTreeMap::new(),
            last_attempt: 0,
            output_buffer: Vec::new(),
            report_buffer: Vec::new(),
        }
    }

    /// Returns the instant that stands for a virtual time in microseconds.
    fn instant(&self, micros: u64) -> Instant {
        self.start + Duration::from_micros(micros)
    }

    fn handle_input(&mut self, sim: &mut Sim<'_>, node: usize, input: Input) {
        let now = self.instant(sim.now);
        let mut outputs = std::mem::take(&mut self.output_buffer);
        self.nodes[node].handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.apply_output(sim, node, output);
        }
        self.output_buffer = outputs;
    }

    /// Schedules an input of a node after a delay in microseconds.
    fn send_input(sim: &mut Sim<'_>, delay: u64, node: usize, input: Input) {
        sim.schedule_message(delay, Message::Input(node, Box::new(input)));
    }

    /// Carries out an output of a node: schedules what it sends or records its refusal.
    fn apply_output(&mut self, sim: &mut Sim<'_>, node: usize, output: Output) {
        let local_delay = MILLISECOND / 4;
        match output {
            Output::Start {
                ticket,
                endpoint,
                load,
                ..
            } => {
                self.last_attempt += 1;
                let engine = self.engine_index(&endpoint);
                let start = Message::Start(node, ticket, self.last_attempt, engine, load);
                sim.schedule_message(local_delay, start);
            }
            Output::Forward { ticket, peer } => self.forward(sim, node, ticket, &peer),
            Output::Refuse { ticket, refusal } => self.return_refusal(sim, node, ticket, &refusal),
            Output::Cancel { .. } => {}
            Output::Load {
                endpoint,
                load,
                adapter,
                fence,
            } => {
                let adapter_index = adapter.adapter[1..].parse().unwrap_or(0);
                self.load_senders.insert(load.clone(), node);
                let engine = self.engine_index(&endpoint);
                let order = Order::Load(load, adapter_index, fence);
                sim.schedule_message(local_delay, Message::Order(node, engine, order));
            }
            Output::Unload {
                endpoint,
                load,
                fence,
            } => {
                let engine = self.engine_index(&endpoint);
                let order = Order::Unload(load, fence);
                sim.schedule_message(local_delay, Message::Order(node, engine, order));
            }
            Output::Gossip { peer, gossip } => {
                let receiver = self.node_index(&peer);
                let (from_zone, to_zone) = (Plan::zone_of(node), Plan::zone_of(receiver));
                if sim.is_connected(from_zone, to_zone) {
                    Self::send_input(
                        sim,
                        sim.delay(from_zone, to_zone),
                        receiver,
                        Input::Gossip(gossip),
                    );
                }
            }
        }
    }

    /// Forwards a request to a peer; returns it as not run when the peer is cut off.
    fn forward(&mut self, sim: &mut Sim<'_>, node: usize, ticket: Ticket, peer: &InstanceId) {
        let receiver = self.node_index(peer);
        let (from_zone, to_zone) = (Plan::zone_of(node), Plan::zone_of(receiver));
        let Some(origin) = self.origins[node].get(&ticket).copied() else {
            return;
        };
        if !sim.is_connected(from_zone, to_zone) {
            let not_run = Input::Finished(ticket, AttemptOutcome::NotRun);
            Self::send_input(sim, 2 * sim.plan.zone_delay_us, node, not_run);
            return;
        }
        let mut hops = 1;
        let mut previous = origin.forwarded_from;
        while let Some((n, t)) = previous {
            hops += 1;
            previous = self.origins[n].get(&t).and_then(|o| o.forwarded_from);
        }
        let forwarded_by = Some(self.ids[node].clone());
        let forwarded = TicketOrigin {
            request: origin.request,
            forwarded_from: Some((node, ticket)),
        };
        let submission = self.new_submission(sim, receiver, forwarded, forwarded_by, hops);
        let delay = sim.delay(from_zone, to_zone);
        Self::send_input(sim, delay, receiver, Input::Submit(submission));
    }

    /// Issues a ticket of `node` for a request and returns its submission.
    fn new_submission(
        &mut self,
        sim: &Sim<'_>,
        node: usize,
        origin: TicketOrigin,
        forwarded_by: Option<InstanceId>,
        hops: u8,
    ) -> Submission {
        let request = &sim.requests[origin.request];
        self.last_ticket += 1;
        self.origins[node].insert(self.last_ticket, origin);
        Submission {
            ticket: self.last_ticket,
            account: AccountId::from(format!("account-{}", request.account)),
            adapter: self.adapters[request.adapter as usize].clone(),
            class: request.class,
            deadline: self.instant(request.deadline),
            max_tokens: request.tokens,
            prefix_hash: 0,
            forwarded_by,
            hops,
        }
    }

    /// Returns a refusal along the path that the request took. When another node may still serve the
    /// request, the previous node gets it back as not run and can route it again.
    fn return_refusal(
        &mut self,
        sim: &mut Sim<'_>,
        node: usize,
        ticket: Ticket,
        refusal: &Refusal,
    ) {
        let Some(origin) = self.origins[node].remove(&ticket) else {
            return;
        };
        let Some((previous_node, previous_ticket)) = origin.forwarded_from else {
            sim.record_refusal(origin.request);
            return;
        };
        let can_reroute = matches!(refusal.reason, Reason::Leaving | Reason::NoEndpoint);
        if refusal.certainty == Certainty::NotRun && can_reroute {
            let delay = sim.delay(Plan::zone_of(node), Plan::zone_of(previous_node));
            Self::send_input(
                sim,
                delay,
                previous_node,
                Input::Finished(previous_ticket, AttemptOutcome::NotRun),
            );
            return;
        }
        let delay = sim.delay(Plan::zone_of(node), Plan::zone_of(previous_node));
        Self::send_input(
            sim,
            delay,
            previous_node,
            Input::Finished(previous_ticket, AttemptOutcome::Complete),
        );
        self.return_refusal(sim, previous_node, previous_ticket, refusal);
    }

    /// Ends an attempt at the node that started it; a complete one also at the nodes that forwarded
    /// the request.
    fn end_attempt(
        &mut self,
        sim: &mut Sim<'_>,
        node: usize,
        ticket: Ticket,
        outcome: AttemptOutcome,
    ) {
        let mut next = Some((node, ticket));
        let mut delay = MILLISECOND / 4;
        while let Some((n, t)) = next {
            Self::send_input(sim, delay, n, Input::Finished(t, outcome));
            if outcome != AttemptOutcome::Complete {
                return;
            }
            next = self.origins[n].remove(&t).and_then(|o| o.forwarded_from);
            delay += MILLISECOND;
        }
    }

    /// Applies an order at the engine and sends the result to the node.
    fn deliver_order(&mut self, sim: &mut Sim<'_>, node: usize, engine: usize, order: Order) {
        let local_delay = MILLISECOND / 4;
        let endpoint = self.endpoints[engine].clone();
        match order {
            Order::Load(load, adapter, fence) => {
                if let Err(result) = sim.start_load(engine, &load, adapter, (fence, node)) {
                    self.load_senders.remove(&load);
                    Self::send_input(
                        sim,
                        local_delay,
                        node,
                        Input::Loaded(endpoint, load, result),
                    );
                }
            }
            Order::Unload(load, fence) => {
                let unloaded = sim.unload(engine, &load, (fence, node));
                Self::send_input(
                    sim,
                    local_delay,
                    node,
                    Input::Unloaded(endpoint, load, unloaded),
                );
            }
        }
    }

    /// Sends each engine's report to the nodes in its zone.
    fn send_reports(&mut self, sim: &mut Sim<'_>) {
        for (i, engine) in sim.engines.iter().enumerate() {
            if !sim.is_up(i) {
                continue;
            }
            let resident = |(name, load_state): (&LoadName, &super::engine::EngineLoad)| {
                load_state.resident_since?;
                let attempt_count = engine.attempt_count(name);
                Some(ReportedLoad {
                    name: name.clone(),
                    adapter: self.adapters[load_state.adapter as usize].clone(),
                    running: u32::try_from(attempt_count).unwrap_or(u32::MAX),
                })
            };
            let report = EngineReport {
                incarnation: engine.incarnation,
                slots: engine.slots,
                running: u32::try_from(engine.running.len()).unwrap_or(u32::MAX),
                waiting: u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX),
                max_batch: engine.max_batch,
                max_fence: if engine.checks_fencing {
                    engine.max_fence
                } else {
                    0
                },
                residents: engine.loads.iter().filter_map(resident).collect(),
            };
            let id = self.endpoints[i].clone();
            let zone = Plan::zone_of(i);
            self.report_buffer.extend(
                (0..INSTANCES)
                    .filter(|n| Plan::zone_of(*n) == zone)
                    .map(|n| (n, Input::Report(id.clone(), report.clone()))),
            );
        }
        for (node, input) in std::mem::take(&mut self.report_buffer) {
            Self::send_input(sim, REPORT_LAG, node, input);
        }
        sim.schedule_message(REPORT_INTERVAL, Message::Report);
    }

    /// Sends the instance list to the nodes that zone 0, where the platform is, can reach.
    fn send_listings(&mut self, sim: &mut Sim<'_>) {
        let member = |id: &InstanceId, i: usize, endpoint| ListedMember {
            id: id.clone(),
            zone: format!("zone-{}", Plan::zone_of(i)).into(),
            incarnation: 1,
            leaving: false,
            endpoint,
        };
        let entries = self
            .ids
            .iter()
            .enumerate()
            .map(|(i, id)| member(id, i, false));
        let engines = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(i, id)| member(id, i, true));
        let list: Vec<ListedMember> = entries.chain(engines).collect();
        for node in 0..INSTANCES {
            if sim.is_connected(0, Plan::zone_of(node)) {
                Self::send_input(sim, 5 * MILLISECOND, node, Input::Listing(list.clone()));
            }
        }
        sim.schedule_message(LISTING_INTERVAL, Message::Listing);
    }

    fn engine_index(&self, id: &EndpointId) -> usize {
        self.endpoints.iter().position(|e| e == id).unwrap_or(0)
    }

    fn node_index(&self, id: &InstanceId) -> usize {
        self.ids.iter().position(|n| n == id).unwrap_or(0)
    }
}

impl PolicyDriver for NodePolicy {
    type Message = Message;

    fn on_start(&mut self, sim: &mut Sim<'_>) {
        sim.schedule_message(0, Message::Tick);
        sim.schedule_message(0, Message::Report);
        sim.schedule_message(MILLISECOND, Message::Listing);
    }

    fn on_arrival(&mut self, sim: &mut Sim<'_>, request: usize) {
        let node = sim.requests[request].instance;
        let origin = TicketOrigin {
            request,
            forwarded_from: None,
        };
        let submission = self.new_submission(sim, node, origin, None, 0);
        self.handle_input(sim, node, Input::Submit(submission));
    }

    fn on_message(&mut self, sim: &mut Sim<'_>, message: Message) {
        match message {
            Message::Input(node, input) => self.handle_input(sim, node, *input),
            Message::Order(node, engine, order) => self.deliver_order(sim, node, engine, order),
            Message::Start(node, ticket, attempt, engine, load) => {
                let Some(origin) = self.origins[node].get(&ticket).copied() else {
                    return;
                };
                self.attempts
                    .insert((origin.request, attempt), (node, ticket));
                if let Err(outcome) = sim.start_attempt(engine, origin.request, attempt, &load) {
                    Self::send_input(sim, MILLISECOND / 4, node, Input::Finished(ticket, outcome));
                }
            }
            Message::Tick => {
                for node in 0..INSTANCES {
                    self.handle_input(sim, node, Input::Tick);
                }
                if sim.now < (sim.plan.seconds + 150) * SECOND {
                    sim.schedule_message(TICK_INTERVAL, Message::Tick);
                }
            }
            Message::Report => self.send_reports(sim),
            Message::Listing => self.send_listings(sim),
        }
    }

    fn on_attempt_end(
        &mut self,
        sim: &mut Sim<'_>,
        _: usize,
        attempt: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let starter = self.attempts.remove(&(attempt.request, attempt.id));
        if let Some((node, ticket)) = starter {
            self.end_attempt(sim, node, ticket, outcome);
        }
    }

    fn on_load_end(
        &mut self,
        sim: &mut Sim<'_>,
        engine: usize,
        load: &LoadName,
        result: LoadResult,
    ) {
        if let Some(node) = self.load_senders.remove(load) {
            let endpoint = self.endpoints[engine].clone();
            let input = Input::Loaded(endpoint, load.clone(), result);
            Self::send_input(sim, MILLISECOND / 4, node, input);
        }
    }
}

/// Returns a configuration with the routing weights of the run.
fn routing_config(plan: &Plan) -> State {
    let mut state = State::default();
    let record = json!({
        "schema": 1,
        "kind": "routing",
        "key": "default",
        "id": "routing",
        "body": { "stall_weight": plan.stall_weight, "batch_weight": plan.batch_weight },
    });
    state.apply(0, &record.to_string());
    state
}
