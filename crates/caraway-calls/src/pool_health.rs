//! [`PoolHealth`] decides which connection pools are replaced after a stall.

use std::{collections::HashMap, hash::Hash, time::Duration};

/// Number of a connection pool of one endpoint; each replacement gets the next one.
pub type Generation = u64;

/// Divisor of the progress timeout for attempts on a replaced pool.
const REPLACED_POOL_DIVISOR: u32 = 4;

/// Tracks the current connection pool of each endpoint.
///
/// The first attempt that makes no progress in time causes its whole pool to be replaced: new
/// attempts use new connections, and attempts in flight on the old pool get a shorter timeout. A
/// pool whose connections all went silent thus costs one full timeout, and stalls of the old pool
/// that are reported later do not replace the new one.
#[derive(Debug)]
pub struct PoolHealth<E> {
    current: HashMap<E, Generation>,
}

impl<E> Default for PoolHealth<E> {
    fn default() -> Self {
        Self {
            current: HashMap::new(),
        }
    }
}

impl<E: Clone + Eq + Hash> PoolHealth<E> {
    /// Returns the generation of the pool that a new attempt uses.
    #[must_use]
    pub fn current(&self, endpoint: &E) -> Generation {
        self.current.get(endpoint).copied().unwrap_or_default()
    }

    /// Handles the stall of an attempt. Returns true if its pool must be replaced now, and false if
    /// the pool was replaced before.
    pub fn on_stall(&mut self, endpoint: &E, generation: Generation) -> bool {
        let is_current = generation == self.current(endpoint);
        if is_current {
            self.current.insert(endpoint.clone(), generation + 1);
        }
        is_current
    }

    /// Returns whether a pool was replaced after a stall.
    #[must_use]
    pub fn is_replaced(&self, endpoint: &E, generation: Generation) -> bool {
        generation < self.current(endpoint)
    }

    /// Returns the progress timeout of an attempt: `timeout`, or a part of it on a replaced pool.
    #[must_use]
    pub fn progress_timeout(
        &self,
        endpoint: &E,
        generation: Generation,
        timeout: Duration,
    ) -> Duration {
        if self.is_replaced(endpoint, generation) {
            timeout / REPLACED_POOL_DIVISOR
        } else {
            timeout
        }
    }
}
