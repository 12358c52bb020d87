//! [`RetryBudget`] limits retries to a share of the requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{AccountId, EndpointId, Millis};
use serde::{Deserialize, Serialize};

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Retries that each request adds to the bucket, usually a fraction.
    pub share: f64,
    /// Capacity of a bucket in retries; a new bucket starts full.
    pub burst: f64,
    /// Time in milliseconds after which an unused bucket is removed.
    pub idle: Millis,
    /// Maximum number of buckets; beyond it a new pair gets no retries.
    pub pairs: usize,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            burst: 5.0,
            idle: Millis::new(60_000),
            pairs: 20_000,
        }
    }
}

/// A token bucket per pair of client account and endpoint that requests refill.
///
/// Retries stay near `share` of the requests, so that they do not overload a failing endpoint, and
/// the failures of one account do not use up the retries of another.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    buckets: HashMap<(AccountId, EndpointId), Bucket>,
    last_sweep: Option<Instant>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    last_used: Instant,
}

impl RetryBudget {
    /// Creates a budget without buckets.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: HashMap::new(),
            last_sweep: None,
        }
    }

    /// Records the first attempt of a request, which refills the bucket by `share`.
    pub fn on_request(&mut self, now: Instant, account: &AccountId, endpoint: &EndpointId) {
        let RetryBudgetSettings { share, burst, .. } = self.settings;
        if let Some(bucket) = self.bucket(now, account, endpoint) {
            bucket.tokens = (bucket.tokens + share).min(burst);
        }
    }

    /// Consumes one retry and returns true, or returns false if none is left.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        account: &AccountId,
        endpoint: &EndpointId,
    ) -> bool {
        let Some(bucket) = self.bucket(now, account, endpoint) else {
            return false;
        };
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there are no buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn bucket(
        &mut self,
        now: Instant,
        account: &AccountId,
        endpoint: &EndpointId,
    ) -> Option<&mut Bucket> {
        self.remove_idle(now);
        let key = (account.clone(), endpoint.clone());
        if !self.buckets.contains_key(&key) && self.buckets.len() >= self.settings.pairs {
            return None;
        }
        let tokens = self.settings.burst;
        let bucket = self.buckets.entry(key).or_insert(Bucket {
            tokens,
            last_used: now,
        });
        bucket.last_used = now;
        Some(bucket)
    }

    fn remove_idle(&mut self, now: Instant) {
        let idle: Duration = self.settings.idle.get();
        let last_sweep = *self.last_sweep.get_or_insert(now);
        if now.saturating_duration_since(last_sweep) < idle {
            return;
        }
        self.last_sweep = Some(now);
        self.buckets
            .retain(|_, b| now.saturating_duration_since(b.last_used) < idle);
    }
}
