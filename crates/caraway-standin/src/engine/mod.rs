//! A stand-in for a model engine.
//!
//! [`EngineState`] decides, [`routes`] turns HTTP into its calls, and a loop steps the batch.

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

/// Longest time between two looks at expired attempts and the load report.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: ServerThread,
    shared: Arc<Shared>,
}

/// What the server and the step loop share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<EngineState>,
    work: Notify,
}

impl Shared {
    /// Calls `f` with the engine's state.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut EngineState) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes the step loop look for work at once.
    pub(crate) fn notify_work(&self) {
        self.work.notify_one();
    }
}

impl Engine {
    /// Starts an engine.
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

    /// Returns the address of the engine.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Closes the server and waits for its thread.
    pub fn stop(&mut self) {
        self.server.stop();
    }

    /// Restarts the engine empty: every run breaks off, every load is gone.
    pub fn restart(&self) {
        self.shared.with(EngineState::restart);
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.with(|s| s.set_faults(faults));
        self.shared.notify_work();
    }

    /// Returns how many load reports are kept.
    #[must_use]
    pub fn report_count(&self) -> usize {
        self.shared.with(|s| s.report_count())
    }

    /// Returns a copy of what the engine did so far.
    #[must_use]
    pub fn ledger(&self) -> EngineLedger {
        self.shared.with(|s| s.ledger.clone())
    }
}

/// Steps the batch for as long as the engine lives.
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
