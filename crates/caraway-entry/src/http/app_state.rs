//! [`AppState`]: the state that all handlers of the http thread share.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use caraway_calls::{Generation, PoolHealth, RetryPolicy};
use caraway_types::{Reason, Refusal};
use caraway_wire::{CallError, HttpClient};
use tokio::sync::watch;

use crate::shared::Shared;

/// State of the http thread's handlers: connection pools and retry decisions. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct AppState {
    /// State that all threads of the daemon share.
    pub(crate) shared: Arc<Shared>,
    /// Decides whether an attempt is retried, within the retry budgets.
    pub(crate) retries: Rc<RefCell<RetryPolicy>>,
    /// Current connection pool of each address.
    pools: Rc<RefCell<HashMap<SocketAddr, HttpClient>>>,
    /// Current generation of each address's pool.
    health: Rc<RefCell<PoolHealth<SocketAddr>>>,
    /// Number of pools discarded so far; wakes attempts whose pool may be among them.
    discards: watch::Sender<u64>,
}

impl AppState {
    /// Creates the state without any connections.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let retries = RetryPolicy::new(shared.settings.retries);
        Self {
            shared,
            retries: Rc::new(RefCell::new(retries)),
            pools: Rc::default(),
            health: Rc::default(),
            discards: watch::Sender::new(0),
        }
    }

    /// Returns the connection pool for `addr`, and creates it on first use.
    ///
    /// # Errors
    ///
    /// Returns an error if the client can't be created.
    pub(crate) async fn pool(&self, addr: SocketAddr) -> Result<HttpClient, CallError> {
        let existing = self.pools.borrow().get(&addr).cloned();
        if let Some(http) = existing {
            return Ok(http);
        }
        let http = HttpClient::new().await?;
        let mut pools = self.pools.borrow_mut();
        Ok(pools.entry(addr).or_insert(http).clone())
    }

    /// Returns the generation of the current pool for `addr`.
    pub(crate) fn pool_generation(&self, addr: SocketAddr) -> Generation {
        self.health.borrow().current(&addr)
    }

    /// Discards the pool for `addr` after a failed attempt, unless a newer one has replaced it.
    ///
    /// One silent connection makes all connections of its pool suspect, so attempts in flight on
    /// them are woken and continue with a shorter progress timeout.
    pub(crate) fn discard_pool(&self, addr: SocketAddr, generation: Generation) {
        if self.health.borrow_mut().on_stall(&addr, generation) {
            self.pools.borrow_mut().remove(&addr);
            self.discards.send_modify(|count| *count += 1);
        }
    }

    /// Returns how long an attempt may go without progress: `limit`, or less on a discarded pool.
    pub(crate) fn progress_timeout(
        &self,
        addr: SocketAddr,
        generation: Generation,
        limit: Duration,
    ) -> Duration {
        self.health
            .borrow()
            .progress_timeout(&addr, generation, limit)
    }

    /// Returns a receiver that changes whenever a pool is discarded.
    pub(crate) fn pool_discards(&self) -> watch::Receiver<u64> {
        self.discards.subscribe()
    }

    /// Checks whether a new request may be accepted.
    ///
    /// # Errors
    ///
    /// Returns a refusal while the instance is stopping or has too many requests in flight.
    pub(crate) fn admit(&self) -> Result<(), Refusal> {
        let shared = &self.shared;
        if shared.leaving.load(Ordering::Acquire) {
            let refusal = Refusal::not_run(Reason::Leaving, "this instance is stopping");
            return Err(refusal.with_retry_after(0));
        }
        let is_full = shared.in_flight.load(Ordering::Acquire) >= shared.settings.limits.in_flight;
        if is_full {
            let refusal = Refusal::not_run(Reason::QueueFull, "this instance is full");
            return Err(refusal.with_retry_after(1000));
        }
        Ok(())
    }
}
