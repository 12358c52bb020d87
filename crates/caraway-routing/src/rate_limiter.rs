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
///
/// It counts the requests of one instance, and each caller passes the limit. The quota pools of
/// `caraway-accounts` hold a quota over all instances together, count tokens if the quota does, and
/// take their limits from the configuration; use them where an account calls several instances.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<AccountId, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    /// The limit at the last request.
    limit: RateLimit,
}

impl Bucket {
    /// Fills the bucket at its limit.
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let added = elapsed.as_secs_f64() * self.limit.rate;
        self.tokens = (self.tokens + added).min(self.limit.burst);
        self.refilled_at = now;
    }

    fn is_full(&self) -> bool {
        self.tokens >= self.limit.burst
    }
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
        self.sweep(now);
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket {
            tokens: limit.burst,
            refilled_at: now,
            limit,
        });
        bucket.limit = limit;
        bucket.refill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let wait_seconds = (1.0 - bucket.tokens) / limit.rate.max(0.001);
        Err(Duration::try_from_secs_f64(wait_seconds).unwrap_or(Duration::MAX))
    }

    /// Drops the buckets that have refilled, each at its own limit: a new one is equal to them.
    fn sweep(&mut self, now: Instant) {
        if self.buckets.len() < SWEEP_THRESHOLD {
            return;
        }
        self.buckets.retain(|_, bucket| {
            bucket.refill(now);
            !bucket.is_full()
        });
    }
}
