//! [`Shared`]: what the tasks of the daemon have in common.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Instant,
};

use caraway_http::{MemoryBudget, Pool, PoolTimeouts};
use caraway_placement::{PlacerSettings, ZoneCandidate, ZoneSelector, ZoneSelectorSettings};
use caraway_platform::{Bounds, InstanceSettings, StoreClient};
use caraway_routes::{
    Directory, LoadBalancer, ModelRef, Pauses, RetryBudget, RetryLimits, RoutingConfig,
};
use caraway_types::{EndpointId, FencingToken, Incarnation, InstanceId, Ticket, ZoneId};
use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::{
    desk::Desk,
    follow::Topics,
    log::{LineRateLimiter, LogQueue},
    metrics::{GaugeValues, Metrics},
    session::Session,
    succession::weakness,
};

/// What the record of a zone's holder says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Holder {
    /// The instance.
    pub(crate) instance: InstanceId,
    /// Its run.
    pub(crate) incarnation: Incarnation,
    /// Where it takes sessions.
    pub(crate) addr: SocketAddr,
    /// Whether it has given the zone up.
    pub(crate) released: bool,
    /// The fencing token of the holder's orders.
    #[serde(skip)]
    pub(crate) token: FencingToken,
}

impl Holder {
    /// Tells whether both are the same run of the same instance, and hold the zone.
    pub(crate) fn is_same_run(&self, other: &Self) -> bool {
        let run = |h: &Self| (h.instance.clone(), h.incarnation, h.addr);
        run(self) == run(other) && !self.released && !other.released
    }
}

/// The newest version of an adapter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announcement {
    pub(crate) version: u64,
    /// When this instance heard of it, where that was soon after it was made.
    pub(crate) heard: Option<Instant>,
}

/// A request that runs at an endpoint by a holder's grant.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Where it runs.
    pub(crate) endpoint: EndpointId,
    /// What it runs on.
    pub(crate) model: ModelRef,
}

/// What the tasks of the daemon have in common.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) site: InstanceSettings,
    /// Bounds of the settings that were read last.
    bounds: RefCell<Bounds>,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) lines: LineRateLimiter,
    pub(crate) queue: LogQueue,
    pub(crate) metrics: Metrics,
    pub(crate) pool: Pool,
    /// Memory for long bodies that are read whole.
    pub(crate) allowance: MemoryBudget,
    pub(crate) store: StoreClient,
    pub(crate) placer: PlacerSettings,
    pub(crate) routing: RefCell<Option<Arc<RoutingConfig>>>,
    pub(crate) directory: RefCell<Directory>,
    /// Endpoints that asked this instance for a pause.
    pub(crate) pauses: RefCell<Pauses>,
    pub(crate) newest: RefCell<HashMap<ModelRef, Announcement>>,
    pub(crate) chooser: RefCell<LoadBalancer>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) homes: RefCell<ZoneSelector>,
    pub(crate) topics: RefCell<Topics>,
    pub(crate) holders: RefCell<HashMap<ZoneId, Holder>>,
    pub(crate) desks: RefCell<HashMap<ZoneId, Rc<Desk>>>,
    pub(crate) sessions: RefCell<HashMap<ZoneId, Rc<Session>>>,
    /// Told whenever the placer of a zone can be asked that could not be before.
    pub(crate) holder_found: Notify,
    pub(crate) runs: RefCell<HashMap<ZoneId, HashMap<Ticket, Run>>>,
    pub(crate) leaving: watch::Sender<bool>,
    pub(crate) in_flight: Cell<usize>,
    /// Callers' connections.
    pub(crate) callers: Rc<Cell<usize>>,
    pub(crate) is_ready: Cell<bool>,
    last_ticket: Cell<Ticket>,
}

impl Shared {
    /// Makes the state of a starting daemon.
    pub(crate) fn new(
        site: InstanceSettings,
        log: Logger,
        queue: LogQueue,
        metrics: Metrics,
        incarnation: Incarnation,
    ) -> Self {
        let allowance = allowance(site.memory_mb);
        let in_force = site.bounds.config_apply.min(site.bounds.drain);
        Self {
            store: StoreClient::new(site.store.clone()),
            budget: RefCell::new(RetryBudget::new(repeat_limits(
                &site.bounds,
                START_PER_ZONE * site.zones.len().max(1),
            ))),
            bounds: RefCell::new(site.bounds.clone()),
            placer: placer_settings(&site),
            site,
            incarnation,
            log,
            lines: LineRateLimiter::default(),
            queue,
            metrics,
            pool: Pool::new(PoolTimeouts::default()),
            allowance,
            routing: RefCell::default(),
            directory: RefCell::default(),
            pauses: RefCell::default(),
            newest: RefCell::default(),
            chooser: RefCell::default(),
            homes: RefCell::new(ZoneSelector::new(ZoneSelectorSettings::default())),
            topics: RefCell::new(Topics::new(in_force)),
            holders: RefCell::default(),
            desks: RefCell::default(),
            sessions: RefCell::default(),
            holder_found: Notify::new(),
            runs: RefCell::default(),
            leaving: watch::Sender::new(false),
            in_flight: Cell::new(0),
            callers: Rc::default(),
            is_ready: Cell::new(false),
            last_ticket: Cell::new(0),
        }
    }

    /// Returns the time as the decision parts take it.
    pub(crate) fn now() -> Instant {
        tokio::time::Instant::now().into_std()
    }

    /// Returns a new ticket.
    pub(crate) fn ticket(&self) -> Ticket {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }

    /// Returns the configuration in force.
    pub(crate) fn routing(&self) -> Option<Arc<RoutingConfig>> {
        self.routing.borrow().clone()
    }

    /// Tells whether the daemon is stopping.
    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns where this instance takes sessions.
    pub(crate) fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.site.ip, self.site.ports.0)
    }

    /// Returns what this instance's record says where it holds a zone.
    pub(crate) fn as_holder(&self) -> Holder {
        Holder {
            instance: self.site.instance.clone(),
            incarnation: self.incarnation,
            addr: self.peer_addr(),
            released: false,
            token: 0,
        }
    }

    /// Returns how weak this instance is as a zone's holder, 0 to 1.
    pub(crate) fn weakness(&self) -> f64 {
        weakness(self.site.link_mbps, self.site.cpu_share)
    }

    /// Returns this instance's placer for a zone.
    pub(crate) fn desk(&self, zone: &str) -> Option<Rc<Desk>> {
        self.desks.borrow().get(zone).cloned()
    }

    /// Returns this instance's placers.
    pub(crate) fn own_desks(&self) -> Vec<Rc<Desk>> {
        self.desks.borrow().values().cloned().collect()
    }

    /// Returns the open session to a zone's holder.
    pub(crate) fn session(&self, zone: &str) -> Option<Rc<Session>> {
        let sessions = self.sessions.borrow();
        sessions.get(zone).filter(|s| s.is_up()).cloned()
    }

    /// Tells whether a zone's placer can be asked.
    pub(crate) fn can_ask(&self, zone: &str) -> bool {
        self.desk(zone).is_some() || self.session(zone).is_some()
    }

    /// Tells whether an endpoint of `service` takes work, of those that `may` holds for.
    pub(crate) fn has_ready(&self, service: &str, may: impl Fn(&EndpointId) -> bool) -> bool {
        let directory = self.directory.borrow();
        let mut all = directory.of_service(service);
        all.any(|e| e.is_ready() && may(&e.id))
    }

    /// Returns the zones whose placer can be asked for endpoints of `service`.
    pub(crate) fn open_zones(&self, service: &str) -> Vec<ZoneCandidate> {
        let directory = self.directory.borrow();
        let mut counts: HashMap<&ZoneId, usize> = HashMap::new();
        for endpoint in directory.of_service(service).filter(|e| e.is_ready()) {
            *counts.entry(&endpoint.zone).or_default() += 1;
        }
        let pressure = |zone: &ZoneId| {
            let desk = self.desk(zone).map(|d| d.pressure());
            desk.or_else(|| self.session(zone).map(|s| s.pressure()))
        };
        counts
            .into_iter()
            .filter_map(|(zone, endpoints)| {
                Some(ZoneCandidate {
                    zone: zone.clone(),
                    endpoints,
                    pressure: pressure(zone)?,
                })
            })
            .collect()
    }

    /// Returns the instances of the own zone, this one included, as far as they are known.
    pub(crate) fn zone_peers(&self) -> usize {
        let own = &self.site.zone;
        if let Some(desk) = self.desk(own) {
            return desk.peers(own).max(1);
        }
        self.session(own).map_or(1, |s| s.peers()).max(1)
    }

    /// Takes the limits of settings that were read again.
    pub(crate) fn set_limits(&self, site: &InstanceSettings) {
        *self.bounds.borrow_mut() = site.bounds.clone();
        self.share_repeats();
    }

    /// Fits this instance's share of the repeats to the instances that there are.
    pub(crate) fn share_repeats(&self) {
        let limits = repeat_limits(&self.bounds.borrow(), self.instances());
        self.budget.borrow_mut().set_limits(limits);
    }

    /// Returns how many instances there are at most, from those of the own zone.
    fn instances(&self) -> usize {
        let zone = self.zone_peers().max(LEAST_PER_ZONE);
        zone * self.site.zones.len().max(1)
    }

    /// Draws a number in 0 to 1.
    pub(crate) fn draw() -> f64 {
        rand::rng().random::<f64>()
    }

    /// Returns the values that metrics read when they are asked for.
    pub(crate) fn levels(&self) -> GaugeValues {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        let desks = self.desks.borrow();
        GaugeValues {
            config_version: self.routing().map_or(0, |r| r.version),
            in_flight: count(self.in_flight.get()),
            waiting: count(desks.values().map(|d| d.waiting()).sum()),
            held_zones: count(desks.len()),
            lines_dropped: self.queue.dropped(),
        }
    }
}

/// Instances of a zone that share the repeats at least; one more than the smallest deployments have,
/// as zones differ.
const LEAST_PER_ZONE: usize = 3;
/// Instances of a zone that are taken before any are known; the largest deployments have 24.
const START_PER_ZONE: usize = 24;

fn placer_settings(site: &InstanceSettings) -> PlacerSettings {
    PlacerSettings {
        load_window: site.bounds.load_window,
        load_factor: site.bounds.load_factor,
        zones: u32::try_from(site.zones.len()).unwrap_or(u32::MAX),
        ..PlacerSettings::default()
    }
}

/// Part of an instance's memory that long bodies may take: with what their connections and the
/// pages of the allocator need, they take some two thirds at most.
const BODIES_PART: f64 = 0.125;

fn allowance(memory_mb: f64) -> MemoryBudget {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a size that is not negative; the largest is as good as no limit"
    )]
    let bytes = (memory_mb.max(0.0) * BODIES_PART * f64::from(1 << 20)) as usize;
    MemoryBudget::new(bytes)
}

fn repeat_limits(bounds: &Bounds, instances: usize) -> RetryLimits {
    RetryLimits {
        window: bounds.retry_window,
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        instances,
    }
}
