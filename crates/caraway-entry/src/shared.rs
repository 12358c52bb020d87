//! [`Shared`] holds the state that all threads of a daemon use, and the senders of their rings.

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
    EndpointSettings, Settings, burn::BurnMessage, calls_log::CallsMessage,
    config_follower::FollowerMessage, metrics::Metrics,
};

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Submits a new request; the decision is sent back.
    Submit(Submission, oneshot::Sender<RoutingDecision>),
    /// Reports how an attempt without a complete answer ended, and requests another decision.
    Retry(Ticket, AttemptOutcome, oneshot::Sender<RoutingDecision>),
    /// Any other input to the node.
    Input(Input),
    /// A newer configuration to put in force.
    Config(Arc<State>),
    /// Ends the thread.
    Stop,
}

/// The node's routing decision for a request.
#[derive(Clone, Debug)]
pub(crate) enum RoutingDecision {
    /// Start an attempt on an engine.
    Start {
        /// Id of the new attempt.
        attempt: AttemptId,
        /// The engine to send it to.
        endpoint: EndpointId,
        /// Name of the load that holds the adapter version on that engine.
        load: LoadName,
    },
    /// Forward the request to a peer.
    Forward(InstanceId),
    /// Refuse the request; this is the final answer.
    Refuse(Refusal),
}

/// The sending ends of the rings to the daemon's threads.
#[derive(Debug)]
pub(crate) struct Rings {
    /// Ring to the control thread.
    pub(crate) control: Sender<ControlMessage>,
    /// Ring to the burn thread.
    pub(crate) burn: Sender<BurnMessage>,
    /// Ring to the log thread.
    pub(crate) follower: Sender<FollowerMessage>,
    /// Ring to the calls thread.
    pub(crate) calls: Sender<CallsMessage>,
}

/// State that all threads of a daemon use.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// Bound listening address.
    pub(crate) addr: SocketAddr,
    /// Distinguishes this run of the instance from earlier ones; later runs have larger numbers.
    pub(crate) incarnation: u64,
    pub(crate) rings: Rings,
    /// The configuration in force.
    pub(crate) config: watch::Receiver<Arc<State>>,
    /// Last known addresses of the peers, from the settings and the instance list.
    pub(crate) peers: RwLock<BTreeMap<InstanceId, SocketAddr>>,
    /// Settings of all engines and services, by id.
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointSettings>,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Number of requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// Whether each engine replica of this zone has a holder, as of the last tick.
    pub(crate) ready: AtomicBool,
    /// Whether every held replica was handed over, as of the last tick.
    pub(crate) handed_over: AtomicBool,
    /// Whether keyed calls are pending: their outcome is not yet in the log.
    pub(crate) calls_pending: AtomicBool,
    /// Service replicas that the instance list has shown as leaving, with their incarnation. An
    /// entry stays until the list shows a later incarnation.
    pub(crate) leaving_services: RwLock<BTreeMap<EndpointId, Incarnation>>,
    /// Whether the instance is stopping and refuses new requests.
    pub(crate) leaving: AtomicBool,
    next_ticket: AtomicU64,
}

impl Shared {
    /// Creates the state at the start of the daemon; the peers are those of the settings.
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
            calls_pending: AtomicBool::new(false),
            leaving_services: RwLock::default(),
            leaving: AtomicBool::new(false),
            next_ticket: AtomicU64::new(1),
        }
    }

    /// Returns a ticket that is unique among the requests of this incarnation.
    pub(crate) fn next_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether a service replica takes calls, that is, is not leaving.
    pub(crate) fn accepts_calls(&self, id: &EndpointId) -> bool {
        let leaving = self
            .leaving_services
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        !leaving.contains_key(id)
    }

    /// Returns the configuration in force.
    pub(crate) fn current_config(&self) -> Arc<State> {
        Arc::clone(&self.config.borrow())
    }

    /// Returns the last known address of a peer, or `None` when neither the settings nor a list has
    /// named it.
    pub(crate) fn peer_addr(&self, id: &str) -> Option<SocketAddr> {
        let peers = self
            .peers
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        peers.get(id).copied()
    }
}
