//! [`Nodes`]: the shipped policy, six real nodes in three zones.

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
    engine::Run,
    scenario::{MILLI, Plan, SECOND},
    world::{Driver, World},
};

/// Interval of the nodes' ticks.
const TICK: u64 = 10 * MILLI;
/// Interval of load reports.
const REPORT: u64 = 250 * MILLI;
/// Age of a load report when it arrives.
const REPORT_LAG: u64 = 500 * MILLI;
/// Interval of the platform's list.
const LISTING: u64 = 500 * MILLI;

/// A message to a node, or a duty of the driver.
#[derive(Debug)]
pub(crate) enum Message {
    Input(usize, Box<Input>),
    /// An order reaches an engine.
    Order(usize, usize, Order),
    /// An attempt reaches an engine.
    Start(usize, Ticket, u64, usize, LoadName),
    Tick,
    Report,
    Listing,
}

/// An order to an engine.
#[derive(Debug)]
pub(crate) enum Order {
    Load(LoadName, u32, u64),
    Unload(LoadName, u64),
}

/// Where a ticket of a node belongs.
#[derive(Clone, Copy, Debug)]
struct Hop {
    request: usize,
    /// The node and ticket that passed it on.
    from: Option<(usize, Ticket)>,
}

/// The shipped policy, six real nodes in three zones.
#[derive(Debug)]
pub(crate) struct Nodes {
    origin: Instant,
    machines: Vec<Node>,
    ids: Vec<InstanceId>,
    endpoints: Vec<EndpointId>,
    adapters: Vec<AdapterRef>,
    hops: Vec<BTreeMap<Ticket, Hop>>,
    tickets: Ticket,
    /// Who ordered each load, and who started each attempt.
    loaders: BTreeMap<LoadName, usize>,
    attempts: BTreeMap<(usize, u64), (usize, Ticket)>,
    attempt: u64,
    outputs: Vec<Output>,
    reports: Vec<(usize, Input)>,
}

type Here<'a> = World<'a, Message>;

impl Nodes {
    pub(crate) fn new(plan: &Plan) -> Self {
        let origin = Instant::now();
        let zone = |i| Arc::from(format!("zone-{}", Plan::zone(i)));
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
            .map(|i| Node::new(settings(i), origin))
            .collect();
        let config = Arc::new(config(plan));
        for node in &mut nodes {
            node.set_config(origin, Arc::clone(&config), &mut Vec::new());
        }
        let adapter = |i| AdapterRef::new(format!("a{i}"), "1");
        Self {
            origin,
            machines: nodes,
            ids: (0..INSTANCES).map(|i| settings(i).id).collect(),
            endpoints: endpoints.iter().map(|e| e.id.clone()).collect(),
            adapters: (0..plan.adapters).map(adapter).collect(),
            hops: vec![BTreeMap::new(); INSTANCES],
            tickets: 0,
            loaders: BTreeMap::new(),
            attempts: BTreeMap::new(),
            attempt: 0,
            outputs: Vec::new(),
            reports: Vec::new(),
        }
    }

    fn instant(&self, micros: u64) -> Instant {
        self.origin + Duration::from_micros(micros)
    }

    fn input(&mut self, world: &mut Here<'_>, node: usize, input: Input) {
        let now = self.instant(world.now);
        let mut outputs = std::mem::take(&mut self.outputs);
        self.machines[node].handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            self.carry_out(world, node, output);
        }
        self.outputs = outputs;
    }

    fn later(world: &mut Here<'_>, delay: u64, node: usize, input: Input) {
        world.send(delay, Message::Input(node, Box::new(input)));
    }

    fn carry_out(&mut self, world: &mut Here<'_>, node: usize, output: Output) {
        let near = MILLI / 4;
        match output {
            Output::Start {
                ticket,
                endpoint,
                load,
                ..
            } => {
                self.attempt += 1;
                let engine = self.engine(&endpoint);
                let start = Message::Start(node, ticket, self.attempt, engine, load);
                world.send(near, start);
            }
            Output::Forward { ticket, peer } => self.forward(world, node, ticket, &peer),
            Output::Refuse { ticket, refusal } => self.refused(world, node, ticket, &refusal),
            Output::Cancel { .. } => {}
            Output::Load {
                endpoint,
                load,
                adapter,
                fence,
            } => {
                let number = adapter.adapter[1..].parse().unwrap_or(0);
                self.loaders.insert(load.clone(), node);
                let engine = self.engine(&endpoint);
                let order = Order::Load(load, number, fence);
                world.send(near, Message::Order(node, engine, order));
            }
            Output::Unload {
                endpoint,
                load,
                fence,
            } => {
                let engine = self.engine(&endpoint);
                let order = Order::Unload(load, fence);
                world.send(near, Message::Order(node, engine, order));
            }
            Output::Gossip { peer, gossip } => {
                let to = self.node(&peer);
                let (a, b) = (Plan::zone(node), Plan::zone(to));
                if world.passes(a, b) {
                    Self::later(world, world.delay(a, b), to, Input::Gossip(gossip));
                }
            }
        }
    }

    fn forward(&mut self, world: &mut Here<'_>, node: usize, ticket: Ticket, peer: &InstanceId) {
        let to = self.node(peer);
        let (a, b) = (Plan::zone(node), Plan::zone(to));
        let Some(hop) = self.hops[node].get(&ticket).copied() else {
            return;
        };
        if !world.passes(a, b) {
            let missed = Input::Finished(ticket, AttemptOutcome::NotRun);
            Self::later(world, 2 * world.plan.zone_delay, node, missed);
            return;
        }
        let mut hops = 1;
        let mut from = hop.from;
        while let Some((n, t)) = from {
            hops += 1;
            from = self.hops[n].get(&t).and_then(|h| h.from);
        }
        let via = Some(self.ids[node].clone());
        let passed = Hop {
            request: hop.request,
            from: Some((node, ticket)),
        };
        let submission = self.submission(world, to, passed, via, hops);
        let delay = world.delay(a, b);
        Self::later(world, delay, to, Input::Submit(submission));
    }

    fn submission(
        &mut self,
        world: &Here<'_>,
        node: usize,
        hop: Hop,
        via: Option<InstanceId>,
        hops: u8,
    ) -> Submission {
        let request = &world.requests[hop.request];
        self.tickets += 1;
        self.hops[node].insert(self.tickets, hop);
        Submission {
            ticket: self.tickets,
            account: AccountId::from(format!("account-{}", request.account)),
            adapter: self.adapters[request.adapter as usize].clone(),
            class: request.class,
            deadline: self.instant(request.deadline),
            max_tokens: request.tokens,
            prefix_hash: 0,
            forwarded_by: via,
            hops,
        }
    }

    /// Takes a refusal back along the way that the request came; one for lack of a place goes
    /// elsewhere.
    fn refused(&mut self, world: &mut Here<'_>, node: usize, ticket: Ticket, refusal: &Refusal) {
        let Some(hop) = self.hops[node].remove(&ticket) else {
            return;
        };
        let Some((before, theirs)) = hop.from else {
            world.refuse(hop.request);
            return;
        };
        let elsewhere = matches!(refusal.reason, Reason::Leaving | Reason::NoEndpoint);
        if refusal.certainty == Certainty::NotRun && elsewhere {
            let delay = world.delay(Plan::zone(node), Plan::zone(before));
            Self::later(
                world,
                delay,
                before,
                Input::Finished(theirs, AttemptOutcome::NotRun),
            );
            return;
        }
        let delay = world.delay(Plan::zone(node), Plan::zone(before));
        Self::later(
            world,
            delay,
            before,
            Input::Finished(theirs, AttemptOutcome::Complete),
        );
        self.refused(world, before, theirs, refusal);
    }

    /// Ends a request at the node that served it and at those that passed it on.
    fn ended(&mut self, world: &mut Here<'_>, node: usize, ticket: Ticket, done: AttemptOutcome) {
        let mut at = Some((node, ticket));
        let mut delay = MILLI / 4;
        while let Some((n, t)) = at {
            Self::later(world, delay, n, Input::Finished(t, done));
            if done != AttemptOutcome::Complete {
                return;
            }
            at = self.hops[n].remove(&t).and_then(|h| h.from);
            delay += MILLI;
        }
    }

    fn order(&mut self, world: &mut Here<'_>, node: usize, engine: usize, order: Order) {
        let near = MILLI / 4;
        let endpoint = self.endpoints[engine].clone();
        match order {
            Order::Load(load, adapter, fence) => {
                if let Err(result) = world.load(engine, &load, adapter, (fence, node)) {
                    self.loaders.remove(&load);
                    Self::later(world, near, node, Input::Loaded(endpoint, load, result));
                }
            }
            Order::Unload(load, fence) => {
                let done = world.unload(engine, &load, (fence, node));
                Self::later(world, near, node, Input::Unloaded(endpoint, load, done));
            }
        }
    }

    fn report(&mut self, world: &mut Here<'_>) {
        for (i, engine) in world.engines.iter().enumerate() {
            if !world.answers(i) {
                continue;
            }
            let resident = |(name, held): (&LoadName, &super::engine::Held)| {
                held.since?;
                let users = engine.users(name);
                Some(ReportedLoad {
                    name: name.clone(),
                    adapter: self.adapters[held.adapter as usize].clone(),
                    running: u32::try_from(users).unwrap_or(u32::MAX),
                })
            };
            let report = EngineReport {
                incarnation: engine.incarnation,
                slots: engine.slots,
                running: u32::try_from(engine.running.len()).unwrap_or(u32::MAX),
                waiting: u32::try_from(engine.waiting.len()).unwrap_or(u32::MAX),
                max_batch: engine.max_batch,
                max_fence: if engine.checks { engine.max_fence } else { 0 },
                residents: engine.loads.iter().filter_map(resident).collect(),
            };
            let id = self.endpoints[i].clone();
            let zone = Plan::zone(i);
            self.reports.extend(
                (0..INSTANCES)
                    .filter(|n| Plan::zone(*n) == zone)
                    .map(|n| (n, Input::Report(id.clone(), report.clone()))),
            );
        }
        for (node, input) in std::mem::take(&mut self.reports) {
            Self::later(world, REPORT_LAG, node, input);
        }
        world.send(REPORT, Message::Report);
    }

    fn listing(&mut self, world: &mut Here<'_>) {
        let member = |id: &InstanceId, i: usize, endpoint| ListedMember {
            id: id.clone(),
            zone: format!("zone-{}", Plan::zone(i)).into(),
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
            if world.passes(0, Plan::zone(node)) {
                Self::later(world, 5 * MILLI, node, Input::Listing(list.clone()));
            }
        }
        world.send(LISTING, Message::Listing);
    }

    fn engine(&self, id: &EndpointId) -> usize {
        self.endpoints.iter().position(|e| e == id).unwrap_or(0)
    }

    fn node(&self, id: &InstanceId) -> usize {
        self.ids.iter().position(|n| n == id).unwrap_or(0)
    }
}

impl Driver for Nodes {
    type Message = Message;

    fn begin(&mut self, world: &mut Here<'_>) {
        world.send(0, Message::Tick);
        world.send(0, Message::Report);
        world.send(MILLI, Message::Listing);
    }

    fn arrived(&mut self, world: &mut Here<'_>, request: usize) {
        let node = world.requests[request].instance;
        let hop = Hop {
            request,
            from: None,
        };
        let submission = self.submission(world, node, hop, None, 0);
        self.input(world, node, Input::Submit(submission));
    }

    fn message(&mut self, world: &mut Here<'_>, message: Message) {
        match message {
            Message::Input(node, input) => self.input(world, node, *input),
            Message::Order(node, engine, order) => self.order(world, node, engine, order),
            Message::Start(node, ticket, attempt, engine, load) => {
                let Some(hop) = self.hops[node].get(&ticket).copied() else {
                    return;
                };
                self.attempts.insert((hop.request, attempt), (node, ticket));
                if let Err(done) = world.start(engine, hop.request, attempt, &load) {
                    Self::later(world, MILLI / 4, node, Input::Finished(ticket, done));
                }
            }
            Message::Tick => {
                for node in 0..INSTANCES {
                    self.input(world, node, Input::Tick);
                }
                if world.now < (world.plan.seconds + 150) * SECOND {
                    world.send(TICK, Message::Tick);
                }
            }
            Message::Report => self.report(world),
            Message::Listing => self.listing(world),
        }
    }

    fn finished(&mut self, world: &mut Here<'_>, _: usize, run: &Run, done: AttemptOutcome) {
        let by = self.attempts.remove(&(run.request, run.attempt));
        if let Some((node, ticket)) = by {
            self.ended(world, node, ticket, done);
        }
    }

    fn loaded(&mut self, world: &mut Here<'_>, engine: usize, load: &LoadName, result: LoadResult) {
        if let Some(node) = self.loaders.remove(load) {
            let endpoint = self.endpoints[engine].clone();
            let input = Input::Loaded(endpoint, load.clone(), result);
            Self::later(world, MILLI / 4, node, input);
        }
    }
}

/// Makes the configuration that the deployment's operators publish.
fn config(plan: &Plan) -> State {
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
