//! A simulated fleet of instances that send requests to endpoints with request limits, under a
//! virtual clock: a holder's [`Placer`] gives the permits, and instances that don't reach it use
//! their own shares.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use caraway_placement::{ConnectedShare, Placer, PlacerSettings};
use caraway_routes::{EndpointLimits, LimitStatement, RequestRate, SoloLimiter};
use caraway_types::{EndpointId, InstanceId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Longest time of an answer, in ms.
const ANSWER_MS: u64 = 300;
/// Time within which requests are counted against a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time after an instance has learned of a limit from which it must keep it.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// Time after an endpoint first stated a limit from which the limit must be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Age of a permit from which it is not used, as in the gateway.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which an instance gives up waiting for a holder's reply, as in the gateway.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a frame after which a session counts as lost, as in the gateway.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Shape of a simulated day.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) instances: usize,
    /// Endpoints that limit their requests, with the rate at first.
    pub(crate) limits: Vec<f64>,
    /// Requests per second for each endpoint, as a multiple of its limit.
    pub(crate) demand: f64,
    pub(crate) end: Duration,
    pub(crate) faults: Vec<(Duration, Fault)>,
    /// Share of the reports of a limit to the holder that are lost, as when its session opens just
    /// then.
    pub(crate) report_loss: f64,
}

/// A fault, a change of a limit, or the end of either.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The holder's process is killed; another instance holds the zone after this time.
    HolderKilled(Duration),
    /// This share of the instances is cut off from the holder for this time; their side elects a
    /// holder of its own.
    Cut(f64, Duration),
    /// This share of the instances restarts and knows no limits.
    Restart(f64),
    /// An endpoint states another limit; `None` for none.
    Limit(usize, Option<f64>),
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(usize),
    /// A request for a permit reaches a holder.
    Asked(usize, usize),
    /// A permit that was given at this rate may be used.
    Permitted(usize, usize, RequestRate),
    /// A request reaches its endpoint.
    Received(usize, usize),
    /// An answer reaches its instance: endpoint, stated limit, when the request was sent.
    Answered(usize, usize, Option<f64>, Instant),
    Fault(usize),
    HolderElected(usize),
    Healed,
    /// A session to the holder of the instance's side is lost.
    SessionLost(usize, u64),
    /// A session to the holder of the instance's side is open.
    SessionOpened(usize, u64),
}

/// What an endpoint had told the sender of a request about its limit, early enough to keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    None,
    /// A limit that has changed since.
    Former,
    Current,
}

#[derive(Default)]
struct Instance {
    known: EndpointLimits,
    denied_until: HashMap<usize, Instant>,
    solo: HashMap<usize, (RequestRate, SoloLimiter)>,
    /// The limit in the last answer of an endpoint, and when it was first told of it.
    told: HashMap<usize, (f64, Instant)>,
    /// 0 for the main side, 1 for the one that is cut off.
    side: usize,
    /// Whether it has a session to its side's holder.
    is_connected: bool,
    /// Distinguishes the links to successive holders.
    link: u64,
}

/// A zone's holder, as one side of the fleet sees it.
struct Holder {
    placer: Placer,
    known: EndpointLimits,
    connected: ConnectedShare,
}

/// A fleet on a simulated day.
pub(crate) struct Fleet {
    settings: FleetSettings,
    start: Instant,
    now: Instant,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    holders: [Option<Holder>; 2],
    /// The limit that each endpoint states, with the times of its changes.
    stated: Vec<Vec<(Instant, Option<f64>)>>,
    /// Requests that reached each endpoint: when, and what their instance had been told.
    arrivals: Vec<Vec<(Instant, Knowledge)>>,
    events: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    queued: Vec<Event>,
    pub(crate) refused: usize,
}

/// Requests of an endpoint compared with its limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// The largest number of requests in 4 s, as a share of what is allowed.
    pub(crate) peak: f64,
    /// The part of the limit that was used once it had to be kept.
    pub(crate) used: f64,
}

fn endpoint_id(number: usize) -> EndpointId {
    format!("e{number}").into()
}

fn instance_id(number: usize) -> InstanceId {
    format!("i{number}").into()
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::clamped(per_second).expect("a rate")
}

impl Fleet {
    pub(crate) fn new(settings: FleetSettings, seed: u64) -> Self {
        let start = Instant::now();
        let endpoints = settings.limits.len();
        let mut fleet = Self {
            start,
            now: start,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: (0..settings.instances)
                .map(|_| Instance {
                    is_connected: true,
                    ..Instance::default()
                })
                .collect(),
            holders: [None, None],
            stated: vec![Vec::new(); endpoints],
            arrivals: vec![Vec::new(); endpoints],
            events: BinaryHeap::new(),
            queued: Vec::new(),
            refused: 0,
            settings,
        };
        let all: Vec<usize> = (0..fleet.instances.len()).collect();
        fleet.holders[0] = Some(fleet.new_holder(&all));
        for endpoint in 0..endpoints {
            let limit = fleet.settings.limits[endpoint];
            fleet.stated[endpoint].push((start, Some(limit)));
            fleet.schedule_arrival(endpoint);
        }
        for number in 0..fleet.settings.faults.len() {
            let at = start + fleet.settings.faults[number].0;
            fleet.at(at, Event::Fault(number));
        }
        fleet
    }

    /// Plays the day and returns how each endpoint's limit was used.
    pub(crate) fn run(&mut self) -> Vec<Usage> {
        let end = self.start + self.settings.end;
        while let Some(Reverse((at, _, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.queued[number];
            self.on_event(event);
        }
        let endpoints = 0..self.settings.limits.len();
        endpoints.map(|e| self.usage(e, end)).collect()
    }

    fn new_holder(&self, connected: &[usize]) -> Holder {
        // Every instance has learned the size of the fleet from an earlier holder.
        let mut share = ConnectedShare::new(Some((self.instances.len(), self.now)));
        // The first one is the holder itself.
        for instance in connected.iter().skip(1) {
            share.on_connected(&instance_id(*instance));
        }
        let mut placer = Placer::new(PlacerSettings::default(), self.now);
        placer.set_limit_share(self.now, share.share(self.now));
        Holder {
            placer,
            known: EndpointLimits::default(),
            connected: share,
        }
    }

    fn at(&mut self, at: Instant, event: Event) {
        let number = self.queued.len();
        self.queued.push(event);
        self.events.push(Reverse((at, number as u64, number)));
    }

    fn after_ms(&mut self, from_ms: u64, to_ms: u64, event: Event) {
        let delay = Duration::from_micros(self.rng.random_range(from_ms * 1000..to_ms * 1000));
        self.at(self.now + delay, event);
    }

    fn schedule_arrival(&mut self, endpoint: usize) {
        let per_second = self.settings.limits[endpoint] * self.settings.demand;
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let gap = Duration::from_secs_f64(-draw.ln() / per_second);
        self.at(self.now + gap, Event::Arrival(endpoint));
    }

    /// Draws an instance: half of the requests come to a tenth of the instances.
    fn draw_instance(&mut self) -> usize {
        let all = self.instances.len();
        let busy = all.div_ceil(10);
        if self.rng.random::<bool>() {
            self.rng.random_range(0..busy)
        } else {
            self.rng.random_range(0..all)
        }
    }

    fn stated_now(&self, endpoint: usize) -> Option<f64> {
        self.stated[endpoint].last().and_then(|(_, limit)| *limit)
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival(endpoint) => {
                self.schedule_arrival(endpoint);
                let instance = self.draw_instance();
                self.on_request(instance, endpoint);
            }
            Event::Asked(instance, endpoint) => self.on_asked(instance, endpoint),
            Event::Permitted(instance, endpoint, given) => {
                let known = &self.instances[instance].known;
                let limit = known.get(&endpoint_id(endpoint), None);
                if limit.is_none_or(|l| l.rate >= given) {
                    // Some connections take long to open.
                    let slow = self.rng.random::<f64>() < 0.05;
                    let connect_ms = self.rng.random_range(2..if slow { 1500 } else { 12 });
                    let connect = Duration::from_millis(connect_ms);
                    if connect <= PERMIT_LIFETIME {
                        self.at(self.now + connect, Event::Received(instance, endpoint));
                    }
                }
            }
            Event::Received(instance, endpoint) => {
                let stated = self.stated_now(endpoint);
                let told = self.instances[instance].told.get(&endpoint);
                let told = told.filter(|(_, at)| *at + LEARNING_TIME <= self.now);
                let knowledge = match told {
                    None => Knowledge::None,
                    Some((limit, _)) if Some(*limit) == stated => Knowledge::Current,
                    Some(_) => Knowledge::Former,
                };
                self.arrivals[endpoint].push((self.now, knowledge));
                let answer = Event::Answered(instance, endpoint, stated, self.now);
                self.after_ms(20, ANSWER_MS, answer);
            }
            Event::Answered(instance, endpoint, limit, sent_at) => {
                self.on_answer(instance, endpoint, limit, sent_at);
            }
            Event::Fault(number) => {
                let fault = self.settings.faults[number].1.clone();
                self.on_fault(&fault);
            }
            Event::HolderElected(side) => {
                let members: Vec<usize> = (0..self.instances.len())
                    .filter(|i| self.instances[*i].side == side)
                    .collect();
                if members.is_empty() {
                    return;
                }
                // The sessions of the others open one after the other.
                self.holders[side] = Some(self.new_holder(&members[..1]));
                for instance in members {
                    let link = self.instances[instance].link;
                    self.after_ms(0, 600, Event::SessionOpened(instance, link));
                }
            }
            Event::Healed => {
                self.holders[1] = None;
                for instance in 0..self.instances.len() {
                    if self.instances[instance].side == 1 {
                        let state = &mut self.instances[instance];
                        state.side = 0;
                        state.is_connected = false;
                        state.link += 1;
                        let link = state.link;
                        self.after_ms(0, 600, Event::SessionOpened(instance, link));
                    }
                }
            }
            Event::SessionLost(instance, link) => {
                let state = &mut self.instances[instance];
                if state.link == link {
                    state.is_connected = false;
                }
                if let Some(holder) = &mut self.holders[0] {
                    holder.connected.on_lost(self.now, &instance_id(instance));
                    let share = holder.connected.share(self.now);
                    holder.placer.set_limit_share(self.now, share);
                }
            }
            Event::SessionOpened(instance, link) => self.on_session_opened(instance, link),
        }
    }

    /// Handles a request that instance `instance` balances to `endpoint`.
    fn on_request(&mut self, instance: usize, endpoint: usize) {
        let now = self.now;
        let state = &mut self.instances[instance];
        let known = state.known.get(&endpoint_id(endpoint), None);
        let Some(limit) = known.map(|l| l.rate) else {
            self.after_ms(1, 8, Event::Received(instance, endpoint));
            return;
        };
        if state.denied_until.get(&endpoint).is_some_and(|d| *d > now) {
            self.refused += 1;
            return;
        }
        if state.is_connected {
            self.after_ms(1, 3, Event::Asked(instance, endpoint));
        } else {
            self.use_own_share(instance, endpoint, limit);
        }
    }

    fn use_own_share(&mut self, instance: usize, endpoint: usize, limit: RequestRate) {
        let now = self.now;
        // Instances know the largest number of instances only roughly.
        let instances = self.instances.len();
        let offset = self.rng.random::<f64>();
        let state = &mut self.instances[instance];
        let share = state.solo.entry(endpoint).or_insert_with(|| {
            let limiter = SoloLimiter::new(now, limit, instances, offset);
            (limit, limiter)
        });
        if share.0 != limit {
            *share = (limit, SoloLimiter::new(now, limit, instances, offset));
        }
        match share.1.acquire(now) {
            Ok(()) => self.after_ms(1, 8, Event::Received(instance, endpoint)),
            Err(after) => {
                state.denied_until.insert(endpoint, now + after);
                self.refused += 1;
            }
        }
    }

    fn on_asked(&mut self, instance: usize, endpoint: usize) {
        let now = self.now;
        let side = self.instances[instance].side;
        if self.holders[side].is_none() {
            // No reply comes in time.
            let known = &self.instances[instance].known;
            let known = known.get(&endpoint_id(endpoint), None);
            if let Some(limit) = known.map(|l| l.rate) {
                self.now += PERMIT_TIMEOUT;
                self.use_own_share(instance, endpoint, limit);
                self.now = now;
            }
            return;
        }
        // A request for a permit states the limit, which the holder may have missed.
        if let Some(limit) = self.instances[instance]
            .known
            .get(&endpoint_id(endpoint), None)
        {
            let statement = LimitStatement {
                rate: Some(limit.rate),
                sent_at: limit.sent_at,
                received_at: limit.received_at,
            };
            self.report(side, endpoint, statement);
        }
        let Some(holder) = &mut self.holders[side] else {
            return;
        };
        // Requests of the most important class wait up to a second.
        let max_wait = if self.rng.random::<bool>() {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        };
        let id = endpoint_id(endpoint);
        match holder.placer.acquire_permit(now, &id, max_wait) {
            Ok(wait) => {
                let known = self.instances[instance].known.get(&id, None);
                let given = known.map_or(RequestRate::MAX, |l| l.rate);
                self.at(now + wait, Event::Permitted(instance, endpoint, given));
            }
            Err(after) => {
                let state = &mut self.instances[instance];
                state.denied_until.insert(endpoint, now + after);
                self.refused += 1;
            }
        }
    }

    fn on_answer(
        &mut self,
        instance: usize,
        endpoint: usize,
        limit: Option<f64>,
        sent_at: Instant,
    ) {
        let statement = LimitStatement {
            rate: limit.map(rate),
            sent_at,
            received_at: self.now,
        };
        let state = &mut self.instances[instance];
        let is_told = |limit: f64| {
            let told = state.told.get(&endpoint);
            told.is_some_and(|t| t.0.to_bits() == limit.to_bits())
        };
        match limit {
            Some(limit) if is_told(limit) => {}
            Some(limit) => {
                state.told.insert(endpoint, (limit, self.now));
            }
            None => {
                state.told.remove(&endpoint);
            }
        }
        let change = state
            .known
            .on_statement(&endpoint_id(endpoint), None, statement);
        let is_lost = self.rng.random::<f64>() < self.settings.report_loss;
        if change.is_some() && state.is_connected && !is_lost {
            let side = state.side;
            self.report(side, endpoint, statement);
        }
    }

    /// Passes a statement to a holder, and from there to all instances of its side.
    fn report(&mut self, side: usize, endpoint: usize, statement: LimitStatement) {
        let now = self.now;
        let Some(holder) = &mut self.holders[side] else {
            return;
        };
        let id = endpoint_id(endpoint);
        let change = holder.known.on_statement(&id, None, statement);
        let Some(change) = change else {
            return;
        };
        holder.placer.set_limit(now, &id, change.rate);
        if change.is_urgent() {
            for state in &mut self.instances {
                if state.side == side && state.is_connected {
                    state.known.on_statement(&id, None, statement);
                }
            }
        }
    }

    fn on_session_opened(&mut self, instance: usize, link: u64) {
        let state = &mut self.instances[instance];
        if state.link != link {
            return;
        }
        let side = state.side;
        if self.holders[side].is_none() {
            return;
        }
        state.is_connected = true;
        let statements = state.known.statements(self.now);
        let reported: Vec<(EndpointId, LimitStatement)> =
            statements.map(|(id, _, s)| (id.clone(), s)).collect();
        if let Some(holder) = &mut self.holders[side] {
            holder.connected.on_connected(&instance_id(instance));
            let share = holder.connected.share(self.now);
            holder.placer.set_limit_share(self.now, share);
        }
        for (id, statement) in reported {
            let endpoint = id[1..].parse().expect("the id has a number");
            self.report(side, endpoint, statement);
        }
    }

    fn on_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::HolderKilled(gap) => {
                self.holders[0] = None;
                for state in &mut self.instances {
                    if state.side == 0 {
                        // The connections of a killed process are closed at once.
                        state.is_connected = false;
                        state.link += 1;
                    }
                }
                self.at(self.now + gap, Event::HolderElected(0));
            }
            Fault::Cut(share, time) => {
                for instance in 1..self.instances.len() {
                    if self.rng.random::<f64>() < share {
                        let link = {
                            let state = &mut self.instances[instance];
                            state.side = 1;
                            state.link += 1;
                            state.link
                        };
                        self.at(
                            self.now + HEARTBEAT_TIMEOUT,
                            Event::SessionLost(instance, link),
                        );
                    }
                }
                self.at(
                    self.now + HEARTBEAT_TIMEOUT + Duration::from_millis(400),
                    Event::HolderElected(1),
                );
                self.at(self.now + time, Event::Healed);
            }
            Fault::Restart(share) => {
                for instance in 1..self.instances.len() {
                    if self.rng.random::<f64>() < share {
                        let state = &self.instances[instance];
                        self.instances[instance] = Instance {
                            side: state.side,
                            link: state.link + 1,
                            ..Instance::default()
                        };
                        let link = self.instances[instance].link;
                        self.after_ms(500, 1500, Event::SessionOpened(instance, link));
                    }
                }
            }
            Fault::Limit(endpoint, limit) => self.stated[endpoint].push((self.now, limit)),
        }
    }

    /// Returns how many requests the stated limits allow from `from` to `to`, without tolerance, or
    /// `None` if there is no limit in a part of that time.
    fn allowed(&self, endpoint: usize, from: Instant, to: Instant) -> Option<f64> {
        let changes = &self.stated[endpoint];
        let mut sum = 0.0;
        for (number, (since, limit)) in changes.iter().enumerate() {
            let until = changes.get(number + 1).map_or(to, |c| c.0.min(to));
            let time = until.saturating_duration_since((*since).max(from));
            if !time.is_zero() {
                sum += (*limit)? * time.as_secs_f64();
            }
        }
        Some(sum)
    }

    /// Returns the largest number of requests in 4 s whose senders `counts`, as a share of what the
    /// limits allow that were stated then or up to `memory` before.
    fn peak(&self, endpoint: usize, memory: Duration, counts: impl Fn(Knowledge) -> bool) -> f64 {
        let since = self.start + CONTACT_TIME;
        let counted: Vec<Instant> = self.arrivals[endpoint]
            .iter()
            .filter(|(at, knowledge)| *at >= since && counts(*knowledge))
            .map(|(at, _)| *at)
            .collect();
        let mut peak: f64 = 0.0;
        for (first, at) in counted.iter().enumerate() {
            let count = counted[first..].partition_point(|other| *other < *at + LIMIT_WINDOW);
            let from = at.checked_sub(memory).unwrap_or(self.start).max(self.start);
            let starts = [from, *at];
            let allowed = starts.map(|s| self.allowed(endpoint, s, s + LIMIT_WINDOW));
            if let [Some(before), Some(now)] = allowed {
                peak = peak.max(as_f64(count) / (1.5 * before.max(now) + 5.0).floor());
            }
        }
        peak
    }

    fn usage(&self, endpoint: usize, end: Instant) -> Usage {
        let of_current = |k| k == Knowledge::Current;
        let of_any = |k| k != Knowledge::None;
        let peak = self
            .peak(endpoint, Duration::ZERO, of_current)
            .max(self.peak(endpoint, LIMIT_WINDOW * 2, of_any));
        let since = self.start + CONTACT_TIME;
        let arrivals = self.arrivals[endpoint].iter();
        let all = arrivals.filter(|(at, _)| *at >= since).count();
        let limit = self.allowed(endpoint, since, end).unwrap_or(f64::INFINITY);
        Usage {
            peak,
            used: as_f64(all) / limit,
        }
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts are small"))
}
