//! [`Shared`]: the state that the tasks of the daemon share.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use caraway_accounts::AllowanceSettings;
use caraway_http::{MemoryBudget, Pool, PoolTimeouts, StreamBudget};
use caraway_placement::{
    AnnouncedVersions, PlacerSettings, ZoneCandidate, ZoneSelector, ZoneSelectorSettings,
};
use caraway_platform::{Bounds, InstanceSettings, StoreClient};
use caraway_routes::{
    CallTally, Directory, LoadBalancer, ModelRef, Pauses, RetryBudget, RetryLimits, RoutingConfig,
};
use caraway_types::{
    EndpointId, FencingToken, Incarnation, InstanceId, SoftwareVersion, StoreEra, Ticket, ZoneId,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::{
    catch_up::CatchUp,
    crash_watch::CrashWatch,
    endpoint_limits::LimitState,
    event::emit,
    executor::millis,
    fleet_size::FleetSize,
    frame::SkippedFrame,
    held_zone::HeldZone,
    load_shedder::LoadShedder,
    log::{LineRateLimiter, LogQueue},
    metrics::{GaugeValues, Metrics},
    quotas::QuotaState,
    reach::ReachState,
    session::Session,
    stream_origins::StreamState,
    succession::weakness,
    topics::Topics,
    turns::HolderTurns,
    version_histories::VersionState,
};

/// Number of kinds of skipped frames that are logged.
const MAX_SKIPPED_KINDS: usize = 64;

/// The holder of a zone, as written in its record in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Holder {
    /// The instance that holds the zone.
    pub(crate) instance: InstanceId,
    /// Distinguishes the starts of the instance's process.
    pub(crate) incarnation: Incarnation,
    /// Address on which the instance accepts sessions.
    pub(crate) addr: SocketAddr,
    /// Whether the instance has given the zone up.
    pub(crate) released: bool,
    /// The store's era in which the record was written.
    #[serde(default)]
    pub(crate) era: StoreEra,
    /// The fencing token of the holder's orders; follows from the offset of the record.
    #[serde(skip)]
    pub(crate) token: FencingToken,
}

impl Holder {
    /// Returns whether both are the same incarnation of an instance and neither has given the zone
    /// up.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        let identity = |h: &Self| (h.instance.clone(), h.incarnation, h.addr);
        identity(self) == identity(other) && !self.released && !other.released
    }
}

/// Which requests in flight have to be answered at the end of the grace period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LastAnswers {
    /// None yet.
    #[default]
    None,
    /// Those that have not been sent to an endpoint: there is no time left to run them.
    Unsent,
    /// All of them.
    All,
}

/// A request of this instance that runs at an endpoint which a holder granted.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    /// The endpoint that runs the request.
    pub(crate) endpoint: EndpointId,
    /// The model and adapter that the request uses.
    pub(crate) model: ModelRef,
}

/// The state that the tasks of the daemon share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) site: InstanceSettings,
    /// Bounds of the settings as last reloaded.
    bounds: RefCell<Bounds>,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    /// Limits the number of log lines of each event.
    pub(crate) line_rates: LineRateLimiter,
    pub(crate) log_queue: LogQueue,
    pub(crate) metrics: Metrics,
    /// Idle connections to endpoints.
    pub(crate) pool: Pool,
    /// Idle connections to instances that serve requests for this one, by their addresses.
    pub(crate) helper_pool: Pool,
    /// Whether this instance reaches the endpoints.
    pub(crate) reach: ReachState,
    /// Number of requests that this instance is serving for others.
    pub(crate) taken: Cell<usize>,
    /// Which part of the requests is refused while this instance is short of processor time.
    pub(crate) load_shedder: Cell<LoadShedder>,
    /// Memory for long bodies that are buffered whole.
    pub(crate) body_budget: MemoryBudget,
    /// Memory for the parts of streams that wait for slow callers.
    pub(crate) stream_budget: StreamBudget,
    pub(crate) store: StoreClient,
    pub(crate) placer_settings: PlacerSettings,
    /// The configuration in force; `None` until one was read.
    pub(crate) routing: RefCell<Option<Arc<RoutingConfig>>>,
    /// The endpoints in the registry.
    pub(crate) directory: RefCell<Directory>,
    /// Endpoints that requested a pause from this instance.
    pub(crate) pauses: RefCell<Pauses>,
    /// The request rates that endpoints accept.
    pub(crate) limits: LimitState,
    /// What this instance may admit for client accounts.
    pub(crate) quotas: QuotaState,
    /// When the configuration in force was applied.
    pub(crate) config_applied_at: Cell<Option<Instant>>,
    /// What is known of prompts that crash engines.
    pub(crate) crash_watch: CrashWatch,
    /// What is known of the software versions of services.
    pub(crate) versions: VersionState,
    /// What is known of the software versions at which streams began.
    pub(crate) streams: StreamState,
    /// Kinds of frames that were skipped.
    skipped_kinds: RefCell<HashSet<Arc<str>>>,
    /// When this instance's knowledge of versions was last brought up to date.
    pub(crate) catch_up: CatchUp,
    /// The number of instances of all zones, as far as it is known.
    pub(crate) fleet_size: Cell<FleetSize>,
    /// The announced versions of each adapter, with the times at which this instance read them soon
    /// after they were written.
    pub(crate) announced_versions: RefCell<HashMap<ModelRef, AnnouncedVersions>>,
    /// Chooses endpoints for requests that no placer places.
    pub(crate) load_balancer: RefCell<LoadBalancer>,
    /// The results of all instances' calls to plain services in the zones that this one holds.
    pub(crate) call_results: RefCell<HashMap<EndpointId, CallTally>>,
    /// Limits the retries of this instance to its part of the deployment's budget.
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Selects the zone whose placer receives a request.
    pub(crate) zone_selector: RefCell<ZoneSelector>,
    /// The read progress of the store's topics.
    pub(crate) topics: RefCell<Topics>,
    /// The current holder of each zone, as far as it is known.
    pub(crate) holders: RefCell<HashMap<ZoneId, Holder>>,
    /// The last hand-over of each zone.
    pub(crate) turns: RefCell<HashMap<ZoneId, HolderTurns>>,
    /// The zones that this instance holds.
    pub(crate) held_zones: RefCell<HashMap<ZoneId, Rc<HeldZone>>>,
    /// The sessions to the holders of zones that other instances hold, open or not.
    pub(crate) sessions: RefCell<HashMap<ZoneId, Rc<Session>>>,
    /// Notified whenever the placer of a zone becomes reachable.
    pub(crate) holder_reachable: Notify,
    /// Requests of this instance that run on a holder's grant, by zone; a new holder adopts them.
    pub(crate) running_requests: RefCell<HashMap<ZoneId, HashMap<Ticket, RunningRequest>>>,
    /// Turns true when the daemon starts to stop.
    pub(crate) draining: watch::Sender<bool>,
    /// Which requests in flight have to be answered now, as the grace period ends.
    pub(crate) last_answers: watch::Sender<LastAnswers>,
    /// Number of callers' requests in flight.
    pub(crate) in_flight: Cell<usize>,
    /// Number of open connections of callers.
    pub(crate) caller_connections: Rc<Cell<usize>>,
    /// Result of the last readiness check, to log changes.
    pub(crate) is_ready: Cell<bool>,
    last_ticket: Cell<Ticket>,
}

impl Shared {
    /// Creates the state of a starting daemon.
    pub(crate) fn new(
        site: InstanceSettings,
        log: Logger,
        queue: LogQueue,
        metrics: Metrics,
        incarnation: Incarnation,
    ) -> Self {
        let body_budget = MemoryBudget::new(memory_share(site.memory_mb, BODY_MEMORY_SHARE));
        let stream_bytes = memory_share(site.memory_mb, STREAM_MEMORY_SHARE);
        let fleet_size = FleetSize::new(site.zones.len());
        let quotas = QuotaState::new(
            site.zone.clone(),
            AllowanceSettings {
                bounds: site.bounds.quota,
                turn_offset: Self::random_fraction(),
            },
        );
        let max_delay = site.bounds.config_apply.min(site.bounds.drain);
        Self {
            store: StoreClient::new(site.store.clone()),
            retry_budget: RefCell::new(RetryBudget::new(retry_limits(
                &site.bounds,
                fleet_size.estimate(None),
            ))),
            bounds: RefCell::new(site.bounds.clone()),
            placer_settings: placer_settings(&site),
            site,
            incarnation,
            log,
            line_rates: LineRateLimiter::default(),
            log_queue: queue,
            metrics,
            pool: Pool::new(PoolTimeouts::default()),
            helper_pool: Pool::new(PoolTimeouts::default()),
            reach: ReachState::default(),
            taken: Cell::new(0),
            load_shedder: Cell::default(),
            body_budget,
            stream_budget: StreamBudget::new(stream_bytes),
            routing: RefCell::default(),
            directory: RefCell::default(),
            pauses: RefCell::default(),
            limits: LimitState::default(),
            quotas,
            config_applied_at: Cell::default(),
            crash_watch: CrashWatch::new(Self::random_fraction() * QUARANTINE_JITTER),
            versions: VersionState::default(),
            streams: StreamState::default(),
            skipped_kinds: RefCell::default(),
            catch_up: CatchUp::default(),
            fleet_size: Cell::new(fleet_size),
            announced_versions: RefCell::default(),
            load_balancer: RefCell::new(LoadBalancer::new(rand::random())),
            call_results: RefCell::default(),
            zone_selector: RefCell::new(ZoneSelector::new(ZoneSelectorSettings::default())),
            topics: RefCell::new(Topics::new(max_delay)),
            holders: RefCell::default(),
            turns: RefCell::default(),
            held_zones: RefCell::default(),
            sessions: RefCell::default(),
            holder_reachable: Notify::new(),
            running_requests: RefCell::default(),
            draining: watch::Sender::new(false),
            last_answers: watch::Sender::new(LastAnswers::None),
            in_flight: Cell::new(0),
            caller_connections: Rc::default(),
            is_ready: Cell::new(false),
            last_ticket: Cell::new(0),
        }
    }

    /// Returns the current time as the placer and the other decision modules expect it.
    pub(crate) fn now() -> Instant {
        tokio::time::Instant::now().into_std()
    }

    /// Returns a ticket that this process has not used before.
    pub(crate) fn next_ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }

    /// Returns the configuration in force.
    pub(crate) fn routing(&self) -> Option<Arc<RoutingConfig>> {
        self.routing.borrow().clone()
    }

    /// Returns for how long the configuration in force has been applied; `None` if there is none.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        let applied_at = self.config_applied_at.get()?;
        Some(Self::now().saturating_duration_since(applied_at))
    }

    /// Returns whether the daemon is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns the address on which this instance accepts sessions.
    pub(crate) fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.site.ip, self.site.ports.0)
    }

    /// Returns this instance's record as a holder, without a fencing token.
    pub(crate) fn own_record(&self) -> Holder {
        Holder {
            instance: self.site.instance.clone(),
            incarnation: self.incarnation,
            addr: self.peer_addr(),
            released: false,
            era: self.store.era(),
            token: 0,
        }
    }

    /// Returns how much this instance lacks as a zone's holder, 0 to 1; see [`weakness`].
    pub(crate) fn weakness(&self) -> f64 {
        weakness(self.site.link_mbps, self.site.cpu_share)
    }

    /// Returns a zone that this instance holds; `None` if it does not hold it.
    pub(crate) fn held_zone(&self, zone: &str) -> Option<Rc<HeldZone>> {
        self.held_zones.borrow().get(zone).cloned()
    }

    /// Returns the zones that this instance holds.
    pub(crate) fn held_zones(&self) -> Vec<Rc<HeldZone>> {
        self.held_zones.borrow().values().cloned().collect()
    }

    /// Returns the session to a zone's holder; `None` unless it is open.
    pub(crate) fn session(&self, zone: &str) -> Option<Rc<Session>> {
        let sessions = self.sessions.borrow();
        sessions.get(zone).filter(|s| s.is_open()).cloned()
    }

    /// Sends a ping on every open session, so that the holders know this instance's state at once.
    pub(crate) fn ping_holders(&self) {
        for session in self.sessions.borrow().values().filter(|s| s.is_open()) {
            session.ping(self);
        }
    }

    /// Records a frame that can't be decoded; logs the first of each kind.
    pub(crate) fn on_skipped_frame(&self, skipped: &SkippedFrame) {
        self.metrics.record_skipped_frame();
        let mut kinds = self.skipped_kinds.borrow_mut();
        if kinds.len() < MAX_SKIPPED_KINDS && kinds.insert(skipped.kind.clone()) {
            emit!(self, warn, FrameSkipped; "kind" => &*skipped.kind, "problem" => &*skipped.problem);
        }
    }

    /// Returns whether a zone's placer is reachable: on this instance or through a session.
    pub(crate) fn is_reachable(&self, zone: &str) -> bool {
        self.held_zone(zone).is_some() || self.session(zone).is_some()
    }

    /// Returns whether an endpoint of `service` for which `is_allowed` holds is ready.
    pub(crate) fn has_ready_endpoint(
        &self,
        service: &str,
        is_allowed: impl Fn(&EndpointId) -> bool,
    ) -> bool {
        let directory = self.directory.borrow();
        let mut all = directory.of_service(service);
        all.any(|e| e.is_ready() && is_allowed(&e.id))
    }

    /// Returns the software version of an endpoint, `None` if the registry does not list it.
    pub(crate) fn software_of(&self, endpoint: &EndpointId) -> Option<SoftwareVersion> {
        let directory = self.directory.borrow();
        directory.get(endpoint).map(|e| e.software.clone())
    }

    /// Returns the zones with ready endpoints of `service` whose placer is reachable.
    pub(crate) fn candidate_zones(&self, service: &str) -> Vec<ZoneCandidate> {
        let directory = self.directory.borrow();
        let mut counts: HashMap<&ZoneId, usize> = HashMap::new();
        for endpoint in directory.of_service(service).filter(|e| e.is_ready()) {
            *counts.entry(&endpoint.zone).or_default() += 1;
        }
        let candidates = counts.into_iter().filter_map(|(zone, endpoints)| {
            if let Some(held) = self.held_zone(zone) {
                let candidate = ZoneCandidate {
                    zone: zone.clone(),
                    endpoints,
                    pressure: held.pressure(),
                    load: Some(held.load()),
                    crossing: Duration::ZERO,
                };
                return Some((candidate, false));
            }
            let session = self.session(zone)?;
            let candidate = ZoneCandidate {
                zone: zone.clone(),
                endpoints,
                pressure: session.pressure(),
                load: session.load(),
                crossing: session.round_trip(),
            };
            Some((candidate, session.is_silent()))
        });
        let (silent, others): (Vec<_>, Vec<_>) = candidates.partition(|(_, is_silent)| *is_silent);
        // A zone that is cut off gets no work, unless no zone answers.
        let used = if others.is_empty() { silent } else { others };
        used.into_iter().map(|(candidate, _)| candidate).collect()
    }

    /// Returns the known number of instances of this instance's zone, itself included; at least 1.
    pub(crate) fn zone_instances(&self) -> usize {
        let own = &self.site.zone;
        if let Some(held) = self.held_zone(own) {
            return held.instance_count(own).max(1);
        }
        self.session(own).map_or(1, |s| s.instance_count()).max(1)
    }

    /// Applies the limits of reloaded settings.
    pub(crate) fn set_limits(&self, site: &InstanceSettings) {
        *self.bounds.borrow_mut() = site.bounds.clone();
        self.update_retry_limits();
    }

    /// Updates the limits of this instance's retry budget to the current number of instances.
    pub(crate) fn update_retry_limits(&self) {
        let limits = retry_limits(&self.bounds.borrow(), self.estimated_instances());
        self.retry_budget.borrow_mut().set_limits(limits);
    }

    /// Returns an upper estimate of the number of instances in all zones.
    pub(crate) fn estimated_instances(&self) -> usize {
        let own = &self.site.zone;
        let held = self.held_zone(own).map(|h| h.instance_count(own));
        let own_zone = held.or_else(|| self.session(own).map(|s| s.instance_count()));
        // A session states none until its first pong.
        let own_zone = own_zone.filter(|count| *count > 0);
        self.fleet_size.get().estimate(own_zone)
    }

    /// Records the number of instances that a holder states; 0 for none.
    pub(crate) fn on_fleet_size(&self, instances: usize) {
        let mut fleet_size = self.fleet_size.get();
        fleet_size.on_stated(Self::now(), instances);
        self.fleet_size.set(fleet_size);
    }

    /// Returns a random delay of at most `for_each` for each instance of the deployment.
    pub(crate) fn random_delay(&self, for_each: Duration) -> Duration {
        let instances = u32::try_from(self.estimated_instances()).unwrap_or(u32::MAX);
        let longest = for_each.saturating_mul(instances);
        longest.mul_f64(Self::random_fraction())
    }

    /// Returns the time of day in Unix milliseconds; 0 before 1970.
    pub(crate) fn unix_ms() -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.map_or(0, millis)
    }

    /// Returns whether to refuse a request as this instance is short of processor time.
    pub(crate) fn must_shed(&self) -> bool {
        let shedder = self.load_shedder.get();
        shedder.refused_share() > 0.0
            && shedder.refuses(self.in_flight.get(), Self::random_fraction())
    }

    /// Returns a random number from 0 to 1.
    pub(crate) fn random_fraction() -> f64 {
        rand::rng().random::<f64>()
    }

    /// Returns the values of the gauges, which are read at each scrape.
    pub(crate) fn levels(&self) -> GaugeValues {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        let held_zones = self.held_zones.borrow();
        GaugeValues {
            config_version: self.routing().map_or(0, |r| r.version),
            in_flight: count(self.in_flight.get()),
            waiting: count(held_zones.values().map(|d| d.waiting()).sum()),
            held_back: held_zones.values().map(|d| d.stats().held_back).sum(),
            held_zones: count(held_zones.len()),
            lines_dropped: self.log_queue.dropped(),
            exhausted_accounts: count(self.quotas.view.exhausted()),
            endpoint_limits: count(self.limits.count()),
            quarantines: {
                let evidence = self.crash_watch.evidence.borrow();
                count(evidence.quarantines(Self::now()).count())
            },
            shed_share: self.load_shedder.get().refused_share(),
            timer_lateness: self.load_shedder.get().lateness(),
        }
    }
}

/// Largest part by which an instance extends quarantines.
const QUARANTINE_JITTER: f64 = 0.25;

/// Part of the time by which a new version must be in force after which older ones serve no more. The
/// rest is for the announcement to arrive and for granted requests to begin.
const VERSION_GRACE_SHARE: f64 = 0.6;

fn placer_settings(site: &InstanceSettings) -> PlacerSettings {
    let defaults = PlacerSettings::default();
    // Zero if the deployment states none.
    let stated_grace = site.bounds.version_apply.mul_f64(VERSION_GRACE_SHARE);
    PlacerSettings {
        version_grace: Some(stated_grace)
            .filter(|g| !g.is_zero())
            .unwrap_or(defaults.version_grace),
        load_window: site.bounds.load_window,
        load_factor: site.bounds.load_factor,
        zones: u32::try_from(site.zones.len()).unwrap_or(u32::MAX),
        ..defaults
    }
}

/// Fraction of an instance's memory for long bodies. With the memory of their connections and the
/// overhead of the allocator they use about two thirds at most.
const BODY_MEMORY_SHARE: f64 = 0.125;

/// Fraction of an instance's memory for the parts of streams that wait for slow callers.
const STREAM_MEMORY_SHARE: f64 = 0.0625;

/// Returns a share of an instance's memory in bytes.
fn memory_share(memory_mb: f64, share: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the size is not negative, and a saturated size means no limit"
    )]
    let bytes = (memory_mb.max(0.0) * share * f64::from(1 << 20)) as usize;
    bytes
}

fn retry_limits(bounds: &Bounds, instances: usize) -> RetryLimits {
    RetryLimits {
        window: bounds.retry_window,
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        instances,
    }
}
