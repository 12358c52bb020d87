//! [`RateLimiter`]: rate limits per client account.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AccountId;

/// Number of buckets from which refilled ones are dropped.
const SWEEP_THRESHOLD: usize = 1024;

/// Rate limit of one client account on this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Number of requests that are admitted at once after an idle time.
    pub burst: f64,
}

/// A rate limiter with one token bucket per client account.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<AccountId, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Admits a request of `account` and takes a token for it.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the account is over its rate limit.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &AccountId,
        limit: RateLimit,
    ) -> Result<(), Duration> {
        self.sweep(now, limit);
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket {
            tokens: limit.burst,
            refilled_at: now,
        });
        let elapsed = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * limit.rate).min(limit.burst);
        bucket.refilled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_seconds = (1.0 - bucket.tokens) / limit.rate.max(0.001);
        Err(Duration::try_from_secs_f64(wait_seconds).unwrap_or(Duration::MAX))
    }

    /// Drops the buckets that had the time to refill at the rate and burst of `limit`.
    fn sweep(&mut self, now: Instant, limit: RateLimit) {
        if self.buckets.len() < SWEEP_THRESHOLD {
            return;
        }
        let refill_seconds = limit.burst / limit.rate.max(0.001);
        self.buckets.retain(|_, b| {
            now.saturating_duration_since(b.refilled_at).as_secs_f64() < refill_seconds
        });
    }
}
