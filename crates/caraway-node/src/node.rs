//! [`Node`]: the state machine of one entry instance.

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
    CapacityReport, ConfigVersion, EndpointKind, Gossip, Input, NodeSettings, Output,
    active_request::ActiveRequest,
    engine::{Engine, store_id},
};

/// Minimum interval between two checks of everything that changes with time: leases, permits,
/// deadlines and backoffs.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between two checks whether popularity has shifted.
const SHIFT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State machine of one entry instance, without I/O.
///
/// The caller passes every event to [`Self::handle`], and an [`Input::Tick`] when there is none for
/// a while, and executes the outputs in order.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) config: Arc<State>,
    pub(crate) config_version: ConfigVersion,
    pub(crate) members: Members,
    /// Zones with engines.
    pub(crate) engine_zones: BTreeSet<ZoneId>,
    /// Engines of all zones with their rendezvous hashes, to choose the home of an adapter version:
    /// the instance to which all others forward requests for it while it is not resident.
    pub(crate) replica_hashes: Vec<(u64, EndpointId)>,
    /// Engines of this zone.
    pub(crate) engines: BTreeMap<EndpointId, Engine>,
    /// Requests without a final answer.
    pub(crate) requests: BTreeMap<Ticket, ActiveRequest>,
    /// Deadlines of the requests, earliest first.
    pub(crate) deadlines: BTreeSet<(Instant, Ticket)>,
    /// Requests that are retried at each tick because neither an engine nor a peer could take them.
    pub(crate) unrouted: BTreeSet<Ticket>,
    /// Requests that wait here for a load or for room in a batch.
    pub(crate) pending: PendingRequests,
    pub(crate) rate_limiter: RateLimiter,
    /// Request rate of each adapter version, for the cost of evictions.
    pub(crate) popularity: Popularity,
    /// Delays before failed loads are retried.
    pub(crate) load_backoffs: LoadBackoffs,
    /// Permits to load from the weight store.
    pub(crate) load_budget: LoadBudget,
    /// Adapter versions that are resident on replicas of peers.
    pub(crate) directory: Directory,
    /// Residency changes that are not sent yet, by peer.
    pub(crate) change_outbox: Outbox,
    /// Last capacity report of each peer, and when it arrived.
    pub(crate) peer_capacity: BTreeMap<InstanceId, (CapacityReport, Instant)>,
    /// Last permit request of each peer, and when it arrived.
    pub(crate) permit_requests: BTreeMap<InstanceId, (PermitRequest, Instant)>,
    /// Peers that this instance, as the home of an adapter version, chose to load it, each with the
    /// expiry of the choice.
    pub(crate) assignments: HashMap<AdapterRef, (InstanceId, Instant)>,
    /// Peers that did not serve a forwarded request, and until when they are not chosen as loaders.
    pub(crate) peer_backoffs: BTreeMap<InstanceId, Instant>,
    /// Messages that are sent at the end of the current input.
    pub(crate) outgoing: BTreeMap<InstanceId, Gossip>,
    /// Number of the last attempt.
    pub(crate) last_attempt: AttemptId,
    /// Number of loads ordered so far; it makes the names of loads unique.
    pub(crate) load_count: u64,
    /// When the last permit request was sent, and its scores.
    pub(crate) last_request_scores: Option<(Instant, Vec<f32>)>,
    /// When residency changes are sent next.
    pub(crate) next_gossip: Instant,
    /// Expected and observed request rates on this instance at the last check, from which a shift
    /// of popularity is detected.
    pub(crate) evidence: Evidence,
    next_shift_check: Instant,
    last_tick: Option<Instant>,
}

impl Node {
    /// Creates a node without requests, replicas or known peers.
    #[must_use]
    pub fn new(settings: NodeSettings, now: Instant) -> Self {
        let is_engine = |e: &&crate::EndpointSettings| e.kind == EndpointKind::Engine;
        let engines = settings.endpoints.iter().filter(is_engine);
        let engine_zones: BTreeSet<ZoneId> = engines.clone().map(|e| e.zone.clone()).collect();
        let zone_engines = engines.clone().filter(|e| e.zone == settings.zone);
        let zone_count = u32::try_from(engine_zones.len()).unwrap_or(u32::MAX);
        Self {
            members: create_members(&settings, &engine_zones, now),
            replica_hashes: engines
                .clone()
                .map(|e| (replica_hash(&e.id), e.id.clone()))
                .collect(),
            engines: zone_engines
                .map(|e| (e.id.clone(), Engine::new(e)))
                .collect(),
            config: Arc::default(),
            config_version: config_version(&State::default()),
            engine_zones,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            unrouted: BTreeSet::new(),
            pending: PendingRequests::new(now),
            rate_limiter: RateLimiter::default(),
            popularity: Popularity::new(now),
            load_backoffs: LoadBackoffs::default(),
            load_budget: LoadBudget::new(settings.store, zone_count),
            directory: Directory::default(),
            change_outbox: Outbox::default(),
            peer_capacity: BTreeMap::new(),
            permit_requests: BTreeMap::new(),
            assignments: HashMap::new(),
            peer_backoffs: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            last_attempt: 0,
            load_count: 0,
            last_request_scores: None,
            next_gossip: now,
            evidence: Evidence::default(),
            next_shift_check: now,
            last_tick: None,
            settings,
        }
    }

    /// Replaces the configuration and appends the resulting outputs to `out`.
    pub fn set_config(&mut self, now: Instant, config: Arc<State>, out: &mut Vec<Output>) {
        self.config_version = config_version(&config);
        self.config = config;
        self.advance(now, out);
    }

    /// Handles an input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(submission) => self.on_submit(now, submission, out),
            Input::Cancel(ticket) => self.on_cancel(ticket, out),
            Input::Finished(ticket, outcome) => self.on_finished(now, ticket, outcome, out),
            Input::Loaded(endpoint, load, result) => {
                self.on_loaded(now, &endpoint, &load, result, out);
            }
            Input::Unloaded(endpoint, load, confirmed) => {
                self.on_unloaded(now, &endpoint, &load, confirmed);
            }
            Input::Report(endpoint, report) => self.on_report(now, &endpoint, &report, out),
            Input::Gossip(gossip) => self.on_gossip(now, gossip),
            Input::Listing(list) => self.members.on_listing(now, &list),
            Input::Tick => {}
            Input::Leave => self.members.leave(now),
        }
        self.advance(now, out);
    }

    /// Returns whether each replica of this zone has a holder, as far as is known here, so that
    /// requests need not wait for one. Replicas of this instance count once it may use them.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        self.engines.keys().all(|id| {
            let holder = self.members.holder(id);
            let is_remote = holder.is_some_and(|h| *h != self.settings.id);
            is_remote || self.members.permission(now, id) >= Permission::LoadOnly
        })
    }

    /// Returns whether this instance is leaving and has handed over every replica. It may exit once
    /// the gossip of the last input is sent.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        self.members.handed_over()
    }

    /// Advances the time-dependent state, then orders loads and sends gossip as the last input
    /// requires.
    fn advance(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self
            .last_tick
            .is_none_or(|t| now.saturating_duration_since(t) >= TICK_INTERVAL)
        {
            self.last_tick = Some(now);
            self.tick(now, out);
        }
        self.lend_permits(now);
        self.order_loads(now, out);
        self.send_gossip(now, out);
    }

    /// Updates members and permits, and routes or refuses requests that wait.
    fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let events = self.members.tick(now);
        let members_changed = !events.is_empty();
        for event in events {
            self.on_member_event(now, event);
        }
        self.report_releases(now);
        self.load_budget.reclaim_expired(now);
        self.load_backoffs.remove_expired(now);
        if now >= self.next_shift_check {
            self.next_shift_check = now + SHIFT_CHECK_INTERVAL;
            self.check_popularity(now);
        }
        self.peer_backoffs.retain(|_, until| now < *until);
        self.refuse_expired(now, out);
        if members_changed {
            self.reroute_pending(now, out);
        }
        self.route_unrouted(now, out);
        self.start_delayed(now, out);
    }

    /// Checks whether popularity has shifted, by the request rates of all instances summed.
    fn check_popularity(&mut self, now: Instant) {
        self.evidence = self.popularity.evidence(now);
        let mut total = self.evidence;
        for (capacity, _) in self.peer_capacity.values() {
            total.expected += capacity.evidence.expected;
            total.observed += capacity.evidence.observed;
        }
        self.popularity.detect_shift(now, total);
    }

    /// Applies a change of the held replicas or the live peers.
    fn on_member_event(&mut self, now: Instant, event: MemberEvent) {
        match event {
            MemberEvent::Acquired {
                endpoint, fence, ..
            } => {
                if endpoint == store_id(&self.settings.zone) {
                    self.load_budget.acquire(now);
                } else if let Some(engine) = self.engines.get_mut(&endpoint) {
                    engine.acquire(fence);
                }
            }
            MemberEvent::Lost { endpoint } => self.on_replica_lost(now, &endpoint),
            MemberEvent::PeerDown { instance } => {
                self.directory.forget(&instance);
                self.change_outbox.send_full_next(&instance);
                self.peer_capacity.remove(&instance);
                self.permit_requests.remove(&instance);
                self.assignments.retain(|_, (peer, _)| *peer != instance);
            }
            MemberEvent::Adopt { .. }
            | MemberEvent::EvictionAllowed { .. }
            | MemberEvent::PeerUp { .. } => {}
        }
    }

    /// Stops being the holder of a replica, or the owner of the zone's permits.
    fn on_replica_lost(&mut self, now: Instant, endpoint: &EndpointId) {
        if *endpoint == store_id(&self.settings.zone) {
            self.load_budget.release();
            self.members.on_orders_done(now, endpoint);
            self.members.on_drained(now, endpoint);
            return;
        }
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.release();
        let lost: Vec<AdapterRef> = engine.resident_or_loading().cloned().collect();
        for adapter in lost {
            self.record_change(endpoint, &adapter, false);
        }
    }

    /// Reports to [`Members`] when all orders, and then all attempts, on a lost replica have ended.
    fn report_releases(&mut self, now: Instant) {
        for (id, engine) in &mut self.engines {
            if !engine.release_pending || engine.open_orders > 0 {
                continue;
            }
            self.members.on_orders_done(now, id);
            if engine.running_attempts == 0 {
                self.members.on_drained(now, id);
                engine.release_pending = false;
            }
        }
    }
}

fn config_version(config: &State) -> ConfigVersion {
    ConfigVersion {
        next: config.next(),
        digest: config.digest(),
    }
}

fn create_members(
    settings: &NodeSettings,
    engine_zones: &BTreeSet<ZoneId>,
    now: Instant,
) -> Members {
    let identity = Identity {
        id: settings.id.clone(),
        zone: settings.zone.clone(),
        incarnation: settings.incarnation,
    };
    let engines = settings.endpoints.iter().map(|e| EndpointInfo {
        id: e.id.clone(),
        zone: e.zone.clone(),
        checks_fencing: e.checks_fencing,
    });
    let stores = engine_zones.iter().map(|zone| EndpointInfo {
        id: store_id(zone),
        zone: zone.clone(),
        checks_fencing: false,
    });
    Members::new(
        identity,
        settings.members.clone(),
        engines.chain(stores).collect(),
        now,
    )
}
