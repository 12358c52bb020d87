//! [`Charges`]: how much of the loads each client account took lately.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AccountId;

/// A charge halves in this time.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// An account that took this share of the recent loads counts half, one that took more falls with
/// the square.
const FAIR_SHARE: f64 = 0.15;
/// Charges below this are dropped.
const NEGLIGIBLE: f64 = 0.01;
/// Accounts that are remembered before negligible charges are dropped.
const SWEEP_SIZE: usize = 1024;
/// Counts as recent loads of others, so that the first loads of an account weigh little.
const PRIOR: f64 = 10.0;

/// How much of the loads each client account took lately, decaying.
#[derive(Clone, Debug)]
pub struct Charges {
    accounts: HashMap<AccountId, f64>,
    total: f64,
    /// Grows instead of letting every charge decay.
    scale: f64,
    scaled: Instant,
}

impl Charges {
    /// Charges nobody yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            accounts: HashMap::new(),
            total: 0.0,
            scale: 1.0,
            scaled: now,
        }
    }

    /// Charges an account with a part of a load.
    pub fn add(&mut self, now: Instant, account: &AccountId, part: f64) {
        self.age(now);
        *self.accounts.entry(account.clone()).or_default() += part * self.scale;
        self.total += part * self.scale;
    }

    /// Returns the weight of an account's requests, from one downwards.
    #[must_use]
    pub fn weight(&self, account: &AccountId) -> f64 {
        let charge = self.accounts.get(account).copied().unwrap_or(0.0);
        let share = charge / (self.total + PRIOR * self.scale);
        1.0 / (1.0 + (share / FAIR_SHARE).powi(2))
    }

    fn age(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.scaled);
        self.scaled = now;
        self.scale *= (span.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        if self.scale > 1e9 || self.accounts.len() > SWEEP_SIZE {
            self.rescale();
        }
    }

    fn rescale(&mut self) {
        let scale = std::mem::replace(&mut self.scale, 1.0);
        self.accounts.retain(|_, c| {
            *c /= scale;
            *c > NEGLIGIBLE
        });
        self.total /= scale;
    }
}
