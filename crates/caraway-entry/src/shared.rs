//! [`Shared`] is what the threads of a daemon have in common.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use caraway_node::{AttemptOutcome, Input, Submission};
use caraway_records::State;
use caraway_ring::Sender;
use caraway_types::{AttemptId, EndpointId, Incarnation, InstanceId, LoadName, Refusal, Ticket};
use slog::Logger;
use tokio::sync::{oneshot, watch};

use crate::{
    EndpointSettings, Settings, burn::BurnMessage, calls_log::CallsMessage, follow::Follow,
    metrics::Metrics,
};

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Control {
    /// Asks for a verdict on a new request.
    Submit(Submission, oneshot::Sender<Verdict>),
    /// Ends an attempt that did not run and asks for another verdict.
    Again(Ticket, AttemptOutcome, oneshot::Sender<Verdict>),
    /// Anything else that happened.
    Input(Input),
    /// A newer configuration.
    Config(Arc<State>),
    /// Ends the thread.
    Stop,
}

/// What to do with a request now.
#[derive(Clone, Debug)]
pub(crate) enum Verdict {
    /// Starts an attempt on an engine.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        endpoint: EndpointId,
        /// The load to name.
        load: LoadName,
    },
    /// Passes the request on.
    Forward(InstanceId),
    /// Gives the final answer.
    Refuse(Refusal),
}

/// The ways to the threads of a daemon.
#[derive(Debug)]
pub(crate) struct Rings {
    /// The way to the control thread.
    pub(crate) control: Sender<Control>,
    /// The way to the burn thread.
    pub(crate) burn: Sender<BurnMessage>,
    /// The way to the log thread.
    pub(crate) follow: Sender<Follow>,
    /// The way to the calls thread.
    pub(crate) calls: Sender<CallsMessage>,
}

/// What the threads of a daemon have in common.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings.
    pub(crate) settings: Settings,
    /// The address that the daemon listens on.
    pub(crate) addr: SocketAddr,
    /// Tells this run of the instance from earlier ones.
    pub(crate) incarnation: u64,
    /// The ways to the other threads.
    pub(crate) rings: Rings,
    /// The configuration in force.
    pub(crate) config: watch::Receiver<Arc<State>>,
    /// Addresses of the peers, as last heard of.
    pub(crate) peers: RwLock<BTreeMap<InstanceId, SocketAddr>>,
    /// The engines and services by id.
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointSettings>,
    /// The log.
    pub(crate) log: Logger,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// Requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// Whether each replica of the zone has a holder.
    pub(crate) ready: AtomicBool,
    /// Whether every held replica was handed over.
    pub(crate) handed_over: AtomicBool,
    /// Whether keyed calls have no outcome in the log yet.
    pub(crate) calls_open: AtomicBool,
    /// Services that the list has shown leaving; the mark stays until a restart moves them.
    pub(crate) leaving_services: RwLock<BTreeMap<EndpointId, Incarnation>>,
    /// Whether new requests are refused because the instance stops.
    pub(crate) leaving: AtomicBool,
    tickets: AtomicU64,
}

impl Shared {
    /// Joins what the threads need.
    pub(crate) fn new(
        settings: Settings,
        addr: SocketAddr,
        incarnation: u64,
        rings: Rings,
        config: watch::Receiver<Arc<State>>,
        log: Logger,
        metrics: Metrics,
    ) -> Self {
        let by_id = |e: &EndpointSettings| (Arc::clone(&e.id), e.clone());
        let endpoints = settings.endpoints.iter().map(by_id).collect();
        let seeds = settings.peers.iter();
        let peers = seeds.map(|p| (Arc::clone(&p.instance), p.addr)).collect();
        Self {
            settings,
            addr,
            incarnation,
            rings,
            config,
            peers: RwLock::new(peers),
            endpoints,
            log,
            metrics,
            in_flight: AtomicUsize::new(0),
            ready: AtomicBool::new(false),
            handed_over: AtomicBool::new(false),
            calls_open: AtomicBool::new(false),
            leaving_services: RwLock::default(),
            leaving: AtomicBool::new(false),
            tickets: AtomicU64::new(1),
        }
    }

    /// Returns a ticket that no other request of this incarnation has.
    pub(crate) fn ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells whether a service replica is not leaving.
    pub(crate) fn accepts_calls(&self, id: &EndpointId) -> bool {
        let leaving = self
            .leaving_services
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        !leaving.contains_key(id)
    }

    /// Returns the configuration in force.
    pub(crate) fn state(&self) -> Arc<State> {
        Arc::clone(&self.config.borrow())
    }

    /// Returns the address of a peer.
    pub(crate) fn peer(&self, id: &str) -> Option<SocketAddr> {
        let peers = self
            .peers
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        peers.get(id).copied()
    }
}
