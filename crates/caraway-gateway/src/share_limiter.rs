//! [`ShareLimiter`]: an instance's part of the records that all instances may share.

use std::time::Duration;

use tokio::time::Instant;

/// Number of records that all instances together share per second for long, and one at once.
const SHARED_PER_SECOND: f64 = 40.0;
const SHARED_AT_ONCE: f64 = 10.0;

/// Limits the records that this instance shares to its part of what all instances may share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareLimiter {
    credit: f64,
    updated_at: Option<Instant>,
}

impl Default for ShareLimiter {
    fn default() -> Self {
        Self {
            credit: SHARED_AT_ONCE,
            updated_at: None,
        }
    }
}

impl ShareLimiter {
    /// Returns whether a record may be shared at `now`; if so, uses the credit for it.
    pub(crate) fn admit(&mut self, now: Instant, instances: usize) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let rate = SHARED_PER_SECOND / instances.max(1) as f64;
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now - at);
        self.updated_at = Some(now);
        self.credit = (self.credit + elapsed.as_secs_f64() * rate).min(SHARED_AT_ONCE);
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
