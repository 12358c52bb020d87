//! [`Node`]: the decisions of one entry instance.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_members::{EndpointInfo, Identity, MemberEvent, Members, Permission};
use caraway_records::State;
use caraway_routing::{Directory, Outbox, PendingRequests, RateLimiter, replica_hash};
use caraway_slots::{Evidence, LoadBackoffs, LoadBudget, PermitRequest, Popularity};
use caraway_types::{AdapterRef, AttemptId, EndpointId, InstanceId, Ticket, ZoneId};

use crate::{
    ConfigMark, EndpointKind, Gossip, Input, NodeSettings, Output, Room,
    engine::{Engine, store_id},
    job::Job,
};

/// Time that must pass before leases and permits are looked at again.
const TICK: Duration = Duration::from_millis(5);

/// Interval of looking whether popularity shifts.
const SURVEY: Duration = Duration::from_secs(1);

/// The decisions of one entry instance.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) config: Arc<State>,
    pub(crate) config_mark: ConfigMark,
    pub(crate) members: Members,
    /// Zones that have engines.
    pub(crate) zones: BTreeSet<ZoneId>,
    /// Engines of all zones with the hash that homes are chosen by.
    pub(crate) replicas: Vec<(u64, EndpointId)>,
    /// Engines of this zone.
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    pub(crate) jobs: BTreeMap<Ticket, Job>,
    pub(crate) deadlines: BTreeSet<(Instant, Ticket)>,
    pub(crate) parked: BTreeSet<Ticket>,
    pub(crate) waiting: PendingRequests,
    pub(crate) limits: RateLimiter,
    pub(crate) popularity: Popularity,
    pub(crate) backoffs: LoadBackoffs,
    pub(crate) budget: LoadBudget,
    pub(crate) directory: Directory,
    pub(crate) journal: Outbox,
    /// What peers told of room, and when.
    pub(crate) rooms: BTreeMap<InstanceId, (Room, Instant)>,
    /// Wants of peers, and when they came.
    pub(crate) wants: BTreeMap<InstanceId, (PermitRequest, Instant)>,
    /// Loads that this instance, as their home, passed on to a peer, and until when.
    pub(crate) assigned: HashMap<AdapterRef, (InstanceId, Instant)>,
    /// Peers that did not take a request, and until when they are passed over.
    pub(crate) shunned: BTreeMap<InstanceId, Instant>,
    /// Parts of messages that go out at the end of this input.
    pub(crate) outbox: BTreeMap<InstanceId, Gossip>,
    pub(crate) attempts: AttemptId,
    pub(crate) loads: u64,
    pub(crate) wanted: Option<(Instant, Vec<f32>)>,
    pub(crate) next_gossip: Instant,
    pub(crate) evidence: Evidence,
    next_survey: Instant,
    last_tick: Option<Instant>,
}

impl Node {
    /// Makes a node that knows its settings only.
    #[must_use]
    pub fn new(settings: NodeSettings, now: Instant) -> Self {
        let engine = |e: &&crate::EndpointSettings| e.kind == EndpointKind::Engine;
        let engines = settings.endpoints.iter().filter(engine);
        let zones: BTreeSet<ZoneId> = engines.clone().map(|e| e.zone.clone()).collect();
        let own = engines.clone().filter(|e| e.zone == settings.zone);
        let zone_count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
        Self {
            members: members(&settings, &zones, now),
            replicas: engines
                .clone()
                .map(|e| (replica_hash(&e.id), e.id.clone()))
                .collect(),
            engines: own.map(|e| (e.id.clone(), Engine::new(e))).collect(),
            config: Arc::default(),
            config_mark: mark(&State::default()),
            zones,
            jobs: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            parked: BTreeSet::new(),
            waiting: PendingRequests::new(now),
            limits: RateLimiter::default(),
            popularity: Popularity::new(now),
            backoffs: LoadBackoffs::default(),
            budget: LoadBudget::new(settings.store, zone_count),
            directory: Directory::default(),
            journal: Outbox::default(),
            rooms: BTreeMap::new(),
            wants: BTreeMap::new(),
            assigned: HashMap::new(),
            shunned: BTreeMap::new(),
            outbox: BTreeMap::new(),
            attempts: 0,
            loads: 0,
            wanted: None,
            next_gossip: now,
            evidence: Evidence::default(),
            next_survey: now,
            last_tick: None,
            settings,
        }
    }

    /// Puts a configuration into force.
    pub fn set_config(&mut self, now: Instant, config: Arc<State>, out: &mut Vec<Output>) {
        self.config_mark = mark(&config);
        self.config = config;
        self.settle(now, out);
    }

    /// Takes an input and appends what the shell must do.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(submission) => self.on_submit(now, submission, out),
            Input::Cancel(ticket) => self.on_cancel(ticket, out),
            Input::Finished(ticket, done) => self.on_finished(now, ticket, done, out),
            Input::Loaded(endpoint, load, result) => {
                self.on_loaded(now, &endpoint, &load, result, out);
            }
            Input::Unloaded(endpoint, load, done) => {
                self.on_unloaded(now, &endpoint, &load, done);
            }
            Input::Report(endpoint, report) => self.on_report(now, &endpoint, &report, out),
            Input::Gossip(gossip) => self.on_gossip(now, gossip),
            Input::Listing(list) => self.members.on_listing(now, &list),
            Input::Tick => {}
            Input::Leave => self.members.leave(now),
        }
        self.settle(now, out);
    }

    /// Tells whether each replica of this zone has a holder that may use it, as far as is known
    /// here, so that requests need not wait for one.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        self.engines.keys().all(|id| {
            let holder = self.members.holder(id);
            let other = holder.is_some_and(|h| *h != self.settings.id);
            other || self.members.permission(now, id) >= Permission::Fill
        })
    }

    /// Tells whether this instance has handed over every replica, so that it may exit once its
    /// last gossip is sent.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        self.members.handed_over()
    }

    /// Acts on whatever the last input or the passing of time changed.
    fn settle(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self
            .last_tick
            .is_none_or(|t| now.saturating_duration_since(t) >= TICK)
        {
            self.last_tick = Some(now);
            self.tick(now, out);
        }
        self.lend(now);
        self.order_loads(now, out);
        self.flush_gossip(now, out);
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let events = self.members.tick(now);
        let changed = !events.is_empty();
        for event in events {
            self.on_member_event(now, event);
        }
        self.finish_releases(now);
        self.budget.reclaim_expired(now);
        self.backoffs.remove_expired(now);
        if now >= self.next_survey {
            self.next_survey = now + SURVEY;
            self.survey(now);
        }
        self.shunned.retain(|_, until| now < *until);
        self.expire(now, out);
        if changed {
            self.route_again(now, out);
        }
        self.route_parked(now, out);
        self.release_held(now, out);
    }

    /// Looks whether popularity shifts, by the evidence of all instances.
    fn survey(&mut self, now: Instant) {
        self.evidence = self.popularity.evidence(now);
        let mut all = self.evidence;
        for (room, _) in self.rooms.values() {
            all.expected += room.evidence.expected;
            all.observed += room.evidence.observed;
        }
        self.popularity.detect_shift(now, all);
    }

    fn on_member_event(&mut self, now: Instant, event: MemberEvent) {
        match event {
            MemberEvent::Acquired {
                endpoint, fence, ..
            } => {
                if endpoint == store_id(&self.settings.zone) {
                    self.budget.acquire(now);
                } else if let Some(engine) = self.engines.get_mut(&endpoint) {
                    engine.acquire(fence);
                }
            }
            MemberEvent::Lost { endpoint } => self.lose(now, &endpoint),
            MemberEvent::PeerDown { instance } => {
                self.directory.forget(&instance);
                self.journal.send_full_next(&instance);
                self.rooms.remove(&instance);
                self.wants.remove(&instance);
                self.assigned.retain(|_, (to, _)| *to != instance);
            }
            MemberEvent::Adopt { .. }
            | MemberEvent::Cleared { .. }
            | MemberEvent::PeerUp { .. } => {}
        }
    }

    fn lose(&mut self, now: Instant, endpoint: &EndpointId) {
        if *endpoint == store_id(&self.settings.zone) {
            self.budget.release();
            self.members.on_orders_done(now, endpoint);
            self.members.on_drained(now, endpoint);
            return;
        }
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.release();
        let gone: Vec<AdapterRef> = engine.expected().cloned().collect();
        for adapter in gone {
            self.note_change(endpoint, &adapter, false);
        }
    }

    /// Tells members when nothing of a lost replica is left.
    fn finish_releases(&mut self, now: Instant) {
        for (id, engine) in &mut self.engines {
            if !engine.releasing || engine.orders > 0 {
                continue;
            }
            self.members.on_orders_done(now, id);
            if engine.running == 0 {
                self.members.on_drained(now, id);
                engine.releasing = false;
            }
        }
    }
}

fn mark(config: &State) -> ConfigMark {
    ConfigMark {
        next: config.next(),
        digest: config.digest(),
    }
}

fn members(settings: &NodeSettings, zones: &BTreeSet<ZoneId>, now: Instant) -> Members {
    let me = Identity {
        id: settings.id.clone(),
        zone: settings.zone.clone(),
        incarnation: settings.incarnation,
    };
    let engines = settings.endpoints.iter().map(|e| EndpointInfo {
        id: e.id.clone(),
        zone: e.zone.clone(),
        checks_fencing: e.checks_fencing,
    });
    let stores = zones.iter().map(|zone| EndpointInfo {
        id: store_id(zone),
        zone: zone.clone(),
        checks_fencing: false,
    });
    Members::new(
        me,
        settings.members.clone(),
        engines.chain(stores).collect(),
        now,
    )
}
