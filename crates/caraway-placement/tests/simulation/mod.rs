//! Simulated engine endpoints, weight store and requests under a virtual clock, driven by a
//! [`Placer`].

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod engine;
pub(crate) mod workload;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_placement::{
    OrderOutcome, Output, PlacementId, PlacementRequest, Placer, PlacerSettings, RequestOutcome,
};
use caraway_routes::{
    Change, Endpoint, EndpointState, EngineConfig as EngineSpec, LoadedModel, Model, ModelRef,
    Resident, TokenCount,
};
use caraway_types::EndpointId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use engine::{Engine, OrderEffect};

/// Name of the only model.
pub(crate) const MODEL: &str = "base";
/// Name of the only service.
pub(crate) const SERVICE: &str = "lm";

/// Behavior of the endpoints and of the network to them.
#[derive(Clone, Debug)]
pub(crate) struct SimSettings {
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    pub(crate) adapter_slots: usize,
    /// Concurrent loads from the weight store that run at full speed.
    pub(crate) full_speed_loads: usize,
    pub(crate) load_time: Duration,
    /// Number of adapters whose copies an endpoint keeps in memory.
    pub(crate) cached_adapters: usize,
    /// Share of the orders that get no response and are carried out late.
    pub(crate) late_share: f64,
    /// Duration of a run.
    pub(crate) run_time: Duration,
    /// Time of a load of a model's weights from an endpoint's disk.
    pub(crate) weights_load_time: Duration,
    /// Loads of weights per second that the weight store allows.
    pub(crate) weights_rate: f64,
}

impl Default for SimSettings {
    fn default() -> Self {
        Self {
            endpoints: 3,
            slots: 64,
            adapter_slots: 4,
            full_speed_loads: 16,
            load_time: Duration::from_millis(250),
            cached_adapters: 96,
            late_share: 0.0,
            run_time: Duration::from_millis(450),
            weights_load_time: Duration::from_millis(840),
            weights_rate: 3.0,
        }
    }
}

impl SimSettings {
    /// Returns the engine capacity as the configuration states it.
    fn engine(&self) -> EngineSpec {
        EngineSpec {
            slots: self.slots,
            adapter_slots: u32::try_from(self.adapter_slots).expect("small"),
            memory_mb: 100.0,
            models: vec![Model {
                name: MODEL.into(),
                weight_mb: 90.0,
                adapter_mb: 0.0,
                load_time: self.weights_load_time * 2,
                disk_load_time: self.weights_load_time,
            }],
            loads_per_second: self.weights_rate,
            token_capacity: None,
        }
    }
}

/// Counters of requests, orders and endpoint crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counters {
    pub(crate) requested: usize,
    pub(crate) granted: usize,
    pub(crate) refused: usize,
    pub(crate) not_held: usize,
    /// Times from request to grant.
    pub(crate) waits: Vec<Duration>,
    /// Times from request to refusal.
    pub(crate) refuse_waits: Vec<Duration>,
    pub(crate) fetched: usize,
    pub(crate) orders: usize,
    pub(crate) crashes: usize,
    pub(crate) unloads_during_run: usize,
    /// When loads of weights started.
    pub(crate) weight_loads: Vec<Instant>,
    /// Runs that started: when, where and with which ticket.
    pub(crate) starts: Vec<(Instant, EndpointId, u64)>,
    /// Retry delays of refused requests, with the time of each refusal.
    pub(crate) retry_delays: Vec<(Instant, Duration)>,
}

#[derive(Clone, Debug)]
enum Event {
    Request(u64, ModelRef, Duration),
    RunEnded(PlacementId),
    CallerLeft(PlacementId),
    Response(EndpointId, u64, OrderOutcome),
    LateOrder(EndpointId, u64),
    Report(EndpointId),
    Tick,
}

/// A placer with the simulated endpoints of a zone.
pub(crate) struct Simulation {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) settings: SimSettings,
    placer_settings: PlacerSettings,
    pub(crate) placer: Placer,
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    pub(crate) counters: Counters,
    pub(crate) rng: ChaCha8Rng,
    /// Endpoints that do not respond.
    pub(crate) unresponsive: BTreeSet<EndpointId>,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    waiting: HashMap<u64, (Instant, Instant)>,
    running: HashMap<PlacementId, (EndpointId, ModelRef)>,
    late_orders: HashMap<(EndpointId, u64), caraway_placement::Order>,
    next_tick: Option<Instant>,
    versions: HashMap<ModelRef, u64>,
    models: HashMap<u64, ModelRef>,
    /// Time from a request to its goal.
    pub(crate) goal: Duration,
    /// Priorities of requests; 0 unless set.
    pub(crate) priorities: HashMap<u64, u8>,
}

/// Returns the adapter with this number.
pub(crate) fn adapter(number: usize) -> ModelRef {
    ModelRef {
        model: MODEL.into(),
        adapter: Some(format!("a{number}").into()),
    }
}

/// Returns the id of the endpoint with this number.
pub(crate) fn endpoint_id(number: usize) -> EndpointId {
    format!("e{number}").into()
}

/// Returns an endpoint's registry entry; an endpoint that has just started holds no model.
pub(crate) fn entry(number: usize, slots: u32, born: u64, holds: bool) -> Arc<Endpoint> {
    let model = LoadedModel {
        model: MODEL.into(),
        adapters: Vec::new(),
    };
    Arc::new(Endpoint {
        id: endpoint_id(number),
        service: SERVICE.into(),
        addr: ([127, 0, 0, 1], 9000).into(),
        zone: "z".into(),
        slots,
        state: EndpointState::Ready,
        remaining: None,
        started_ms: Some(born),
        software: "v1".into(),
        is_engine: true,
        models: holds.then_some(model).into_iter().collect(),
    })
}

impl Simulation {
    pub(crate) fn new(settings: SimSettings, placer_settings: PlacerSettings, seed: u64) -> Self {
        let start = Instant::now();
        let mut placer = Placer::new(placer_settings.clone(), start);
        placer.set_engine(&SERVICE.into(), &settings.engine());
        let mut sim = Self {
            start,
            now: start,
            placer,
            engines: BTreeMap::new(),
            counters: Counters::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            unresponsive: BTreeSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
            waiting: HashMap::new(),
            running: HashMap::new(),
            late_orders: HashMap::new(),
            next_tick: None,
            versions: HashMap::new(),
            models: HashMap::new(),
            goal: Duration::from_millis(500),
            priorities: HashMap::new(),
            settings,
            placer_settings,
        };
        for number in 0..sim.settings.endpoints {
            let engine = Engine::new(
                sim.settings.adapter_slots,
                sim.settings.cached_adapters,
                Some(start),
            );
            sim.engines.insert(endpoint_id(number), engine);
            let entry = entry(number, sim.settings.slots, 1, true);
            sim.act(|p, now| p.on_endpoint(now, &entry, Change::New));
        }
        sim.name_first_version();
        sim
    }

    /// Updates a registry entry to name an adapter of the first version, as the entries of running
    /// endpoints do.
    fn name_first_version(&mut self) {
        let mut entry = Endpoint::clone(&entry(0, self.settings.slots, 1, true));
        for model in &mut entry.models {
            model.adapters.push(Resident {
                adapter: "named".into(),
                version: 1,
            });
        }
        let entry = Arc::new(entry);
        self.act(|p, now| p.on_endpoint(now, &entry, Change::Updated));
    }

    /// Schedules a request at a time after the start.
    pub(crate) fn request_at(
        &mut self,
        at: Duration,
        ticket: u64,
        model: ModelRef,
        timeout: Duration,
    ) {
        self.at(self.start + at, Event::Request(ticket, model, timeout));
    }

    /// Restarts an endpoint as after a crash: empty, under the same id.
    pub(crate) fn restart(&mut self, number: usize) {
        let id = endpoint_id(number);
        let engine = Engine::new(
            self.settings.adapter_slots,
            self.settings.cached_adapters,
            None,
        );
        self.engines.insert(id.clone(), engine);
        self.running.retain(|_, (endpoint, _)| *endpoint != id);
        let entry = entry(number, self.settings.slots, 2, false);
        self.act(|p, now| p.on_endpoint(now, &entry, Change::Reborn));
    }

    /// Replaces the placer by one that knows nothing of the state of the former one; waiting
    /// requests are sent again.
    pub(crate) fn replace_placer(&mut self) {
        self.placer = Placer::new(self.placer_settings.clone(), self.now);
        self.placer
            .set_engine(&SERVICE.into(), &self.settings.engine());
        for number in 0..self.settings.endpoints {
            let entry = entry(number, self.settings.slots, 1, true);
            self.act(|p, now| p.on_endpoint(now, &entry, Change::New));
        }
        self.name_first_version();
        for (id, (endpoint, model)) in self.running.clone() {
            self.act(|p, _| p.register_run(id, &endpoint, &model));
        }
        let mut tickets: Vec<u64> = self.waiting.keys().copied().collect();
        tickets.sort_unstable();
        for ticket in tickets {
            self.send_request(ticket);
        }
    }

    /// Cuts the placer's connection to the instance whose requests run, for the time `outage`; the
    /// runs go on.
    pub(crate) fn disconnect(&mut self, outage: Duration) {
        self.act(|p, now| p.on_source_lost(now, 1));
        self.now += outage;
        for (id, (endpoint, model)) in self.running.clone() {
            self.act(|p, _| p.register_run(id, &endpoint, &model));
        }
    }

    /// Sets the version that loads fetch from now on.
    pub(crate) fn set_version(&mut self, model: &ModelRef, version: u64) {
        self.versions.insert(model.clone(), version);
    }

    /// Announces a version of an adapter now.
    pub(crate) fn announce(&mut self, model: &ModelRef, version: u64) {
        self.set_version(model, version);
        self.act(|p, now| p.on_version(now, model, version, Some(now)));
    }

    /// Advances the clock to a time after the start.
    pub(crate) fn run_until(&mut self, end: Duration) {
        let end = self.start + end;
        while let Some((&(at, sequence), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            let event = self.events.remove(&(at, sequence));
            self.now = at;
            if let Some(event) = event {
                self.on_event(event);
            }
        }
        self.now = end;
    }

    /// Returns the number of requests that were neither granted nor refused, and whose callers
    /// still wait.
    pub(crate) fn open_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Calls `act` on the placer and carries out the outputs.
    pub(crate) fn act(&mut self, act: impl FnOnce(&mut Placer, Instant)) {
        act(&mut self.placer, self.now);
        for output in self.placer.take_outputs() {
            self.apply_output(output);
        }
        if let Some(wake) = self.placer.next_wake(self.now) {
            let wake = wake.max(self.now);
            if self.next_tick.is_none_or(|t| wake < t || t < self.now) {
                self.next_tick = Some(wake);
                self.at(wake, Event::Tick);
            }
        }
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Request(ticket, model, timeout) => {
                let id = PlacementId { source: 1, ticket };
                self.models.insert(ticket, model);
                self.counters.requested += 1;
                self.waiting.insert(ticket, (self.now, self.now + timeout));
                self.at(self.now + timeout, Event::CallerLeft(id));
                self.send_request(ticket);
            }
            Event::RunEnded(id) => {
                if let Some((endpoint, model)) = self.running.remove(&id) {
                    if let Some(engine) = self.engines.get_mut(&endpoint) {
                        engine.end_run(&model);
                    }
                    let end = if self.unresponsive.contains(&endpoint) {
                        RequestOutcome::Failed
                    } else {
                        RequestOutcome::Done
                    };
                    self.act(|p, now| p.on_request_end(now, id, end));
                }
            }
            Event::CallerLeft(id) => {
                if self.waiting.remove(&id.ticket).is_some() {
                    self.act(|p, now| p.on_request_end(now, id, RequestOutcome::Done));
                }
            }
            Event::Response(endpoint, number, end) => {
                self.act(|p, now| p.on_order_outcome(now, &endpoint, number, end));
            }
            Event::LateOrder(endpoint, number) => {
                if let Some(order) = self.late_orders.remove(&(endpoint, number)) {
                    self.execute(&order);
                }
            }
            Event::Report(endpoint) => {
                let engine = self.engines.get(&endpoint);
                let responding = engine.filter(|_| !self.unresponsive.contains(&endpoint));
                let report = responding.map(|e| e.report(self.now));
                self.act(|p, now| p.on_report(now, &endpoint, report));
            }
            Event::Tick => {
                self.next_tick = None;
                self.act(Placer::on_tick);
            }
        }
    }

    fn send_request(&mut self, ticket: u64) {
        let (requested_at, deadline) = self.waiting[&ticket];
        let request = PlacementRequest {
            service: SERVICE.into(),
            account: None,
            model: self.models[&ticket].clone(),
            tokens: TokenCount::default(),
            priority: self.priorities.get(&ticket).copied().unwrap_or(0),
            goal: requested_at + self.goal,
            deadline,
            exclude: Vec::new(),
        };
        self.act(|p, now| p.on_request(now, PlacementId { source: 1, ticket }, request));
    }

    fn apply_output(&mut self, output: Output) {
        match output {
            Output::Grant {
                request, endpoint, ..
            } => self.grant(request, &endpoint),
            Output::Refuse {
                request,
                retry_after,
                ..
            } => {
                self.counters.retry_delays.push((self.now, retry_after));
                if let Some((requested_at, _)) = self.waiting.remove(&request.ticket) {
                    self.counters.refused += 1;
                    self.counters.refuse_waits.push(self.now - requested_at);
                }
            }
            Output::Order(order) => {
                self.counters.orders += 1;
                let (endpoint, number) = (order.endpoint.clone(), order.number);
                if self.unresponsive.contains(&endpoint) {
                    let timeout = Duration::from_millis(if order.is_poll { 60 } else { 150 });
                    let end = OrderOutcome::Unanswered;
                    self.at(self.now + timeout, Event::Response(endpoint, number, end));
                } else if self.rng.random::<f64>() < self.settings.late_share {
                    let delay = Duration::from_millis(self.rng.random_range(2000..12000));
                    self.at(self.now + delay, Event::LateOrder(endpoint.clone(), number));
                    let timeout = Duration::from_millis(if order.is_poll { 60 } else { 150 });
                    self.late_orders.insert((endpoint.clone(), number), order);
                    let end = OrderOutcome::Unanswered;
                    self.at(self.now + timeout, Event::Response(endpoint, number, end));
                } else {
                    let end = self.execute(&order);
                    let latency = Duration::from_millis(1);
                    self.at(self.now + latency, Event::Response(endpoint, number, end));
                }
            }
            Output::FetchReport(endpoint) => {
                self.at(self.now + Duration::from_millis(1), Event::Report(endpoint));
            }
            Output::Superseded(_) => panic!("no other holder sends orders"),
        }
    }

    fn grant(&mut self, request: PlacementId, endpoint: &EndpointId) {
        let Some((requested_at, _)) = self.waiting.remove(&request.ticket) else {
            return;
        };
        self.counters.waits.push(self.now - requested_at);
        let model = self.models[&request.ticket].clone();
        let engine = self.engines.get_mut(endpoint).expect("a known endpoint");
        if engine.start_run(self.now, &model) {
            self.counters.granted += 1;
            let start = (self.now, endpoint.clone(), request.ticket);
            self.counters.starts.push(start);
            self.running.insert(request, (endpoint.clone(), model));
            self.at(self.now + self.settings.run_time, Event::RunEnded(request));
        } else {
            self.counters.not_held += 1;
            self.act(|p, now| p.on_request_end(now, request, RequestOutcome::NotHeld));
        }
    }

    fn execute(&mut self, order: &caraway_placement::Order) -> OrderOutcome {
        let fetching: usize = self.engines.values().map(|e| e.fetching(self.now)).sum();
        let concurrent = (fetching + 1).max(self.settings.full_speed_loads);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let slowdown = concurrent as f64 / self.settings.full_speed_loads as f64;
        let load = match order.model.adapter {
            Some(_) => self.settings.load_time.mul_f64(slowdown),
            None => self.settings.weights_load_time,
        };
        let newest = self.versions.get(&order.model).copied().unwrap_or(1);
        let version = order.version.unwrap_or(newest);
        let engine = self
            .engines
            .get_mut(&order.endpoint)
            .expect("a known endpoint");
        match engine.execute(self.now, order, load, version) {
            OrderEffect::Outcome(end) => end,
            OrderEffect::FetchStarted => {
                self.counters.fetched += 1;
                OrderOutcome::Accepted
            }
            OrderEffect::WeightsLoadStarted => {
                self.counters.weight_loads.push(self.now);
                OrderOutcome::Accepted
            }
            OrderEffect::Crashed => {
                self.counters.crashes += 1;
                OrderOutcome::Unanswered
            }
        }
    }
}
