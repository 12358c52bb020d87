//! [`QuotaBounds`]: how far the requests of an account may exceed its quota.

use std::time::Duration;

use crate::Quota;

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

    fn nominal(&self, quota: &Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }
}
