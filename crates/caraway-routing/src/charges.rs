//! [`Charges`]: each client account's share of the recent adapter loads.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AccountId;

/// Time in which a charge decays to half.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Share of the recent loads at which an account's weight is one half. The weight of larger shares
/// falls with their square.
const FAIR_SHARE: f64 = 0.15;
/// Charge, in loads, below which an account is no longer tracked.
const MIN_CHARGE: f64 = 0.01;
/// Number of tracked accounts above which those with negligible charges are dropped.
const SWEEP_THRESHOLD: usize = 1024;
/// Loads that are added to the total, so that the first loads of an account on an idle system
/// hardly reduce its weight.
const PRIOR_LOADS: f64 = 10.0;

/// Each client account's recent adapter loads, with exponential decay.
#[derive(Clone, Debug)]
pub struct Charges {
    /// Charges in loads, multiplied by the scale at the time of the charge.
    accounts: HashMap<AccountId, f64>,
    total: f64,
    /// Doubles with each half-life. A charge is divided by it when it is read, which avoids
    /// updating every account as time passes.
    scale: f64,
    scaled_at: Instant,
}

impl Charges {
    /// Creates a record in which no account is charged.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            accounts: HashMap::new(),
            total: 0.0,
            scale: 1.0,
            scaled_at: now,
        }
    }

    /// Charges an account with a fraction of a load.
    pub fn add(&mut self, now: Instant, account: &AccountId, fraction: f64) {
        self.decay(now);
        *self.accounts.entry(account.clone()).or_default() += fraction * self.scale;
        self.total += fraction * self.scale;
    }

    /// Returns the weight of an account's requests: 1 for an account without charges, less the
    /// larger its share of the recent loads.
    #[must_use]
    pub fn weight(&self, account: &AccountId) -> f64 {
        let charge = self.accounts.get(account).copied().unwrap_or(0.0);
        let share = charge / (self.total + PRIOR_LOADS * self.scale);
        1.0 / (1.0 + (share / FAIR_SHARE).powi(2))
    }

    /// Lets all charges decay until `now` by increasing the scale.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.scaled_at);
        self.scaled_at = now;
        self.scale *= (elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        if self.scale > 1e9 || self.accounts.len() > SWEEP_THRESHOLD {
            self.normalize();
        }
    }

    /// Resets the scale to 1 and drops accounts with negligible charges.
    fn normalize(&mut self) {
        let scale = std::mem::replace(&mut self.scale, 1.0);
        self.accounts.retain(|_, charge| {
            *charge /= scale;
            *charge > MIN_CHARGE
        });
        self.total /= scale;
    }
}
