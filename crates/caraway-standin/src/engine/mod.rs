//! A test double for a model engine.
//!
//! [`EngineState`] holds the logic without I/O, [`routes`] maps HTTP requests to its methods, and a
//! step loop generates the tokens of the batch.

mod ledger;
mod loads;
mod orders;
mod prefix_cache;
mod report_history;
mod routes;
mod run;
mod settings;
mod state;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use self::state::EngineState;
use crate::server_thread::ServerThread;

pub use ledger::{EngineLedger, OrderKind, OrderRecord, RunEnd, RunRecord, Violation};
pub use run::token;
pub use settings::{EngineFaults, EngineSettings};

/// Interval at which an idle engine checks for expired attempts and for a due load report.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// A running engine; dropping it stops its server.
#[derive(Debug)]
pub struct Engine {
    server: ServerThread,
    shared: Arc<Shared>,
}

/// State that the HTTP routes and the step loop share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<EngineState>,
    /// Wakes the step loop when it is idle.
    work: Notify,
}

impl Shared {
    /// Calls `f` with the locked engine state.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut EngineState) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wakes the step loop if it is idle.
    pub(crate) fn notify_work(&self) {
        self.work.notify_one();
    }
}

impl Engine {
    /// Starts an engine and its server.
    ///
    /// # Errors
    ///
    /// Returns the error of starting its server.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let name = settings.id.clone();
        let port = settings.port;
        let shared = Arc::new(Shared {
            state: Mutex::new(EngineState::new(settings)),
            work: Notify::new(),
        });
        let server = ServerThread::start(
            &name,
            port,
            Arc::clone(&shared),
            routes::add_routes,
            step_loop,
        )?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the engine's server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the server and waits for its thread to end.
    pub fn stop(&mut self) {
        self.server.stop();
    }

    /// Simulates a restart: ends every run, drops every load and increases the incarnation.
    pub fn restart(&self) {
        self.shared.with(EngineState::restart);
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.with(|s| s.set_faults(faults));
        self.shared.notify_work();
    }

    /// Returns the number of load reports kept for delayed answers.
    #[must_use]
    pub fn report_count(&self) -> usize {
        self.shared.with(|s| s.report_count())
    }

    /// Returns a copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> EngineLedger {
        self.shared.with(|s| s.ledger.clone())
    }
}

/// Runs batch steps until the server stops; each step lasts as long as its simulated cost.
async fn step_loop(shared: Arc<Shared>) {
    loop {
        let duration = shared.with(|s| s.begin_step(Instant::now().into_std()));
        if let Some(duration) = duration {
            tokio::time::sleep(duration).await;
            shared.with(|s| s.end_step(Instant::now().into_std()));
        } else {
            drop(tokio::time::timeout(IDLE_INTERVAL, shared.work.notified()).await);
        }
    }
}
