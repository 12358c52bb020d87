//! [`QuotaPool`]: the part of all quotas that the holder of one zone grants.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AccountId;

use crate::{
    AccountDirectory, Draw, DrawReply, Quota, QuotaBounds,
    bucket::{Bucket, Filling},
};

/// Time after which an instance asks again for an account that the holder doesn't know: it has not
/// received the configuration yet.
const UNKNOWN_RETRY: Duration = Duration::from_millis(100);
/// Time at the rate that a bucket can hold at least. A quota without a burst is used in draws too.
pub(crate) const MIN_CAPACITY: Duration = Duration::from_millis(100);

/// The part of all quotas that the holder of one zone grants to instances.
///
/// For each account, it has a token bucket with an equal part of the rate and of the burst. It
/// starts empty, as a former holder may have granted everything.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    /// Part of each quota that belongs to this zone.
    zone_part: f64,
    bounds: QuotaBounds,
    share: f64,
    accounts: HashMap<AccountId, PooledAccount>,
}

#[derive(Clone, Debug)]
struct PooledAccount {
    quota: Option<Quota>,
    bucket: Bucket,
}

impl QuotaPool {
    /// Creates the pool of one of `zones` zones.
    #[must_use]
    pub fn new(zones: usize, bounds: QuotaBounds) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let zone_part = 1.0 / zones.max(1) as f64;
        Self {
            zone_part,
            bounds,
            share: 1.0,
            accounts: HashMap::new(),
        }
    }

    /// Applies the accounts of a new configuration. A level above a new burst is reduced to it.
    pub fn set_accounts(&mut self, now: Instant, accounts: &AccountDirectory) {
        self.accounts.retain(|name, _| accounts.get(name).is_some());
        for account in accounts.accounts() {
            let Some(pooled) = self.accounts.get_mut(&account.name) else {
                let pooled = PooledAccount {
                    quota: account.quota,
                    bucket: Bucket::new(now),
                };
                self.accounts.insert(account.name.clone(), pooled);
                continue;
            };
            if pooled.quota == account.quota {
                continue;
            }
            // Without a quota, nothing was counted, so the bucket starts empty.
            match pooled.quota {
                Some(former) if former.unit_kind_eq(account.quota) => {
                    let filling = filling(&former, self.zone_part, self.share, &self.bounds);
                    pooled.bucket.fill(now, &filling);
                }
                _ => pooled.bucket = Bucket::new(now),
            }
            if let Some(quota) = account.quota {
                let filling = filling(&quota, self.zone_part, 1.0, &self.bounds);
                pooled.bucket.limit(filling.capacity);
            }
            pooled.quota = account.quota;
        }
    }

    /// Sets the part of the zone's instances that the holder reaches, 0 to 1. The pool fills at
    /// this part of its rate, as another holder may serve the others.
    pub fn set_share(&mut self, now: Instant, connected_share: f64) {
        let share = connected_share.clamp(0.0, 1.0);
        #[expect(clippy::float_cmp, reason = "only an equal share changes nothing")]
        let is_same = share == self.share;
        if is_same || share.is_nan() {
            return;
        }
        for pooled in self.accounts.values_mut() {
            if let Some(quota) = &pooled.quota {
                let filling = filling(quota, self.zone_part, self.share, &self.bounds);
                pooled.bucket.fill(now, &filling);
            }
        }
        self.share = share;
    }

    /// Grants allowance to an instance.
    pub fn draw(&mut self, now: Instant, draw: &Draw) -> DrawReply {
        let reply = |granted, retry_after| DrawReply {
            account: draw.account.clone(),
            granted,
            retry_after,
        };
        let amount = units(draw.amount).max(units(draw.least));
        let Some(pooled) = self.accounts.get_mut(&draw.account) else {
            return reply(0.0, UNKNOWN_RETRY);
        };
        let Some(quota) = &pooled.quota else {
            return reply(amount, Duration::ZERO);
        };
        let filling = filling(quota, self.zone_part, self.share, &self.bounds);
        pooled.bucket.fill(now, &filling);
        pooled.bucket.give_back(units(draw.returned), &filling);
        if amount <= 0.0 {
            return reply(0.0, Duration::ZERO);
        }
        match pooled.bucket.take(now, amount, units(draw.least), &filling) {
            Ok(granted) => reply(granted, Duration::ZERO),
            Err(retry_after) => reply(0.0, retry_after),
        }
    }
}

/// Returns an amount that another instance stated; 0 if it is no amount.
fn units(stated: f64) -> f64 {
    if stated.is_finite() {
        stated.max(0.0)
    } else {
        0.0
    }
}

/// Returns how the bucket of a quota fills in a zone whose holder reaches `share` of its instances.
fn filling(quota: &Quota, zone_part: f64, share: f64, bounds: &QuotaBounds) -> Filling {
    let least = quota.rate * MIN_CAPACITY.as_secs_f64();
    Filling {
        rate: quota.rate * zone_part * share,
        capacity: quota.burst.max(least) * zone_part * share,
        overdraft: bounds.overdraft(quota) * zone_part,
    }
}
