//! [`Limits`]: how fast each client account may send.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AccountId;

/// Accounts whose bucket is remembered before full ones are dropped.
const SWEEP_SIZE: usize = 1024;

/// What one client account may send on this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// One token bucket per client account.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    buckets: HashMap<AccountId, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Limits {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the account is over its allowance.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &AccountId,
        allowance: Allowance,
    ) -> Result<(), Duration> {
        self.sweep(now, allowance);
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket {
            tokens: allowance.burst,
            filled: now,
        });
        let span = now.saturating_duration_since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + span * allowance.rate).min(allowance.burst);
        bucket.filled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) / allowance.rate.max(0.001);
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }

    fn sweep(&mut self, now: Instant, allowance: Allowance) {
        if self.buckets.len() < SWEEP_SIZE {
            return;
        }
        let full = allowance.burst / allowance.rate.max(0.001);
        self.buckets
            .retain(|_, b| now.saturating_duration_since(b.filled).as_secs_f64() < full);
    }
}
