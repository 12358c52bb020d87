//! [`Placer`]: manages the engine endpoints of one availability zone.

mod admission;
mod endpoints;
mod limits;
mod orders;
mod plan;
mod reading;
mod requests;
mod speeds;
mod weights;
mod zone_load;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{EngineConfig, ModelRef};
use caraway_types::EndpointId;

use crate::{
    AnnouncedVersions, DecayingCount, OrderNumber, Output, PlacementId, PlacerSettings,
    limiters::Limiters, replica::Replica, run_work::RunWork, service_rate::ServiceRate,
    wait_queue::WaitQueue,
};

pub use limits::LOW_PRIORITY_WAIT_SHARE;

/// Interval between checks for waiting requests that can no longer meet their deadline.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Assigns requests to the engine endpoints of one availability zone and plans the loads there.
///
/// Only idle adapters are evicted: a grant pins its adapter until the request ends. Every order
/// names the number of orders that the endpoint has accepted, so that a delayed order is refused
/// instead of taking effect after later ones.
#[derive(Debug)]
pub struct Placer {
    settings: PlacerSettings,
    /// Earliest time to send orders, and to fetch the reports that they depend on; before it, an
    /// order of the previous holder may still take effect.
    first_order_at: Instant,
    replicas: BTreeMap<EndpointId, Replica>,
    /// Permits for requests to endpoints that limit their rate.
    limiters: Limiters,
    /// Engine capacity of each service's endpoints.
    engines: HashMap<Arc<str>, EngineConfig>,
    /// When loads of model weights were ordered, within the load window.
    recent_weight_loads: VecDeque<Instant>,
    versions: HashMap<ModelRef, AnnouncedVersions>,
    /// Version assumed for adapters of which none was announced: the lowest that an endpoint has
    /// named; `None` until one does.
    first_version: Option<u64>,
    /// Decayed number of requests for each adapter or model.
    popularity: HashMap<ModelRef, DecayingCount>,
    waiting: WaitQueue,
    /// When all waiting requests were last checked for those that are too late.
    late_checked_at: Option<Instant>,
    /// How fast each service serves waiting requests.
    rates: HashMap<Arc<str>, ServiceRate>,
    /// When the speeds of the endpoints were last compared.
    speeds_compared: Option<Instant>,
    /// When waiting requests are next checked against their deadline; `None` if none waits.
    deadline_check: Option<Instant>,
    /// Runs that were granted and have not ended.
    granted: HashMap<PlacementId, GrantedRun>,
    outputs: Vec<Output>,
    last_number: OrderNumber,
    /// Moving average of the time of an adapter load from the weight store.
    load_time: Duration,
    /// Shortest time of such a load.
    min_load_time: Option<Duration>,
    /// Consecutive loads that the first poll found complete.
    first_poll_loads: u32,
    /// Adapters that may be loading from the weight store at once.
    load_limit: f64,
    fetched: u64,
    held_back: u64,
    stopping: bool,
}

/// Current state of a placer, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacerStats {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of granted requests that have not ended.
    pub running: usize,
    /// Number of the zone's endpoints.
    pub endpoints: usize,
    /// Number of endpoints that accept new work.
    pub usable: usize,
    /// Number of usable endpoints that orders can be sent to.
    pub orderable: usize,
    /// Number of endpoints that hold no model's weights.
    pub without_weights: usize,
    /// Number of adapters being loaded from the weight store.
    pub loading: usize,
    /// Number of adapters that may be loading from the weight store at once.
    pub load_limit: usize,
    /// Number of adapters fetched from the weight store so far.
    pub fetched: u64,
    /// Average time of an adapter load from the weight store.
    pub load_time: Duration,
    /// Number of endpoints that limit the rate of their requests.
    pub limited: usize,
    /// Number of requests so far that found an endpoint with their adapter and a free slot, but
    /// without a permit.
    pub held_back: u64,
    /// Number of endpoints that are slower than the others of their service.
    pub slow: usize,
    /// Number of endpoints that are so slow that they get no requests.
    pub faulty: usize,
    /// Age of the oldest estimate of an endpoint's speed.
    pub speed_age: Duration,
    /// Largest standard error of an endpoint's speed, in thousandths of the speed.
    pub speed_error: u32,
}

/// Divisor for the pressure of a zone without usable endpoints.
const EMPTY_ZONE_DIVISOR: f64 = 0.1;

/// A granted request that has not ended.
#[derive(Clone, Debug)]
struct GrantedRun {
    endpoint: EndpointId,
    model: ModelRef,
    /// What the endpoint does for it; `None` if an earlier holder granted it.
    work: Option<RunWork>,
}

impl Placer {
    /// Creates a placer without endpoints, which sends its first order at `first_order_at` or
    /// later.
    #[must_use]
    pub fn new(settings: PlacerSettings, first_order_at: Instant) -> Self {
        Self {
            load_time: settings.load_time,
            min_load_time: None,
            first_poll_loads: 0,
            load_limit: 0.0,
            settings,
            first_order_at,
            replicas: BTreeMap::new(),
            limiters: Limiters::default(),
            engines: HashMap::new(),
            recent_weight_loads: VecDeque::new(),
            versions: HashMap::new(),
            first_version: None,
            popularity: HashMap::new(),
            waiting: WaitQueue::default(),
            late_checked_at: None,
            rates: HashMap::new(),
            speeds_compared: None,
            deadline_check: None,
            granted: HashMap::new(),
            outputs: Vec::new(),
            last_number: 0,
            fetched: 0,
            held_back: 0,
            stopping: false,
        }
    }

    /// Removes and returns the pending outputs.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Handles what is due at `now`.
    pub fn on_tick(&mut self, now: Instant) {
        self.update_speeds(now);
        self.grant_permits(now);
        self.waiting.advance(now);
        self.grant_read(now);
        if self.is_late_check_due(now) {
            self.refuse_late(now);
        }
        self.schedule_deadline_check(now);
        self.fetch_reports(now);
        self.plan_weights(now);
        self.plan_loads(now);
        self.send_all_due(now);
    }

    /// Sets the next check of the deadlines, which doesn't move when the placer is called earlier.
    fn schedule_deadline_check(&mut self, now: Instant) {
        if self.waiting.len() == 0 {
            self.deadline_check = None;
        } else if self.deadline_check.is_none_or(|at| at <= now) {
            self.deadline_check = Some(now + DEADLINE_CHECK_INTERVAL);
        }
    }

    /// Returns when [`Self::on_tick`] is due, or `None` if nothing is scheduled.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let replicas = self.replicas.values().filter_map(Replica::next_wake);
        let others = self
            .deadline_check
            .into_iter()
            .chain(self.next_weights_load());
        let permits = self.next_permit(now).into_iter();
        replicas
            .chain(others)
            .chain(permits)
            .chain(self.next_read(now))
            .min()
    }

    /// Stops sending orders. Waiting requests stay queued until they are sent to the next holder.
    pub fn stop_orders(&mut self) {
        self.stopping = true;
    }

    /// Returns whether it has stopped sending orders.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns whether the outcome of an order is pending.
    #[must_use]
    pub fn has_order_in_flight(&self) -> bool {
        self.replicas.values().any(|r| r.in_flight.is_some())
    }

    /// Returns the current state for logs and metrics.
    #[must_use]
    pub fn stats(&self, now: Instant) -> PlacerStats {
        let usable = self.replicas.values().filter(|r| r.is_usable(now));
        PlacerStats {
            waiting: self.waiting.len(),
            running: self.granted.len(),
            endpoints: self.replicas.len(),
            usable: usable.clone().count(),
            orderable: usable.filter(|r| r.accepted_orders.is_some()).count(),
            without_weights: self
                .replicas
                .values()
                .filter(|r| r.models.is_empty())
                .count(),
            loading: self.loading_count(now),
            load_limit: self.load_limit(),
            fetched: self.fetched,
            load_time: self.load_time,
            limited: self.limiters.next_permits(now).count(),
            held_back: self.held_back,
            ..self.speed_stats(now)
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running and waiting requests per usable endpoint.
    #[must_use]
    pub fn pressure(&self, now: Instant) -> f64 {
        let usable = self.replicas.values().filter(|r| r.is_usable(now)).count();
        let requests = self.granted.len() + self.waiting.len();
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let (requests, endpoints) = (requests as f64, usable as f64);
        requests / endpoints.max(EMPTY_ZONE_DIVISOR)
    }

    /// Returns the decayed number of requests for `model`.
    fn popularity_of(&self, now: Instant, model: &ModelRef) -> f64 {
        self.popularity
            .get(model)
            .map_or(0.0, |d| d.value(now, self.settings.popularity_decay))
    }
}
