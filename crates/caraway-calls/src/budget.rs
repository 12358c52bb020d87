//! [`RetryBudget`] keeps retries to a share of the requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{AccountId, EndpointId, Millis};
use serde::{Deserialize, Serialize};

/// Sets how many retries a [`RetryBudget`] allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Retries earned by each request.
    pub share: f64,
    /// Most retries that can be saved up, and what a new pair starts with.
    pub burst: f64,
    /// Time after which an unused pair is forgotten.
    pub idle: Millis,
    /// Most pairs that are kept; a new pair beyond it gets no retry.
    pub pairs: usize,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            share: 0.1,
            burst: 5.0,
            idle: Millis::new(60_000),
            pairs: 20_000,
        }
    }
}

/// A token bucket for each pair of client account and endpoint, filled by requests.
///
/// Retries stay near `share` of the requests, so an endpoint that fails is not buried under
/// repeats, and one account's failures do not use up another's retries.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    buckets: HashMap<(AccountId, EndpointId), Bucket>,
    swept: Option<Instant>,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    used: Instant,
}

impl RetryBudget {
    /// Makes an empty budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            buckets: HashMap::new(),
            swept: None,
        }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn on_request(&mut self, now: Instant, account: &AccountId, endpoint: &EndpointId) {
        let BudgetSettings { share, burst, .. } = self.settings;
        if let Some(bucket) = self.bucket(now, account, endpoint) {
            bucket.tokens = (bucket.tokens + share).min(burst);
        }
    }

    /// Takes one retry; returns false when none is left.
    pub fn take(&mut self, now: Instant, account: &AccountId, endpoint: &EndpointId) -> bool {
        let Some(bucket) = self.bucket(now, account, endpoint) else {
            return false;
        };
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns the number of pairs that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Tells whether no pair is kept.
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
        self.sweep(now);
        let key = (account.clone(), endpoint.clone());
        if !self.buckets.contains_key(&key) && self.buckets.len() >= self.settings.pairs {
            return None;
        }
        let tokens = self.settings.burst;
        let bucket = self
            .buckets
            .entry(key)
            .or_insert(Bucket { tokens, used: now });
        bucket.used = now;
        Some(bucket)
    }

    fn sweep(&mut self, now: Instant) {
        let idle: Duration = self.settings.idle.get();
        let swept = *self.swept.get_or_insert(now);
        if now.saturating_duration_since(swept) < idle {
            return;
        }
        self.swept = Some(now);
        self.buckets
            .retain(|_, b| now.saturating_duration_since(b.used) < idle);
    }
}
