//! [`QuotaBounds`]: how far the requests of an account may exceed its quota.

use std::time::Duration;

use crate::{Quota, lots::ALLOWANCE_LIFETIME, pool::MIN_CAPACITY};

/// Part of the margin by which pools may grant more than they have.
const OVERDRAFT_PART: f64 = 0.4;
/// Part of the margin that instances that reach no holder may use.
const SOLO_PART: f64 = 0.125;
/// Shortest window, so that rates derived from it are finite.
const MIN_WINDOW: Duration = Duration::from_millis(100);

/// How far the requests that run in a window may exceed a quota, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Allowed excess, as a part of the quota of a window.
    pub excess: f64,
    /// Allowed excess in addition, in units of the quota.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns what the requests that run in a window may cost.
    #[must_use]
    pub fn limit(&self, quota: &Quota) -> f64 {
        self.nominal(quota) + self.margin(quota)
    }

    /// Returns what a window may cost beyond the quota itself.
    #[must_use]
    pub fn margin(&self, quota: &Quota) -> f64 {
        self.nominal(quota) * self.excess + self.slack
    }

    /// Returns the largest cost of a request that full pools can grant.
    pub(crate) fn largest_cost(&self, quota: &Quota) -> f64 {
        let least = quota.rate * MIN_CAPACITY.as_secs_f64();
        quota.burst.max(least) + self.overdraft(quota)
    }

    /// Returns by how much the pools of all zones together may grant more than they have, so that
    /// requests may cost more than a bucket holds. The rest of the margin is for allowances that
    /// were granted before a window, and for instances that reach no holder.
    pub(crate) fn overdraft(&self, quota: &Quota) -> f64 {
        self.margin(quota) * OVERDRAFT_PART
    }

    /// Returns the rate at which one of `instances` instances may admit requests while it reaches
    /// no holder, in units per second.
    pub(crate) fn solo_rate(&self, quota: &Quota, instances: usize) -> f64 {
        let window = self.window.as_secs_f64().max(MIN_WINDOW.as_secs_f64());
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let sharers = instances.max(1) as f64;
        self.margin(quota) * SOLO_PART / (window * sharers)
    }

    /// Returns the age up to which the cost of a request that did not run is given back. What was
    /// granted before a window and is given back in it adds to the window, at most the rate times
    /// this age: the margin. The other parts of the margin are hardly ever used at the same time, and
    /// a shorter age would charge accounts for requests that an overloaded service refuses late.
    pub(crate) fn refund_age(&self, quota: &Quota) -> Duration {
        let seconds = self.margin(quota) / quota.rate;
        let age = Duration::try_from_secs_f64(seconds).unwrap_or(self.window);
        age.clamp(ALLOWANCE_LIFETIME, self.window.max(ALLOWANCE_LIFETIME))
    }

    fn nominal(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }
}
