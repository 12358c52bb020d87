//! [`LoadBudget`]: limits the loads that this instance may start, by permits of its zone.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// Lifetime of a lent permit. The borrower counts it from the request that was granted, the owner
/// from the grant.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of permit requests whose send time is kept. The lifetime of a grant is
/// counted from the send time of its request.
const MAX_REMEMBERED_REQUESTS: usize = 32;

/// Limits of the weight store, for all availability zones together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreLimits {
    /// Maximum number of loads that start per second.
    pub rate: f64,
    /// Maximum number of concurrent transfers at full speed.
    pub transit: u32,
    /// Maximum number of live instances; each may use an equal share of `transit`.
    pub instances: u32,
}

/// A permit that its owner lends in answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Number of the grant, assigned by the owner.
    pub id: u64,
    /// Number of the [`PermitRequest`] that it answers.
    #[serde(rename = "want")]
    pub request: u64,
}

/// The return of a lent permit to its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReturn {
    /// Number of the [`PermitGrant`].
    pub id: u64,
    /// Time since the permit was used; `None` if it was not used.
    pub used: Option<Millis>,
}

/// A request for permits, one for each load that waits for one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request, assigned by its sender.
    pub number: u64,
    /// Urgency of each waiting load, most urgent first.
    pub scores: Vec<f32>,
}

/// One permit of this zone. It allows one load and then has a cooldown.
#[derive(Clone, Debug)]
enum Permit {
    /// May be used or lent from this time on.
    ReadyAt(Instant),
    /// Lent to another instance; the grant expires at `until`.
    Lent {
        id: u64,
        to: InstanceId,
        until: Instant,
    },
}

/// A permit that another instance lent to this one.
#[derive(Clone, Debug)]
struct Borrowed {
    owner: InstanceId,
    id: u64,
    until: Instant,
}

/// Limits the loads that this instance starts, so that all instances together stay within the
/// [`StoreLimits`].
///
/// Every availability zone has the same number of permits, even while the network between zones is
/// partitioned. One instance of the zone owns them at a time. A permit allows one load and then has
/// a cooldown, until the zone's share of the rate allows the next load. Owners lend permits to the
/// most urgent request. The borrower counts [`GRANT_LIFETIME`] from its request, the owner from its
/// later grant, so a grant expires for the borrower first and no permit is used twice.
#[derive(Clone, Debug)]
pub struct LoadBudget {
    limits: StoreLimits,
    zones: u32,
    permits: Vec<Permit>,
    borrowed: VecDeque<Borrowed>,
    /// Numbers and send times of the latest requests.
    request_times: VecDeque<(u64, Instant)>,
    /// Number of the latest request.
    last_request: u64,
    /// Number of the latest grant.
    last_grant: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            rate: 3.0,
            transit: 16,
            instances: 8,
        }
    }
}

impl LoadBudget {
    /// Creates a budget without permits, for a deployment with `zones` availability zones.
    #[must_use]
    pub fn new(limits: StoreLimits, zones: u32) -> Self {
        Self {
            limits,
            zones: zones.max(1),
            permits: Vec::new(),
            borrowed: VecDeque::new(),
            request_times: VecDeque::new(),
            last_request: 0,
            last_grant: 0,
        }
    }

    /// Returns the maximum number of loads that this instance may have in transit at once.
    #[must_use]
    pub fn max_in_transit(&self) -> u32 {
        (self.limits.transit / self.limits.instances.max(1)).max(1)
    }

    /// Returns the cooldown of a permit after its use.
    #[must_use]
    pub fn cooldown(&self) -> Duration {
        let all_permits = f64::from(self.zones) * f64::from(self.permit_count());
        Duration::try_from_secs_f64(all_permits / self.limits.rate).unwrap_or(Duration::MAX)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is small and positive"
    )]
    fn permit_count(&self) -> u32 {
        ((self.limits.rate / f64::from(self.zones)) as u32).max(1)
    }

    /// Becomes the owner of the zone's permits.
    ///
    /// They become ready after the lifetime of a grant and a cooldown, because the previous owner
    /// may have used or lent them just before.
    pub fn acquire(&mut self, now: Instant) {
        let ready = now + self.cooldown() + GRANT_LIFETIME;
        self.permits = vec![Permit::ReadyAt(ready); self.permit_count() as usize];
    }

    /// Stops being the owner of the zone's permits.
    pub fn release(&mut self) {
        self.permits.clear();
    }

    /// Returns the number of loads that may start now, with own and borrowed permits.
    #[must_use]
    pub fn available(&self, now: Instant) -> usize {
        let ready = |p: &&Permit| matches!(p, Permit::ReadyAt(at) if *at <= now);
        let own = self.permits.iter().filter(ready).count();
        own + self.borrowed.iter().filter(|b| now < b.until).count()
    }

    /// Returns the number of own permits that may be lent now.
    #[must_use]
    pub fn lendable(&self, now: Instant) -> usize {
        let ready = |p: &&Permit| matches!(p, Permit::ReadyAt(at) if *at <= now);
        self.permits.iter().filter(ready).count()
    }

    /// Uses a permit for a load that is ordered now, a borrowed one first.
    ///
    /// Returns `None` if no permit is available, `Some(None)` if an own permit was used, and
    /// otherwise the owner of the borrowed permit with the return to send to it.
    pub fn use_permit(&mut self, now: Instant) -> Option<Option<(InstanceId, PermitReturn)>> {
        self.borrowed.retain(|b| now < b.until);
        if let Some(lent) = self.borrowed.pop_front() {
            let used = Some(Millis::new(0));
            return Some(Some((lent.owner, PermitReturn { id: lent.id, used })));
        }
        let cooldown = self.cooldown();
        let ready = |p: &&mut Permit| matches!(p, Permit::ReadyAt(at) if *at <= now);
        let permit = self.permits.iter_mut().find(ready)?;
        *permit = Permit::ReadyAt(now + cooldown);
        Some(None)
    }

    /// Lends a permit to the instance `to` in answer to its request with the number `request`, or
    /// returns `None` if no own permit is ready.
    pub fn lend(&mut self, now: Instant, to: &InstanceId, request: u64) -> Option<PermitGrant> {
        let ready = |p: &&mut Permit| matches!(p, Permit::ReadyAt(at) if *at <= now);
        let permit = self.permits.iter_mut().find(ready)?;
        self.last_grant += 1;
        let id = self.last_grant;
        *permit = Permit::Lent {
            id,
            to: to.clone(),
            until: now + GRANT_LIFETIME,
        };
        Some(PermitGrant { id, request })
    }

    /// Takes back permits whose grants have expired. Their cooldown starts at the expiry, because
    /// the borrower may have used them until then.
    pub fn reclaim_expired(&mut self, now: Instant) {
        let cooldown = self.cooldown();
        for permit in &mut self.permits {
            if let Permit::Lent { until, .. } = permit
                && *until <= now
            {
                *permit = Permit::ReadyAt(*until + cooldown);
            }
        }
    }

    /// Handles the return of a permit by its borrower.
    pub fn on_return(&mut self, now: Instant, from: &InstanceId, returned: PermitReturn) {
        let cooldown = self.cooldown();
        let lent = self
            .permits
            .iter_mut()
            .find(|p| matches!(p, Permit::Lent { id, to, .. } if *id == returned.id && to == from));
        if let Some(permit) = lent {
            let used = returned
                .used
                .map(|age| now.checked_sub(age.get()).unwrap_or(now));
            *permit = Permit::ReadyAt(used.map_or(now, |at| at + cooldown));
        }
    }

    /// Creates a request that is sent now, for one permit per score.
    pub fn new_request(&mut self, now: Instant, scores: Vec<f32>) -> PermitRequest {
        self.last_request += 1;
        self.request_times.push_back((self.last_request, now));
        if self.request_times.len() > MAX_REMEMBERED_REQUESTS {
            self.request_times.pop_front();
        }
        PermitRequest {
            number: self.last_request,
            scores,
        }
    }

    /// Handles a grant. Returns a return to send to the owner if the grant has already expired.
    pub fn on_grant(
        &mut self,
        now: Instant,
        owner: &InstanceId,
        grant: PermitGrant,
    ) -> Option<PermitReturn> {
        let sent = self.request_times.iter().find(|(n, _)| *n == grant.request);
        let until = sent.map(|(_, at)| *at + GRANT_LIFETIME);
        match until.filter(|until| now < *until) {
            Some(until) => {
                self.borrowed.push_back(Borrowed {
                    owner: owner.clone(),
                    id: grant.id,
                    until,
                });
                None
            }
            None => Some(PermitReturn {
                id: grant.id,
                used: None,
            }),
        }
    }

    /// Removes the borrowed permits beyond `needed` and returns their owners with the returns to
    /// send.
    pub fn return_unused(
        &mut self,
        now: Instant,
        needed: usize,
    ) -> Vec<(InstanceId, PermitReturn)> {
        self.borrowed.retain(|b| now < b.until);
        let mut returns = Vec::new();
        while self.borrowed.len() > needed {
            if let Some(lent) = self.borrowed.pop_back() {
                let used = None;
                returns.push((lent.owner, PermitReturn { id: lent.id, used }));
            }
        }
        returns
    }
}
