//! A fleet of instances and holders in virtual time: messages with latency, faults, and the runs of
//! every request.

mod faults;
pub(crate) mod load;
pub(crate) mod result;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    time::{Duration, Instant},
};

use caraway_accounts::{
    AccountDirectory, Admission, AllowanceAction, AllowanceSettings, Allowances, Draw, DrawReply,
    PoolShare, QuotaPool,
};
use caraway_types::{InstanceId, ZoneId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::common::BOUNDS;
pub(crate) use faults::Fault;
use load::{Load, Request};
use result::Outcome;

/// Time within which a draw is answered.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which all instances have applied a configuration.
pub(crate) const CONFIG_APPLY: f64 = 3.0;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Ask(Request),
    ToHolder(usize, usize, Draw, u64),
    ToInstance(usize, usize, DrawReply, u64),
    NoReply(usize, usize, usize, u64),
    Refund(Request, Instant),
    Fault(Fault),
    EndCut,
    Lose(usize, usize),
    Connect(usize, usize),
    Claim(usize, usize),
    Publish,
    ApplyInstance(usize),
    ApplyHolder(usize),
}

struct Instance {
    name: InstanceId,
    zone: usize,
    allowances: Allowances,
    /// The holder of each zone that the instance has a session with.
    sessions: Vec<Option<usize>>,
    reachable: Vec<ZoneId>,
    frozen_until: f64,
    waiting: HashMap<usize, Vec<Request>>,
    /// Draws without a reply.
    open: HashSet<u64>,
}

struct Holder {
    zone: usize,
    instance: usize,
    pool: QuotaPool,
    share: PoolShare,
    is_alive: bool,
}

/// A fleet in virtual time.
pub(crate) struct Fleet {
    pub(crate) rng: ChaCha8Rng,
    start: Instant,
    now: f64,
    end: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queue: HashMap<u64, Event>,
    next: u64,
    zones: Vec<ZoneId>,
    instances: Vec<Instance>,
    holders: Vec<Holder>,
    /// The zone that is cut off.
    cut: Option<usize>,
    /// Part of the replies that are lost.
    pub(crate) loss: f64,
    /// Part of the admitted requests that certainly don't run.
    pub(crate) refunds: f64,
    pub(crate) load: Load,
    /// The configuration that instances and holders are to apply.
    target: AccountDirectory,
    pub(crate) outcome: Outcome,
}

impl Fleet {
    pub(crate) fn new(rng: ChaCha8Rng, instances: usize, zones: usize, load: Load) -> Self {
        let start = Instant::now();
        let zones: Vec<ZoneId> = (0..zones).map(|z| format!("z{z}").into()).collect();
        let target = load.directory();
        let outcome = Outcome::new(&load);
        let mut fleet = Self {
            rng,
            start,
            now: 0.0,
            end: 0.0,
            events: BinaryHeap::new(),
            queue: HashMap::new(),
            next: 0,
            instances: Vec::new(),
            holders: Vec::new(),
            cut: None,
            loss: 0.0,
            refunds: 0.0,
            load,
            target,
            outcome,
            zones,
        };
        for i in 0..instances {
            let zone = i % fleet.zones.len();
            let settings = AllowanceSettings {
                bounds: BOUNDS,
                turn_offset: fleet.rng.random(),
            };
            let mut allowances = Allowances::new(fleet.zones[zone].clone(), settings);
            allowances.set_accounts(start, &fleet.target);
            fleet.instances.push(Instance {
                name: format!("i{i}").into(),
                zone,
                allowances,
                sessions: vec![None; fleet.zones.len()],
                reachable: Vec::new(),
                frozen_until: 0.0,
                waiting: HashMap::new(),
                open: HashSet::new(),
            });
        }
        for zone in 0..fleet.zones.len() {
            fleet.claim(zone, zone, None);
            for i in 0..instances {
                fleet.connect(i, zone);
            }
        }
        fleet
    }

    /// Schedules a fault.
    pub(crate) fn fault(&mut self, at: f64, fault: Fault) {
        self.at(at, Event::Fault(fault));
    }

    /// Publishes changed quotas; instances and holders apply them within 3 s.
    pub(crate) fn change_quotas(&mut self, at: f64, factor: f64) {
        self.load.scale_quotas(at, factor);
        self.at(at, Event::Publish);
    }

    /// Runs until `end`, in seconds.
    pub(crate) fn run(&mut self, end: f64) {
        self.end = end;
        for a in 0..self.load.accounts.len() {
            self.at(0.0, Event::Arrive(a));
        }
        while let Some(Reverse((at, seq))) = self.events.pop() {
            #[expect(clippy::cast_precision_loss, reason = "below 2^53")]
            let now = at as f64 / 1e6;
            if now > end {
                break;
            }
            self.now = now;
            if let Some(event) = self.queue.remove(&seq) {
                self.handle(event);
            }
        }
        self.outcome.time = end;
        self.outcome.instances = self.instances.len();
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn at(&mut self, at: f64, event: Event) {
        self.next += 1;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time of some seconds"
        )]
        let micros = (at * 1e6).ceil() as u64;
        self.events.push(Reverse((micros, self.next)));
        self.queue.insert(self.next, event);
    }

    fn after(&mut self, least: f64, most: f64, event: Event) {
        let after = self.rng.random_range(least..most);
        self.at(self.now + after, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(account) => {
                let (next, request) = self.load.next(&mut self.rng, account, self.now, self.end);
                if let Some(request) = request {
                    self.outcome.ask(&self.load, &request, self.now);
                    self.ask(request);
                }
                self.at(next, Event::Arrive(account));
            }
            Event::Ask(request) => self.ask(request),
            Event::ToHolder(instance, holder, draw, seq) => {
                self.at_holder(instance, holder, draw, seq);
            }
            Event::ToInstance(instance, holder, reply, seq) => {
                self.on_reply(instance, holder, reply, seq);
            }
            Event::NoReply(instance, zone, account, seq) => {
                if self.instances[instance].open.remove(&seq) {
                    let (now, name) = (self.instant(), self.load.accounts[account].name.clone());
                    let zone = &self.zones[zone];
                    let allowances = &mut self.instances[instance].allowances;
                    allowances.on_no_reply(now, zone, &name);
                    self.wake(instance, account);
                }
            }
            Event::Refund(request, admitted_at) => {
                let (now, name) = (
                    self.instant(),
                    self.load.accounts[request.account].name.clone(),
                );
                let allowances = &mut self.instances[request.instance].allowances;
                allowances.refund(now, &name, request.cost, admitted_at);
                self.send(request.instance);
            }
            Event::Fault(fault) => self.begin(fault),
            Event::EndCut => self.end_cut(),
            Event::Lose(instance, holder) => self.lose(instance, holder),
            Event::Connect(instance, holder) => self.connect(instance, holder),
            Event::Claim(zone, instance) => {
                let known = self.instances.len();
                self.claim(zone, instance, Some(known));
                let holder = self.holders.len() - 1;
                for i in 0..self.instances.len() {
                    self.after(0.0, 0.3, Event::Connect(i, holder));
                }
            }
            Event::Publish => {
                self.target = self.load.directory();
                for i in 0..self.instances.len() {
                    self.after(0.0, CONFIG_APPLY, Event::ApplyInstance(i));
                }
                for h in 0..self.holders.len() {
                    self.after(0.0, CONFIG_APPLY, Event::ApplyHolder(h));
                }
            }
            Event::ApplyInstance(i) => {
                let now = self.instant();
                self.instances[i].allowances.set_accounts(now, &self.target);
            }
            Event::ApplyHolder(h) => {
                let now = self.instant();
                self.holders[h].pool.set_accounts(now, &self.target);
            }
        }
    }

    fn ask(&mut self, request: Request) {
        let now = self.instant();
        let count = self.instances.len();
        let instance = &mut self.instances[request.instance];
        if instance.frozen_until > self.now {
            let at = instance.frozen_until;
            self.at(at, Event::Ask(request));
            return;
        }
        // An instance uses the quota that it knows.
        let known = self.load.known(request.account, self.now);
        let admission =
            instance
                .allowances
                .admit(now, known, request.cost, &instance.reachable, count);
        match admission {
            Admission::Admitted => {
                if self.refunds > 0.0 && self.rng.random_bool(self.refunds) {
                    self.outcome.refunded += 1;
                    self.after(0.0, 3.0, Event::Refund(request, now));
                } else {
                    self.outcome.run(&request, self.now);
                }
            }
            Admission::Pending if self.now > request.give_up_at => self.outcome.timed_out += 1,
            Admission::Pending => {
                let waiting = instance.waiting.entry(request.account).or_default();
                waiting.push(request);
            }
            Admission::Refused { .. } => {
                self.outcome.refused += 1;
                if self.load.repeats(&mut self.rng, &request) {
                    let again = Request {
                        tries: 2,
                        ..request
                    };
                    self.after(0.001, 0.01, Event::Ask(again));
                }
            }
        }
        self.send(request.instance);
    }

    /// Sends the draws of an instance.
    fn send(&mut self, i: usize) {
        for AllowanceAction::Draw { zone, draw } in self.instances[i].allowances.take_actions() {
            self.outcome.draws += 1;
            let zone = self.zones.iter().position(|z| *z == zone).expect("a zone");
            let account = self.load.position(&draw.account);
            let seq = self.next;
            if draw.amount > 0.0 {
                self.instances[i].open.insert(seq);
                let timeout = self.now + REPLY_TIMEOUT.as_secs_f64();
                self.at(timeout, Event::NoReply(i, zone, account, seq));
            }
            if let Some(holder) = self.instances[i].sessions[zone] {
                let latency = self.latency(i, holder);
                let event = Event::ToHolder(i, holder, draw, seq);
                self.at(self.now + latency, event);
            }
        }
    }

    fn latency(&mut self, i: usize, holder: usize) -> f64 {
        let is_near = self.instances[i].zone == self.instances[self.holders[holder].instance].zone;
        let least = if is_near { 0.0002 } else { 0.0008 };
        least * self.rng.random_range(1.0..2.0)
    }

    fn is_cut(&self, i: usize, holder: usize) -> bool {
        let other = self.holders[holder].instance;
        self.cut.is_some_and(|zone| {
            (self.instances[i].zone == zone) != (self.instances[other].zone == zone)
        })
    }

    fn at_holder(&mut self, i: usize, holder: usize, draw: Draw, seq: u64) {
        if self.is_cut(i, holder) || !self.holders[holder].is_alive {
            return;
        }
        let frozen_until = self.instances[self.holders[holder].instance].frozen_until;
        if frozen_until > self.now {
            self.at(frozen_until, Event::ToHolder(i, holder, draw, seq));
            return;
        }
        let now = self.instant();
        let h = &mut self.holders[holder];
        h.pool.set_share(now, h.share.share(now));
        let reply = h.pool.draw(now, &draw);
        if reply.granted > 0.0 {
            self.outcome.granted += reply.granted;
        }
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let latency = self.latency(i, holder);
        self.at(self.now + latency, Event::ToInstance(i, holder, reply, seq));
    }

    fn on_reply(&mut self, i: usize, holder: usize, reply: DrawReply, seq: u64) {
        if self.is_cut(i, holder) {
            return;
        }
        let frozen_until = self.instances[i].frozen_until;
        if frozen_until > self.now {
            self.at(frozen_until, Event::ToInstance(i, holder, reply, seq));
            return;
        }
        let now = self.instant();
        let zone = &self.zones[self.holders[holder].zone];
        self.instances[i].allowances.on_reply(now, zone, &reply);
        self.instances[i].open.remove(&seq);
        let account = self.load.position(&reply.account);
        self.wake(i, account);
    }

    /// Lets the waiting requests of an account ask again.
    fn wake(&mut self, i: usize, account: usize) {
        let waiting = self.instances[i].waiting.remove(&account);
        for request in waiting.unwrap_or_default() {
            self.ask(request);
        }
    }

    fn claim(&mut self, zone: usize, instance: usize, expected: Option<usize>) {
        let now = self.instant();
        let mut pool = QuotaPool::new(self.zones.len(), BOUNDS);
        pool.set_accounts(now, &self.target);
        let in_zone = self.instances.get(instance).is_some_and(|i| i.zone == zone);
        self.holders.push(Holder {
            zone,
            instance,
            pool,
            share: PoolShare::new(in_zone, expected.map(|n| (n, now))),
            is_alive: true,
        });
    }

    fn connect(&mut self, i: usize, holder: usize) {
        if self.is_cut(i, holder) || !self.holders[holder].is_alive {
            return;
        }
        let zone = self.holders[holder].zone;
        if let Some(former) = self.instances[i].sessions[zone] {
            self.lose(i, former);
        }
        let h = &mut self.holders[holder];
        if h.instance != i {
            let in_zone = self.instances[i].zone == zone;
            h.share.on_connected(&self.instances[i].name, in_zone);
        }
        self.instances[i].sessions[zone] = Some(holder);
        self.update_reachable(i);
    }

    fn lose(&mut self, i: usize, holder: usize) {
        let now = self.instant();
        let zone = self.holders[holder].zone;
        let h = &mut self.holders[holder];
        h.share.on_lost(now, &self.instances[i].name);
        if self.instances[i].sessions[zone] == Some(holder) {
            self.instances[i].sessions[zone] = None;
            self.update_reachable(i);
        }
    }

    fn update_reachable(&mut self, i: usize) {
        let own = self.instances[i].zone;
        let others = (0..self.zones.len()).filter(|z| *z != own);
        let order = std::iter::once(own).chain(others);
        let sessions = &self.instances[i].sessions;
        let reachable = order.filter(|z| sessions[*z].is_some());
        let reachable = reachable.map(|z| self.zones[z].clone()).collect();
        self.instances[i].reachable = reachable;
    }
}
