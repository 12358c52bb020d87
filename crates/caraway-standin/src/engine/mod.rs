//! A stand-in for a model engine.
//!
//! [`Core`] decides, [`routes`](server) turns HTTP into its calls, and a loop steps the batch.

mod core;
mod ledger;
mod loads;
mod orders;
mod prefix_cache;
mod report;
mod run;
mod server;
mod settings;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use self::core::Core;
use crate::host::Host;

pub use ledger::{EngineLedger, OrderKind, OrderRecord, RunEnd, RunRecord, Violation};
pub use run::token;
pub use settings::{EngineFaults, EngineSettings};

/// Longest time between two looks at expired attempts and the load report.
const IDLE_TICK: Duration = Duration::from_millis(20);

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    host: Host,
    shared: Arc<Shared>,
}

/// What the server and the step loop share.
#[derive(Debug)]
pub(crate) struct Shared {
    core: Mutex<Core>,
    wake: Notify,
}

impl Shared {
    /// Calls `f` with the engine's state.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Core) -> R) -> R {
        f(&mut self.core.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Makes the step loop look for work at once.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
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
            core: Mutex::new(Core::new(settings)),
            wake: Notify::new(),
        });
        let host = Host::start(&name, port, Arc::clone(&shared), server::routes, step_loop)?;
        Ok(Self { host, shared })
    }

    /// Returns the address of the engine.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Closes the server and waits for its thread.
    pub fn stop(&mut self) {
        self.host.stop();
    }

    /// Restarts the engine empty: every run breaks off, every load is gone.
    pub fn restart(&self) {
        self.shared.with(Core::restart);
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.with(|c| c.set_faults(faults));
        self.shared.wake();
    }

    /// Returns how many load reports are kept.
    #[must_use]
    pub fn reports(&self) -> usize {
        self.shared.with(|c| c.report_count())
    }

    /// Returns a copy of what the engine did so far.
    #[must_use]
    pub fn ledger(&self) -> EngineLedger {
        self.shared.with(|c| c.ledger.clone())
    }
}

/// Steps the batch for as long as the engine lives.
async fn step_loop(shared: Arc<Shared>) {
    loop {
        let cost = shared.with(|c| c.begin_step(Instant::now().into_std()));
        if let Some(cost) = cost {
            tokio::time::sleep(cost).await;
            shared.with(|c| c.end_step(Instant::now().into_std()));
        } else {
            drop(tokio::time::timeout(IDLE_TICK, shared.wake.notified()).await);
        }
    }
}
