//! [`Placer`]: decides for the engine endpoints of one availability zone.

mod endpoints;
mod orders;
mod plan;
mod requests;
mod weights;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_routes::{EngineConfig, ModelRef};
use caraway_types::EndpointId;

use crate::{
    AskId, Decayed, OrderNumber, Output, PlacerSettings, replica::Replica, waiting::Waiting,
};

/// Pause between looks at requests that wait, for deadlines that can't be met any more.
const WAIT_CHECK: Duration = Duration::from_millis(50);

/// Decides for the engine endpoints of one availability zone.
///
/// Only idle adapters are evicted: a grant pins its adapter until the request's end. Every order
/// names the number of orders that the endpoint has accepted, so a late one can't overtake.
#[derive(Debug)]
pub struct Placer {
    settings: PlacerSettings,
    start: Instant,
    replicas: BTreeMap<EndpointId, Replica>,
    /// What the endpoints of each service can hold.
    engines: HashMap<Arc<str>, EngineConfig>,
    /// When loads of weights were ordered lately.
    weight_loads: VecDeque<Instant>,
    newest: HashMap<ModelRef, Newest>,
    /// The version of adapters of which none was announced; `None` until an endpoint names it.
    first_version: Option<u64>,
    popularity: HashMap<ModelRef, Decayed>,
    waiting: Waiting,
    granted: HashMap<AskId, Granted>,
    outputs: Vec<Output>,
    last_number: OrderNumber,
    /// Average time that a load from the weight store takes.
    load_time: Duration,
    /// Shortest time that one took.
    least_load: Option<Duration>,
    /// Loads in a row that the first question found complete.
    quick_loads: u32,
    /// Adapters that may be on their way from the weight store.
    transit_limit: f64,
    fetched: u64,
    leaving: bool,
}

/// What a placer has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Levels {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Endpoints of the zone.
    pub endpoints: usize,
    /// Those that take new work.
    pub usable: usize,
    /// Those of them that take orders.
    pub ordering: usize,
    /// Endpoints that hold no model's weights.
    pub empty: usize,
    /// Adapters on their way from the weight store.
    pub transit: usize,
    /// How many may be.
    pub limit: usize,
    /// Adapters fetched from the weight store so far.
    pub fetched: u64,
    /// Average time of a load from the weight store.
    pub load_time: Duration,
}

/// Stands for the endpoints of a zone that has none.
const NO_ENDPOINT: f64 = 0.1;

/// The newest version of an adapter.
#[derive(Clone, Copy, Debug)]
struct Newest {
    version: u64,
    /// When it was announced, where that is known.
    since: Option<Instant>,
}

/// A request that runs.
#[derive(Clone, Debug)]
struct Granted {
    endpoint: EndpointId,
    model: ModelRef,
}

impl Placer {
    /// Knows of no endpoint; gives its first order at `start` or later.
    #[must_use]
    pub fn new(settings: PlacerSettings, start: Instant) -> Self {
        Self {
            load_time: settings.load,
            least_load: None,
            quick_loads: 0,
            transit_limit: 0.0,
            settings,
            start,
            replicas: BTreeMap::new(),
            engines: HashMap::new(),
            weight_loads: VecDeque::new(),
            newest: HashMap::new(),
            first_version: None,
            popularity: HashMap::new(),
            waiting: Waiting::default(),
            granted: HashMap::new(),
            outputs: Vec::new(),
            last_number: 0,
            fetched: 0,
            leaving: false,
        }
    }

    /// Takes what is to be done.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Notes that time has passed.
    pub fn on_tick(&mut self, now: Instant) {
        self.refuse_hopeless(now);
        self.ask_reports(now);
        self.plan_weights(now);
        self.plan(now);
        self.pump_all(now);
    }

    /// Returns when [`Self::on_tick`] is due.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let waits = (self.waiting.len() > 0).then(|| now + WAIT_CHECK);
        let replicas = self.replicas.values().filter_map(Replica::next_wake);
        replicas.chain(waits).chain(self.weights_wake()).min()
    }

    /// Stops giving orders. Requests that wait go on waiting, until whoever follows is asked.
    pub fn on_leave(&mut self) {
        self.leaving = true;
    }

    /// Tells whether it gives no orders any more.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether an order's end is awaited.
    #[must_use]
    pub fn is_ordering(&self) -> bool {
        self.replicas.values().any(|r| r.outstanding.is_some())
    }

    /// Returns what there is to do.
    #[must_use]
    pub fn levels(&self, now: Instant) -> Levels {
        let usable = self.replicas.values().filter(|r| r.is_usable(now));
        Levels {
            waiting: self.waiting.len(),
            running: self.granted.len(),
            endpoints: self.replicas.len(),
            usable: usable.clone().count(),
            ordering: usable.filter(|r| r.orders.is_some()).count(),
            empty: self
                .replicas
                .values()
                .filter(|r| r.models.is_empty())
                .count(),
            transit: self.transit(now),
            limit: self.transit_limit(),
            fetched: self.fetched,
            load_time: self.load_time,
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the requests that run and wait for each endpoint that takes work.
    #[must_use]
    pub fn pressure(&self, now: Instant) -> f64 {
        let usable = self.replicas.values().filter(|r| r.is_usable(now)).count();
        let requests = self.granted.len() + self.waiting.len();
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let (requests, endpoints) = (requests as f64, usable as f64);
        requests / endpoints.max(NO_ENDPOINT)
    }

    fn popularity_of(&self, now: Instant, model: &ModelRef) -> f64 {
        self.popularity
            .get(model)
            .map_or(0.0, |d| d.value(now, self.settings.popularity))
    }
}
