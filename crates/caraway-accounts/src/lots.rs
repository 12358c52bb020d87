//! [`Lots`]: allowance that expires.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time from a draw to the expiry of what it granted. It bounds what can be spent in a window
/// beyond what the pools granted in it: half a second's worth of the quota.
pub(crate) const ALLOWANCE_LIFETIME: Duration = Duration::from_millis(500);
/// Difference of expiry below which lots are joined, so that there are few.
const JOIN_TIME: Duration = Duration::from_millis(20);

/// Allowance by expiry, the earliest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lots {
    lots: VecDeque<Lot>,
}

#[derive(Clone, Copy, Debug)]
struct Lot {
    units: f64,
    expires_at: Instant,
}

impl Lots {
    /// Adds units that expire at `expires_at`, or up to [`JOIN_TIME`] earlier.
    pub(crate) fn add(&mut self, units: f64, expires_at: Instant) {
        let at = self.lots.partition_point(|l| l.expires_at <= expires_at);
        let before = at.checked_sub(1).and_then(|i| self.lots.get_mut(i));
        match before.filter(|l| expires_at - l.expires_at < JOIN_TIME) {
            Some(lot) => lot.units += units,
            None => self.lots.insert(at, Lot { units, expires_at }),
        }
    }

    /// Drops the units that have expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        while self.lots.front().is_some_and(|l| l.expires_at <= now) {
            self.lots.pop_front();
        }
    }

    /// Returns the units that have not expired.
    pub(crate) fn available(&self) -> f64 {
        self.lots.iter().map(|l| l.units).sum()
    }

    /// Takes `units` if there are as many, those that expire first before the others.
    pub(crate) fn spend(&mut self, units: f64) -> bool {
        // Sums of fractions may miss the cost by a rounding error.
        let tolerance = units * 1e-9;
        if self.available() + tolerance < units {
            return false;
        }
        let mut left = units;
        while let Some(lot) = self.lots.front_mut() {
            if lot.units > left {
                lot.units -= left;
                break;
            }
            left -= lot.units;
            self.lots.pop_front();
        }
        true
    }
}
