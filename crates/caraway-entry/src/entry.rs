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
    control::ControlThread,
    events::emit,
    follow,
    http::{self, Server},
    metrics::Metrics,
    orders, peers,
    shared::{Control, Rings, Shared},
    threads,
};

/// Interval at which a graceful stop checks whether work is still pending.
const DRAIN_POLL: Duration = Duration::from_millis(10);

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
        let (orders, order_inbox) = ring(capacity);
        let (beats, beat_inbox) = ring(capacity);
        let (burn, burn_inbox) = ring(capacity);
        let (follow, follow_inbox) = ring(capacity);
        let (calls, call_inbox) = ring(capacity);
        let (publish, config) = watch::channel(Arc::new(State::default()));
        let metrics = Metrics::new().context("can't set up metrics")?;
        let shared = Shared::new(
            settings,
            addr,
            incarnation(),
            Rings {
                control,
                burn,
                follow,
                calls,
            },
            config,
            log,
            metrics,
        );
        let shared = Arc::new(shared);

        let mut threads = Vec::new();
        let (node, own) = (node(&shared), Arc::clone(&shared));
        threads.push(threads::spawn_timer("control", move || {
            ControlThread::new(own, node, inbox, orders, beats).run()
        })?);
        let own = Arc::clone(&shared);
        threads.push(threads::spawn_system("orders", move || {
            report(Arc::clone(&own), "orders", orders::run(own, order_inbox))
        })?);
        let own = Arc::clone(&shared);
        threads.push(threads::spawn_system("peers", move || {
            report(Arc::clone(&own), "peers", peers::run(own, beat_inbox))
        })?);
        let own = Arc::clone(&shared);
        threads.push(threads::spawn_system("log", move || {
            report(
                Arc::clone(&own),
                "log",
                follow::run(own, follow_inbox, publish),
            )
        })?);
        let own = Arc::clone(&shared);
        threads.push(threads::spawn_system("burn", move || {
            report(Arc::clone(&own), "burn", burn::run(own, burn_inbox))
        })?);
        let own = Arc::clone(&shared);
        threads.push(threads::spawn_system("calls", move || {
            report(Arc::clone(&own), "calls", calls_log::run(own, call_inbox))
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
        let _ = self.shared.rings.control.push(Control::Input(Input::Leave));
        let limit = self.shared.settings.times.drain_ms.get();
        let start = std::time::Instant::now();
        while self.is_busy() && start.elapsed() < limit {
            std::thread::sleep(DRAIN_POLL);
        }
        self.stop();
    }

    /// Returns whether requests are in flight, call outcomes are not yet in the log or replicas are
    /// not yet handed over.
    fn is_busy(&self) -> bool {
        let in_flight = self.shared.in_flight.load(Ordering::Acquire) > 0;
        let open = self.shared.calls_open.load(Ordering::Acquire);
        in_flight || open || !self.shared.handed_over.load(Ordering::Acquire)
    }

    /// Stops without waiting for requests in flight, and joins the threads.
    pub fn stop(self) {
        self.server.stop();
        let _ = self.shared.rings.burn.push(BurnMessage::Stop);
        let _ = self.shared.rings.calls.push(CallsMessage::Stop);
        let _ = self.shared.rings.control.push(Control::Stop);
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
fn node(shared: &Shared) -> Node {
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
async fn report(
    shared: Arc<Shared>,
    name: &'static str,
    duty: impl Future<Output = Result<(), CallError>>,
) {
    if let Err(error) = duty.await {
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
