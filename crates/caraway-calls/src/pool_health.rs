//! [`PoolHealth`] tells which connection pools went silent.

use std::{collections::HashMap, hash::Hash, time::Duration};

/// Tells the pools of one endpoint apart that replaced each other.
pub type Generation = u64;

/// Share of a progress deadline that an attempt on a suspected pool may still be silent.
const DOUBT_DIVISOR: u32 = 4;

/// Counts the connection pools of each endpoint.
///
/// The first attempt that makes no progress in time puts its whole pool in doubt: the pool is
/// replaced, new attempts use new connections, and those under way on the old pool get a short
/// deadline in place of their own. So a pool that went silent costs one deadline, and late
/// attempts of the old pool do not put the new one in doubt.
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
    /// Returns the generation whose connections a new attempt uses.
    #[must_use]
    pub fn current(&self, endpoint: &E) -> Generation {
        self.current.get(endpoint).copied().unwrap_or_default()
    }

    /// Takes a stall of an attempt; true when its pool is to be replaced now.
    pub fn suspect(&mut self, endpoint: &E, generation: Generation) -> bool {
        let is_current = generation == self.current(endpoint);
        if is_current {
            self.current.insert(endpoint.clone(), generation + 1);
        }
        is_current
    }

    /// Tells whether a pool was put in doubt.
    #[must_use]
    pub fn is_suspected(&self, endpoint: &E, generation: Generation) -> bool {
        generation < self.current(endpoint)
    }

    /// Returns how long an attempt may make no progress, of a deadline of `limit`.
    #[must_use]
    pub fn limit(&self, endpoint: &E, generation: Generation, limit: Duration) -> Duration {
        if self.is_suspected(endpoint, generation) {
            limit / DOUBT_DIVISOR
        } else {
            limit
        }
    }
}
