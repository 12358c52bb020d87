//! [`ZoneQuotas`]: the quota pool of a zone that this instance holds.

use std::time::Instant;

use caraway_accounts::{AccountDirectory, Draw, DrawReply, PoolShare, QuotaPool};
use caraway_types::InstanceId;

use crate::shared::Shared;

/// The quota pool of a held zone, which fills at the part of its rate that the connected instances
/// of the zone account for.
#[derive(Debug)]
pub(crate) struct ZoneQuotas {
    pool: QuotaPool,
    share: PoolShare,
}

impl ZoneQuotas {
    /// Creates the pool of a zone whose holder this instance has become.
    pub(crate) fn new(shared: &Shared, zone: &str) -> Self {
        let now = Shared::now();
        let bounds = shared.site.bounds.quota;
        let mut pool = QuotaPool::new(shared.site.zones.len(), bounds);
        if let Some(routing) = shared.routing() {
            pool.set_accounts(now, routing.accounts());
        }
        let in_zone = *zone == *shared.site.zone;
        let share = PoolShare::new(in_zone, shared.fleet_size.get().stated());
        pool.set_share(now, share.share(now));
        Self { pool, share }
    }

    /// Applies the accounts of a new configuration.
    pub(crate) fn set_accounts(&mut self, now: Instant, accounts: &AccountDirectory) {
        self.pool.set_accounts(now, accounts);
    }

    /// Records that an instance is connected; `in_zone` is whether it is in the zone.
    pub(crate) fn on_connected(&mut self, now: Instant, instance: &InstanceId, in_zone: bool) {
        self.share.on_connected(instance, in_zone);
        self.update_share(now);
    }

    /// Records that the connection to an instance was lost.
    pub(crate) fn on_lost(&mut self, now: Instant, instance: &InstanceId) {
        self.share.on_lost(now, instance);
        self.update_share(now);
    }

    /// Records that an instance has stopped.
    pub(crate) fn on_stopped(&mut self, now: Instant, instance: &InstanceId) {
        self.share.on_stopped(instance);
        self.update_share(now);
    }

    /// Updates the rate at which the pool fills; lost instances are forgotten after a while.
    pub(crate) fn update_share(&mut self, now: Instant) {
        let share = self.share.share(now);
        self.pool.set_share(now, share);
    }

    /// Answers the draws of an instance.
    pub(crate) fn draw<'a>(
        &mut self,
        now: Instant,
        draws: impl Iterator<Item = &'a Draw>,
    ) -> Vec<DrawReply> {
        draws.map(|d| self.pool.draw(now, d)).collect()
    }
}
