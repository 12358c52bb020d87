//! Engines that read and decode in steps, and callers that retry once, under a virtual clock. The
//! adapters are resident from the start, so that requests compete only for the engines.

#![allow(dead_code, reason = "each test uses a part")]

pub(crate) mod engine;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_placement::{
    Output, PlacementId, PlacementRequest, Placer, PlacerSettings, RefuseReason, RequestOutcome,
};
use caraway_routes::{
    Change, Endpoint, EndpointState, EngineConfig, LoadedModel, Model, ModelRef, Resident,
    TokenCount,
};
use caraway_types::EndpointId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use engine::{Engine, EngineSpeed, Progress};

const MODEL: &str = "base";
const SERVICE: &str = "lm";
/// Interval of the placer's ticks when nothing is due earlier.
const TICK: Duration = Duration::from_millis(10);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) priority: u8,
    pub(crate) prompt: u32,
    pub(crate) output: u32,
    pub(crate) goal: Duration,
    pub(crate) timeout: Duration,
    pub(crate) account: Option<u32>,
}

impl Kind {
    fn tokens(&self) -> f64 {
        f64::from(self.prompt) + f64::from(self.output)
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) adapter: usize,
    pub(crate) model: ModelRef,
    pub(crate) at: Instant,
    /// When the caller sent the request for the first time.
    pub(crate) first_at: Instant,
    pub(crate) granted: Option<Instant>,
    pub(crate) first_event: Option<Instant>,
    pub(crate) refused: Option<(Instant, RefuseReason, Duration)>,
    pub(crate) ended: bool,
    pub(crate) endpoint: Option<EndpointId>,
}

enum Event {
    Request(u64),
    Timeout(u64),
    StepEnd(EndpointId),
    Speed(EndpointId, f64),
    Tick,
}

/// A placer with engines that hold adapters.
pub(crate) struct Fleet {
    pub(crate) start: Instant,
    pub(crate) now: Instant,
    pub(crate) placer: Placer,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) rng: ChaCha8Rng,
    /// Whether refused callers return when they were told to, however late that is, and then wait as
    /// long as at first.
    pub(crate) are_callers_patient: bool,
    /// Requests of callers that were refused and returned.
    pub(crate) returned: Vec<u64>,
    slots: u32,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    last_ticket: u64,
}

pub(crate) fn endpoint_id(number: usize) -> EndpointId {
    format!("e{number:02}").into()
}

/// Returns the adapter with this number, or the base model for 0.
pub(crate) fn model(number: usize) -> ModelRef {
    ModelRef {
        model: MODEL.into(),
        adapter: (number > 0).then(|| format!("a{number}").into()),
    }
}

fn engine_config(slots: u32, token_capacity: Option<u32>) -> EngineConfig {
    EngineConfig {
        slots,
        adapter_slots: 16,
        memory_mb: 100.0,
        models: vec![Model {
            name: MODEL.into(),
            weight_mb: 90.0,
            adapter_mb: 0.0,
            load_time: Duration::from_secs(2),
            disk_load_time: Duration::from_secs(1),
        }],
        loads_per_second: 1.0,
        token_capacity,
    }
}

impl Fleet {
    /// Creates engines of these speeds; engine `i` holds the adapters `held(i)`.
    pub(crate) fn new(
        speeds: &[EngineSpeed],
        slots: u32,
        held: impl Fn(usize) -> Vec<usize>,
        kinds: Vec<Kind>,
        seed: u64,
    ) -> Self {
        let start = Instant::now();
        let mut placer = Placer::new(PlacerSettings::default(), start);
        let engine = engine_config(slots, None);
        placer.set_engine(&SERVICE.into(), &engine);
        let mut fleet = Self {
            start,
            now: start,
            placer,
            kinds,
            engines: BTreeMap::new(),
            requests: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            are_callers_patient: false,
            returned: Vec::new(),
            slots,
            events: BTreeMap::new(),
            sequence: 0,
            last_ticket: 0,
        };
        for (number, speed) in speeds.iter().enumerate() {
            let id = endpoint_id(number);
            fleet.engines.insert(id, Engine::new(*speed));
            let entry = fleet.entry(number, &held(number));
            fleet.act(|p, now| p.on_endpoint(now, &entry, Change::New));
        }
        fleet.at(start + TICK, Event::Tick);
        fleet
    }

    /// Sets the memory of each engine for tokens.
    pub(crate) fn set_token_capacity(&mut self, tokens: u32) {
        let engine = engine_config(self.slots, Some(tokens));
        self.act(|p, _| p.set_engine(&SERVICE.into(), &engine));
    }

    fn entry(&self, number: usize, held: &[usize]) -> Arc<Endpoint> {
        let adapters = held.iter().filter_map(|n| model(*n).adapter);
        let residents = adapters.map(|adapter| Resident {
            adapter,
            version: 1,
        });
        Arc::new(Endpoint {
            id: endpoint_id(number),
            service: SERVICE.into(),
            addr: ([127, 0, 0, 1], 9000).into(),
            zone: "z".into(),
            slots: self.slots,
            state: EndpointState::Ready,
            remaining: None,
            started_ms: Some(1),
            software: "v1".into(),
            is_engine: true,
            models: vec![LoadedModel {
                model: MODEL.into(),
                adapters: residents.collect(),
            }],
        })
    }

    /// Schedules requests of a kind at random times from `from` to `to`; `pick` chooses the adapter.
    pub(crate) fn schedule(
        &mut self,
        kind: usize,
        per_second: f64,
        from: Duration,
        to: Duration,
        pick: impl Fn(&mut ChaCha8Rng) -> usize,
    ) {
        let mut at = from;
        loop {
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / per_second);
            if at >= to {
                return;
            }
            let adapter = pick(&mut self.rng);
            self.request_at(at, kind, adapter);
        }
    }

    /// Schedules one request; returns its ticket.
    pub(crate) fn request_at(&mut self, at: Duration, kind: usize, adapter: usize) -> u64 {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let at = self.start + at;
        self.send_at(ticket, kind, adapter, at, at)
    }

    fn send_at(
        &mut self,
        ticket: u64,
        kind: usize,
        adapter: usize,
        at: Instant,
        first_at: Instant,
    ) -> u64 {
        let request = Request {
            kind,
            adapter,
            model: model(adapter),
            at,
            first_at,
            granted: None,
            first_event: None,
            refused: None,
            ended: false,
            endpoint: None,
        };
        self.requests.insert(ticket, request);
        self.at(at, Event::Request(ticket));
        ticket
    }

    /// Changes an engine's speed at a time.
    pub(crate) fn set_speed_at(&mut self, at: Duration, number: usize, factor: f64) {
        let at = self.start + at;
        self.at(at, Event::Speed(endpoint_id(number), factor));
    }

    pub(crate) fn run_until(&mut self, end: Duration) {
        let end = self.start + end;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.on_event(event);
        }
        self.now = end;
    }

    /// Returns the requests of a kind that callers sent from `from` to `to`.
    pub(crate) fn of_kind(
        &self,
        kind: usize,
        from: Duration,
        to: Duration,
    ) -> impl Iterator<Item = &Request> {
        let sent = (self.start + from)..(self.start + to);
        let all = self.requests.values();
        all.filter(move |r| r.kind == kind && sent.contains(&r.at))
    }

    pub(crate) fn is_on_time(&self, request: &Request) -> bool {
        let goal = self.kinds[request.kind].goal;
        request
            .first_event
            .is_some_and(|at| at <= request.at + goal)
            && request.ended
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Request(ticket) => {
                let request = &self.requests[&ticket];
                let kind = self.kinds[request.kind];
                let placement = PlacementRequest {
                    service: SERVICE.into(),
                    account: kind.account.map(|n| format!("account{n}").into()),
                    model: request.model.clone(),
                    tokens: TokenCount {
                        prompt: kind.prompt,
                        output: kind.output,
                    },
                    priority: kind.priority,
                    goal: request.first_at + kind.goal,
                    deadline: request.first_at + kind.timeout,
                    exclude: Vec::new(),
                };
                self.at(request.first_at + kind.timeout, Event::Timeout(ticket));
                self.act(|p, now| p.on_request(now, id(ticket), placement));
            }
            Event::Timeout(ticket) => {
                let request = &self.requests[&ticket];
                if request.ended || request.refused.is_some() {
                    return;
                }
                if let Some(endpoint) = request.endpoint.clone()
                    && let Some(engine) = self.engines.get_mut(&endpoint)
                {
                    engine.remove(ticket);
                }
                self.act(|p, now| p.on_request_end(now, id(ticket), RequestOutcome::Done));
            }
            Event::StepEnd(endpoint) => self.on_step_end(&endpoint),
            Event::Speed(endpoint, factor) => {
                if let Some(engine) = self.engines.get_mut(&endpoint) {
                    engine.speed.factor = factor;
                }
            }
            Event::Tick => {
                self.act(Placer::on_tick);
                self.at(self.now + TICK, Event::Tick);
            }
        }
    }

    fn on_step_end(&mut self, endpoint: &EndpointId) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        for progress in engine.end_step() {
            match progress {
                Progress::FirstEvent(ticket) => {
                    if let Some(request) = self.requests.get_mut(&ticket) {
                        request.first_event = Some(self.now);
                    }
                }
                Progress::Ended(ticket) => {
                    if let Some(request) = self.requests.get_mut(&ticket) {
                        request.ended = true;
                    }
                    self.act(|p, now| p.on_request_end(now, id(ticket), RequestOutcome::Done));
                }
            }
        }
        self.step(endpoint);
    }

    fn step(&mut self, endpoint: &EndpointId) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        if engine.running() > 0 && !engine.is_stepping {
            let time = Duration::from_secs_f64(engine.start_step() / 1000.0);
            self.at(self.now + time, Event::StepEnd(endpoint.clone()));
        }
    }

    /// Calls `act` on the placer and carries out the outputs.
    pub(crate) fn act(&mut self, act: impl FnOnce(&mut Placer, Instant)) {
        act(&mut self.placer, self.now);
        for output in self.placer.take_outputs() {
            match output {
                Output::Grant {
                    request, endpoint, ..
                } => self.grant(request.ticket, &endpoint),
                Output::Refuse {
                    request,
                    reason,
                    retry_after,
                } => {
                    if let Some(known) = self.requests.get_mut(&request.ticket) {
                        known.refused = Some((self.now, reason, retry_after));
                        self.on_refused(request.ticket, retry_after);
                    }
                }
                // The endpoints answer no orders, so nothing is loaded.
                Output::Order(_) | Output::FetchReport(_) | Output::Superseded(_) => {}
            }
        }
    }

    /// Sends a refused request again, as callers do once, when the caller was told to.
    fn on_refused(&mut self, ticket: u64, retry_after: Duration) {
        let request = self.requests[&ticket].clone();
        let deadline = request.first_at + self.kinds[request.kind].timeout;
        let left = deadline.saturating_duration_since(self.now);
        let (kind, adapter) = (request.kind, request.adapter);
        let at = self.now + retry_after;
        if request.at != request.first_at {
            return;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if self.are_callers_patient {
            self.send_at(ticket, kind, adapter, at, at);
            self.returned.push(ticket);
        } else if retry_after <= left / 3 {
            self.send_at(ticket, kind, adapter, at, request.first_at);
            self.returned.push(ticket);
        }
    }

    fn grant(&mut self, ticket: u64, endpoint: &EndpointId) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.granted = Some(self.now);
        request.endpoint = Some(endpoint.clone());
        let kind = self.kinds[request.kind];
        let all = self.requests.values();
        let open = all.filter(|r| r.endpoint.as_ref() == Some(endpoint) && !r.ended);
        let held = open.map(|r| self.kinds[r.kind].tokens());
        let held = if kind.prompt > 2048 { held.sum() } else { 0.0 };
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.add(ticket, kind.prompt, kind.output, held);
        }
        self.step(endpoint);
    }
}

fn id(ticket: u64) -> PlacementId {
    PlacementId { source: 1, ticket }
}
