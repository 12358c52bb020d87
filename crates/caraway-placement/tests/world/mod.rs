//! Engine endpoints, a weight store and requests under a virtual clock, driven by a [`Placer`].

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod engine;
pub(crate) mod load;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_placement::{Ask, AskId, End, OrderEnd, Output, Placer, PlacerSettings};
use caraway_routes::{
    Change, Endpoint, EndpointState, EngineConfig as EngineSpec, LoadedModel, Model, ModelRef,
    Resident, TokenCount,
};
use caraway_types::EndpointId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use engine::{Carried, Engine};

/// The only model.
pub(crate) const MODEL: &str = "base";
/// The only service.
pub(crate) const SERVICE: &str = "lm";

/// How endpoints and the way to them behave.
#[derive(Clone, Debug)]
pub(crate) struct Nature {
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    pub(crate) places: usize,
    /// Loads from the weight store that run at full speed.
    pub(crate) at_once: usize,
    pub(crate) load: Duration,
    /// Adapters whose copies an endpoint keeps.
    pub(crate) recent: usize,
    /// Share of the orders that get no answer and are carried out late.
    pub(crate) late: f64,
    /// Time of a run.
    pub(crate) run: Duration,
    /// Time of a load of a model's weights from an endpoint's disk.
    pub(crate) weights: Duration,
    /// Loads of weights that the weight store gives in a second.
    pub(crate) weights_rate: f64,
}

impl Default for Nature {
    fn default() -> Self {
        Self {
            endpoints: 3,
            slots: 64,
            places: 4,
            at_once: 16,
            load: Duration::from_millis(250),
            recent: 96,
            late: 0.0,
            run: Duration::from_millis(450),
            weights: Duration::from_millis(840),
            weights_rate: 3.0,
        }
    }
}

impl Nature {
    /// Returns what the configuration says of the endpoints.
    fn engine(&self) -> EngineSpec {
        EngineSpec {
            slots: self.slots,
            adapter_slots: u32::try_from(self.places).expect("small"),
            memory_mb: 100.0,
            models: vec![Model {
                name: MODEL.into(),
                weight_mb: 90.0,
                adapter_mb: 0.0,
                load_time: self.weights * 2,
                disk_load_time: self.weights,
            }],
            loads_per_second: self.weights_rate,
        }
    }
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: usize,
    pub(crate) granted: usize,
    pub(crate) refused: usize,
    pub(crate) not_held: usize,
    pub(crate) waits: Vec<Duration>,
    pub(crate) refuse_waits: Vec<Duration>,
    pub(crate) fetched: usize,
    pub(crate) orders: usize,
    pub(crate) crashes: usize,
    pub(crate) unloads_under_run: usize,
    /// When loads of weights began.
    pub(crate) weights: Vec<Instant>,
}

#[derive(Clone, Debug)]
enum Event {
    Ask(u64, ModelRef, Duration),
    Ran(AskId),
    Left(AskId),
    Answer(EndpointId, u64, OrderEnd),
    Late(EndpointId, u64),
    Report(EndpointId),
    Tick,
}

/// A placer with the endpoints of a zone.
pub(crate) struct World {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) nature: Nature,
    settings: PlacerSettings,
    pub(crate) placer: Placer,
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    pub(crate) tally: Tally,
    pub(crate) rng: ChaCha8Rng,
    /// Endpoints that answer nothing.
    pub(crate) silent: BTreeSet<EndpointId>,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    asked: HashMap<u64, (Instant, Instant)>,
    running: HashMap<AskId, (EndpointId, ModelRef)>,
    late: HashMap<(EndpointId, u64), caraway_placement::Order>,
    next_tick: Option<Instant>,
    versions: HashMap<ModelRef, u64>,
    models: HashMap<u64, ModelRef>,
}

/// Names an adapter.
pub(crate) fn adapter(number: usize) -> ModelRef {
    ModelRef {
        model: MODEL.into(),
        adapter: Some(format!("a{number}").into()),
    }
}

/// Names an endpoint.
pub(crate) fn endpoint_id(number: usize) -> EndpointId {
    format!("e{number}").into()
}

/// Describes an endpoint as the registry does; one that has just started holds no model.
pub(crate) fn entry(number: usize, slots: u32, born: u64, holds: bool) -> Arc<Endpoint> {
    let held = LoadedModel {
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
        is_engine: true,
        models: holds.then_some(held).into_iter().collect(),
    })
}

impl World {
    pub(crate) fn new(nature: Nature, settings: PlacerSettings, seed: u64) -> Self {
        let start = Instant::now();
        let mut placer = Placer::new(settings.clone(), start);
        placer.set_engine(&SERVICE.into(), &nature.engine());
        let mut world = Self {
            start,
            now: start,
            placer,
            engines: BTreeMap::new(),
            tally: Tally::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            silent: BTreeSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
            asked: HashMap::new(),
            running: HashMap::new(),
            late: HashMap::new(),
            next_tick: None,
            versions: HashMap::new(),
            models: HashMap::new(),
            nature,
            settings,
        };
        for number in 0..world.nature.endpoints {
            let engine = Engine::new(world.nature.places, world.nature.recent, Some(start));
            world.engines.insert(endpoint_id(number), engine);
            let entry = entry(number, world.nature.slots, 1, true);
            world.act(|p, now| p.on_endpoint(now, &entry, Change::New));
        }
        world.tell_first_version();
        world
    }

    /// Lets an entry name an adapter of the first version, as the entries of endpoints do that run.
    fn tell_first_version(&mut self) {
        let mut entry = Endpoint::clone(&entry(0, self.nature.slots, 1, true));
        for model in &mut entry.models {
            model.adapters.push(Resident {
                adapter: "named".into(),
                version: 1,
            });
        }
        let entry = Arc::new(entry);
        self.act(|p, now| p.on_endpoint(now, &entry, Change::Updated));
    }

    /// Lets a request come at a time after the start.
    pub(crate) fn ask_at(
        &mut self,
        at: Duration,
        ticket: u64,
        model: ModelRef,
        patience: Duration,
    ) {
        self.at(self.start + at, Event::Ask(ticket, model, patience));
    }

    /// Lets an endpoint crash and start again, empty, under the same id.
    pub(crate) fn restart(&mut self, number: usize) {
        let id = endpoint_id(number);
        let engine = Engine::new(self.nature.places, self.nature.recent, None);
        self.engines.insert(id.clone(), engine);
        self.running.retain(|_, (endpoint, _)| *endpoint != id);
        let entry = entry(number, self.nature.slots, 2, false);
        self.act(|p, now| p.on_endpoint(now, &entry, Change::Reborn));
    }

    /// Lets another placer follow, which knows nothing of what the former one did; the requests that
    /// wait are asked again.
    pub(crate) fn take_over(&mut self) {
        self.placer = Placer::new(self.settings.clone(), self.now);
        self.placer
            .set_engine(&SERVICE.into(), &self.nature.engine());
        for number in 0..self.nature.endpoints {
            let entry = entry(number, self.nature.slots, 1, true);
            self.act(|p, now| p.on_endpoint(now, &entry, Change::New));
        }
        self.tell_first_version();
        for (id, (endpoint, model)) in self.running.clone() {
            self.act(|p, _| p.on_running(id, &endpoint, &model));
        }
        let mut waiting: Vec<u64> = self.asked.keys().copied().collect();
        waiting.sort_unstable();
        for ticket in waiting {
            self.ask(ticket);
        }
    }

    /// Lets the placer lose touch with the instance whose requests run, and hear from it again
    /// after `silence`; the runs go on.
    pub(crate) fn lose_touch(&mut self, silence: Duration) {
        self.act(|p, now| p.on_source_lost(now, 1));
        self.now += silence;
        for (id, (endpoint, model)) in self.running.clone() {
            self.act(|p, _| p.on_running(id, &endpoint, &model));
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

    /// Lets time pass until a time after the start.
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

    /// Returns the requests that neither run nor are refused.
    pub(crate) fn open(&self) -> usize {
        self.asked.len()
    }

    /// Lets the placer act now.
    pub(crate) fn act(&mut self, act: impl FnOnce(&mut Placer, Instant)) {
        act(&mut self.placer, self.now);
        for output in self.placer.take_outputs() {
            self.carry_out(output);
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
            Event::Ask(ticket, model, patience) => {
                let id = AskId { source: 1, ticket };
                self.models.insert(ticket, model);
                self.tally.asked += 1;
                self.asked.insert(ticket, (self.now, self.now + patience));
                self.at(self.now + patience, Event::Left(id));
                self.ask(ticket);
            }
            Event::Ran(id) => {
                if let Some((endpoint, model)) = self.running.remove(&id) {
                    if let Some(engine) = self.engines.get_mut(&endpoint) {
                        engine.end_run(&model);
                    }
                    let end = if self.silent.contains(&endpoint) {
                        End::Failed
                    } else {
                        End::Done
                    };
                    self.act(|p, now| p.on_end(now, id, end));
                }
            }
            Event::Left(id) => {
                if self.asked.remove(&id.ticket).is_some() {
                    self.act(|p, now| p.on_end(now, id, End::Done));
                }
            }
            Event::Answer(endpoint, number, end) => {
                self.act(|p, now| p.on_order_end(now, &endpoint, number, end));
            }
            Event::Late(endpoint, number) => {
                if let Some(order) = self.late.remove(&(endpoint, number)) {
                    self.execute(&order);
                }
            }
            Event::Report(endpoint) => {
                let engine = self.engines.get(&endpoint);
                let heard = engine.filter(|_| !self.silent.contains(&endpoint));
                let report = heard.map(|e| e.report(self.now));
                self.act(|p, now| p.on_report(now, &endpoint, report));
            }
            Event::Tick => {
                self.next_tick = None;
                self.act(Placer::on_tick);
            }
        }
    }

    fn ask(&mut self, ticket: u64) {
        let (asked, deadline) = self.asked[&ticket];
        let ask = Ask {
            service: SERVICE.into(),
            model: self.models[&ticket].clone(),
            tokens: TokenCount::default(),
            priority: 0,
            goal: asked + Duration::from_millis(500),
            deadline,
            avoid: Vec::new(),
        };
        self.act(|p, now| p.on_ask(now, AskId { source: 1, ticket }, ask));
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Grant { ask, endpoint, .. } => self.grant(ask, &endpoint),
            Output::Refuse { ask, .. } => {
                if let Some((asked, _)) = self.asked.remove(&ask.ticket) {
                    self.tally.refused += 1;
                    self.tally.refuse_waits.push(self.now - asked);
                }
            }
            Output::Order(order) => {
                self.tally.orders += 1;
                let (endpoint, number) = (order.endpoint.clone(), order.number);
                if self.silent.contains(&endpoint) {
                    let limit = Duration::from_millis(if order.is_poll { 60 } else { 150 });
                    let end = OrderEnd::Unanswered;
                    self.at(self.now + limit, Event::Answer(endpoint, number, end));
                } else if self.rng.random::<f64>() < self.nature.late {
                    let delay = Duration::from_millis(self.rng.random_range(2000..12000));
                    self.at(self.now + delay, Event::Late(endpoint.clone(), number));
                    let limit = Duration::from_millis(if order.is_poll { 60 } else { 150 });
                    self.late.insert((endpoint.clone(), number), order);
                    let end = OrderEnd::Unanswered;
                    self.at(self.now + limit, Event::Answer(endpoint, number, end));
                } else {
                    let end = self.execute(&order);
                    let way = Duration::from_millis(1);
                    self.at(self.now + way, Event::Answer(endpoint, number, end));
                }
            }
            Output::Report(endpoint) => {
                self.at(self.now + Duration::from_millis(1), Event::Report(endpoint));
            }
            Output::Deposed(_) => panic!("nobody else gives orders"),
        }
    }

    fn grant(&mut self, ask: AskId, endpoint: &EndpointId) {
        let Some((asked, _)) = self.asked.remove(&ask.ticket) else {
            return;
        };
        self.tally.waits.push(self.now - asked);
        let model = self.models[&ask.ticket].clone();
        let engine = self.engines.get_mut(endpoint).expect("a known endpoint");
        if engine.start_run(self.now, &model) {
            self.tally.granted += 1;
            self.running.insert(ask, (endpoint.clone(), model));
            self.at(self.now + self.nature.run, Event::Ran(ask));
        } else {
            self.tally.not_held += 1;
            self.act(|p, now| p.on_end(now, ask, End::NotHeld));
        }
    }

    fn execute(&mut self, order: &caraway_placement::Order) -> OrderEnd {
        let transit: usize = self.engines.values().map(|e| e.fetching(self.now)).sum();
        let crowd = (transit + 1).max(self.nature.at_once);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let stretch = crowd as f64 / self.nature.at_once as f64;
        let load = match order.model.adapter {
            Some(_) => self.nature.load.mul_f64(stretch),
            None => self.nature.weights,
        };
        let newest = self.versions.get(&order.model).copied().unwrap_or(1);
        let version = order.version.unwrap_or(newest);
        let engine = self
            .engines
            .get_mut(&order.endpoint)
            .expect("a known endpoint");
        match engine.execute(self.now, order, load, version) {
            Carried::End(end) => end,
            Carried::Fetched => {
                self.tally.fetched += 1;
                OrderEnd::Accepted
            }
            Carried::Weights => {
                self.tally.weights.push(self.now);
                OrderEnd::Accepted
            }
            Carried::Crashed => {
                self.tally.crashes += 1;
                OrderEnd::Unanswered
            }
        }
    }
}
