//! [`Backoffs`]: when loads that failed may be tried again.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{AdapterRef, EndpointId};

/// Wait after the first failure.
const FIRST: Duration = Duration::from_millis(500);
/// Longest wait.
const LONGEST: Duration = Duration::from_secs(30);
/// Failures are forgotten after this time without another.
const FORGET: Duration = Duration::from_mins(2);

/// Failed loads by adapter version and replica.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    failures: BTreeMap<(AdapterRef, EndpointId), Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    until: Instant,
}

impl Backoffs {
    /// Notes a failure and returns how long to wait.
    pub fn fail(&mut self, now: Instant, adapter: &AdapterRef, endpoint: &EndpointId) -> Duration {
        let key = (adapter.clone(), endpoint.clone());
        let failure = self.failures.entry(key).or_insert(Failure {
            count: 0,
            until: now,
        });
        let wait = FIRST.saturating_mul(1 << failure.count.min(8)).min(LONGEST);
        failure.count += 1;
        failure.until = now + wait;
        wait
    }

    /// Forgets the failures of a load that succeeded.
    pub fn succeed(&mut self, adapter: &AdapterRef, endpoint: &EndpointId) {
        if !self.failures.is_empty() {
            self.failures.remove(&(adapter.clone(), endpoint.clone()));
        }
    }

    /// Tells whether a load may be tried now.
    #[must_use]
    pub fn allows(&self, now: Instant, adapter: &AdapterRef, endpoint: &EndpointId) -> bool {
        if self.failures.is_empty() {
            return true;
        }
        let key = (adapter.clone(), endpoint.clone());
        self.failures.get(&key).is_none_or(|f| f.until <= now)
    }

    /// Counts the failures in a row of an adapter version on a replica.
    #[must_use]
    pub fn failures(&self, adapter: &AdapterRef, endpoint: &EndpointId) -> u32 {
        let key = (adapter.clone(), endpoint.clone());
        self.failures.get(&key).map_or(0, |f| f.count)
    }

    /// Drops what is long over.
    pub fn tick(&mut self, now: Instant) {
        self.failures.retain(|_, f| now < f.until + FORGET);
    }
}
