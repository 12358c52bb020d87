//! [`Entry`] starts a daemon's threads, drains the daemon and stops it.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::Ordering},
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::{Context, Result};
use caraway_node::{Input, Node, NodeSettings};
use caraway_records::State;
use caraway_ring::ring;
use caraway_slots::StoreLimits;
use caraway_wire::CallError;
use slog::Logger;
use tokio::sync::watch;

use crate::{
    EndpointKind, EndpointSettings, Settings,
    burn::{self, BurnMessage},
    calls_log::{self, CallsMessage},
    config_follower,
    control::ControlThread,
    events::emit,
    http::{self, Server},
    metrics::Metrics,
    orders, peers,
    shared::{ControlMessage, Rings, Shared},
    threads,
};

/// Interval at which a graceful stop checks whether work is still pending.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon, which [`Self::drain`] or [`Self::stop`] ends.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    server: Server,
    threads: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Binds the listening address and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound, the metrics can't be set up or a thread
    /// can't be started.
    pub fn start(settings: Settings, log: Logger) -> Result<Self> {
        let listener = TcpListener::bind(settings.listen)
            .with_context(|| format!("/listen: can't bind {}", settings.listen))?;
        let addr = listener
            .local_addr()
            .context("/listen: can't read the bound address")?;
        let capacity = settings.limits.ring;
        let (control, inbox) = ring(capacity);
        let (orders, orders_inbox) = ring(capacity);
        let (gossip, gossip_inbox) = ring(capacity);
        let (burn, burn_inbox) = ring(capacity);
        let (follower, follower_inbox) = ring(capacity);
        let (calls, calls_inbox) = ring(capacity);
        let (config_sender, config) = watch::channel(Arc::new(State::default()));
        let metrics = Metrics::new().context("can't set up metrics")?;
        let shared = Shared::new(
            settings,
            addr,
            incarnation(),
            Rings {
                control,
                burn,
                follower,
                calls,
            },
            config,
            log,
            metrics,
        );
        let shared = Arc::new(shared);

        let mut threads = Vec::new();
        let (node, thread_shared) = (build_node(&shared), Arc::clone(&shared));
        threads.push(threads::spawn_tokio("control", move || {
            ControlThread::new(thread_shared, node, inbox, orders, gossip).run()
        })?);
        let thread_shared = Arc::clone(&shared);
        threads.push(threads::spawn_ntex("orders", move || {
            run_logged(
                Arc::clone(&thread_shared),
                "orders",
                orders::run(thread_shared, orders_inbox),
            )
        })?);
        let thread_shared = Arc::clone(&shared);
        threads.push(threads::spawn_ntex("peers", move || {
            run_logged(
                Arc::clone(&thread_shared),
                "peers",
                peers::run(thread_shared, gossip_inbox),
            )
        })?);
        let thread_shared = Arc::clone(&shared);
        threads.push(threads::spawn_ntex("log", move || {
            run_logged(
                Arc::clone(&thread_shared),
                "log",
                config_follower::run(thread_shared, follower_inbox, config_sender),
            )
        })?);
        let thread_shared = Arc::clone(&shared);
        threads.push(threads::spawn_ntex("burn", move || {
            run_logged(
                Arc::clone(&thread_shared),
                "burn",
                burn::run(thread_shared, burn_inbox),
            )
        })?);
        let thread_shared = Arc::clone(&shared);
        threads.push(threads::spawn_ntex("calls", move || {
            run_logged(
                Arc::clone(&thread_shared),
                "calls",
                calls_log::run(thread_shared, calls_inbox),
            )
        })?);
        let (server, thread) = http::start(&shared, listener)?;
        threads.push(thread);
        emit!(shared.log, info, Started; "addr" => %addr);
        Ok(Self {
            shared,
            server,
            threads,
        })
    }

    /// Returns the bound address, with the port that the system chose if the settings name port 0.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Stops gracefully: refuses new requests, hands over held replicas, and waits for requests in
    /// flight up to the `drain_ms` setting.
    pub fn drain(self) {
        emit!(self.shared.log, info, Draining);
        self.shared.leaving.store(true, Ordering::Release);
        let _ = self
            .shared
            .rings
            .control
            .push(ControlMessage::Input(Input::Leave));
        let timeout = self.shared.settings.times.drain_ms.get();
        let start = std::time::Instant::now();
        while self.is_busy() && start.elapsed() < timeout {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.stop();
    }

    /// Returns whether requests are in flight, call outcomes are not yet in the log or replicas are
    /// not yet handed over.
    fn is_busy(&self) -> bool {
        let in_flight = self.shared.in_flight.load(Ordering::Acquire) > 0;
        let calls_pending = self.shared.calls_pending.load(Ordering::Acquire);
        in_flight || calls_pending || !self.shared.handed_over.load(Ordering::Acquire)
    }

    /// Stops without waiting for requests in flight, and joins the threads.
    pub fn stop(self) {
        self.server.stop();
        let _ = self.shared.rings.burn.push(BurnMessage::Stop);
        let _ = self.shared.rings.calls.push(CallsMessage::Stop);
        let _ = self.shared.rings.control.push(ControlMessage::Stop);
        emit!(self.shared.log, info, Stopped);
        let Self {
            shared, threads, ..
        } = self;
        drop(shared);
        for thread in threads {
            let _ = thread.join();
        }
    }
}

/// Creates the node that the settings describe.
fn build_node(shared: &Shared) -> Node {
    let endpoint = |e: &EndpointSettings| caraway_node::EndpointSettings {
        id: Arc::clone(&e.id),
        zone: Arc::clone(&e.zone),
        slots: e.slots,
        max_batch: e.max_batch,
        checks_fencing: e.checks_fencing,
        kind: match e.kind {
            EndpointKind::Engine => caraway_node::EndpointKind::Engine,
            EndpointKind::Service => caraway_node::EndpointKind::Service,
        },
    };
    let times = &shared.settings.times;
    let settings = NodeSettings {
        id: Arc::clone(&shared.settings.instance),
        zone: Arc::clone(&shared.settings.zone),
        incarnation: shared.incarnation,
        endpoints: shared.settings.endpoints.iter().map(endpoint).collect(),
        store: StoreLimits {
            rate: shared.settings.store_rate,
            transit: shared.settings.store_transit,
            instances: shared.settings.instances,
        },
        members: times.members(),
        gossip_interval: times.gossip_ms,
    };
    Node::new(settings, tokio::time::Instant::now().into_std())
}

/// Runs a thread's task and logs its error, if it ends with one.
async fn run_logged(
    shared: Arc<Shared>,
    name: &'static str,
    task: impl Future<Output = Result<(), CallError>>,
) {
    if let Err(error) = task.await {
        emit!(shared.log, error, ThreadFailed; "thread" => name, "error" => %error);
    }
}

/// Returns the start time in milliseconds since the Unix epoch, which increases with each start of
/// this instance as long as the clock does.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
