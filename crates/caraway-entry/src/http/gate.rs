//! [`Gate`] is what every handler of the http thread has at hand.

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

/// What every handler of the http thread has at hand; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    /// What the daemon's threads have in common.
    pub(crate) shared: Arc<Shared>,
    /// Decides on retries.
    pub(crate) retries: Rc<RefCell<RetryPolicy>>,
    pools: Rc<RefCell<HashMap<SocketAddr, HttpClient>>>,
    health: Rc<RefCell<PoolHealth<SocketAddr>>>,
    doubts: watch::Sender<u64>,
}

impl Gate {
    /// Makes a gate with empty connection pools.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let retries = RetryPolicy::new(shared.settings.retries);
        Self {
            shared,
            retries: Rc::new(RefCell::new(retries)),
            pools: Rc::default(),
            health: Rc::default(),
            doubts: watch::Sender::new(0),
        }
    }

    /// Returns the connection pool for `addr`.
    pub(crate) async fn pool(&self, addr: SocketAddr) -> Result<HttpClient, CallError> {
        let known = self.pools.borrow().get(&addr).cloned();
        if let Some(http) = known {
            return Ok(http);
        }
        let http = HttpClient::new().await?;
        let mut pools = self.pools.borrow_mut();
        Ok(pools.entry(addr).or_insert(http).clone())
    }

    /// Returns the generation of the pool for `addr`.
    pub(crate) fn generation(&self, addr: SocketAddr) -> Generation {
        self.health.borrow().current(&addr)
    }

    /// Drops the pool for `addr` if it is still the one that an attempt used.
    ///
    /// One silent connection puts all of its pool in doubt; attempts under way on it are told.
    pub(crate) fn suspect(&self, addr: SocketAddr, generation: Generation) {
        if self.health.borrow_mut().on_stall(&addr, generation) {
            self.pools.borrow_mut().remove(&addr);
            self.doubts.send_modify(|count| *count += 1);
        }
    }

    /// Returns how long an attempt on a pool may make no progress, of a deadline of `limit`.
    pub(crate) fn limit(
        &self,
        addr: SocketAddr,
        generation: Generation,
        limit: Duration,
    ) -> Duration {
        self.health
            .borrow()
            .progress_timeout(&addr, generation, limit)
    }

    /// Tells when a pool is put in doubt.
    pub(crate) fn doubts(&self) -> watch::Receiver<u64> {
        self.doubts.subscribe()
    }

    /// Tells whether a new request may enter.
    ///
    /// # Errors
    ///
    /// Returns a refusal while the instance leaves or is full.
    pub(crate) fn admit(&self) -> Result<(), Refusal> {
        let shared = &self.shared;
        if shared.leaving.load(Ordering::Acquire) {
            let refusal = Refusal::not_run(Reason::Leaving, "this instance is stopping");
            return Err(refusal.with_retry_after(0));
        }
        let full = shared.in_flight.load(Ordering::Acquire) >= shared.settings.limits.in_flight;
        if full {
            let refusal = Refusal::not_run(Reason::QueueFull, "this instance is full");
            return Err(refusal.with_retry_after(1000));
        }
        Ok(())
    }
}
