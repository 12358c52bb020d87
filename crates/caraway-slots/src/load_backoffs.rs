//! [`LoadBackoffs`]: when failed loads may be retried.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{AdapterRef, EndpointId};

/// Backoff after the first failure; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Time after the end of the last backoff at which the failures of a load are forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(2);

/// Exponential backoffs of failed loads, per adapter version and replica.
#[derive(Clone, Debug, Default)]
pub struct LoadBackoffs {
    failures: BTreeMap<(AdapterRef, EndpointId), Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Instant,
}

impl LoadBackoffs {
    /// Records the failure of a load and returns the backoff before its retry.
    pub fn record_failure(
        &mut self,
        now: Instant,
        adapter: &AdapterRef,
        endpoint: &EndpointId,
    ) -> Duration {
        let key = (adapter.clone(), endpoint.clone());
        let failure = self.failures.entry(key).or_insert(Failure {
            count: 0,
            retry_at: now,
        });
        let wait = FIRST_BACKOFF
            .saturating_mul(1 << failure.count.min(8))
            .min(MAX_BACKOFF);
        failure.count += 1;
        failure.retry_at = now + wait;
        wait
    }

    /// Records the success of a load, which clears its failures.
    pub fn record_success(&mut self, adapter: &AdapterRef, endpoint: &EndpointId) {
        if !self.failures.is_empty() {
            self.failures.remove(&(adapter.clone(), endpoint.clone()));
        }
    }

    /// Returns whether a load may be attempted now.
    #[must_use]
    pub fn allows(&self, now: Instant, adapter: &AdapterRef, endpoint: &EndpointId) -> bool {
        if self.failures.is_empty() {
            return true;
        }
        let key = (adapter.clone(), endpoint.clone());
        self.failures.get(&key).is_none_or(|f| f.retry_at <= now)
    }

    /// Returns the number of consecutive failures of an adapter version on a replica.
    #[must_use]
    pub fn failure_count(&self, adapter: &AdapterRef, endpoint: &EndpointId) -> u32 {
        let key = (adapter.clone(), endpoint.clone());
        self.failures.get(&key).map_or(0, |f| f.count)
    }

    /// Removes the failures whose last backoff ended at least `FORGET_AFTER` ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.failures.retain(|_, f| now < f.retry_at + FORGET_AFTER);
    }
}
