//! [`Budget`]: this instance's part of the loads that the weight store allows.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Millis};
use serde::{Deserialize, Serialize};

/// A lent permit that is not used by then lapses, counted from the want that it answers.
pub const GRANT_LAPSE: Duration = Duration::from_secs(2);
/// Wants whose time is remembered.
const WANT_MEMORY: usize = 32;

/// What the weight store allows over all availability zones.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreLimits {
    /// Loads per second.
    pub rate: f64,
    /// Loads in transit at full speed.
    pub transit: u32,
    /// Most instances that live at once; each may use an equal part of `transit`.
    pub instances: u32,
}

/// A permit that its owner lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Numbers the grant for its owner.
    pub id: u64,
    /// The want that it answers.
    pub want: u64,
}

/// Gives back a lent permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The grant.
    pub id: u64,
    /// How long ago the permit was used; none when it was not.
    pub used: Option<Millis>,
}

/// Says how urgently an instance wants permits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Numbers the want for its sender.
    pub number: u64,
    /// Urgency of each load that waits, the most urgent first.
    pub scores: Vec<f32>,
}

/// One permit of this zone; a permit allows one load and then rests.
#[derive(Clone, Debug)]
enum Permit {
    Ready(Instant),
    Lent {
        id: u64,
        to: InstanceId,
        until: Instant,
    },
}

/// A permit of another instance.
#[derive(Clone, Debug)]
struct Borrowed {
    owner: InstanceId,
    id: u64,
    until: Instant,
}

/// This instance's part of the loads that the weight store allows.
///
/// Every availability zone owns the same number of permits, whoever is cut off from whom. One
/// instance of the zone owns them at a time; a permit allows one load and rests until the zone's
/// part of the rate allows the next. Owners lend permits to the most urgent want. A grant lapses
/// by the borrower's clock counted from the want that it answers, which is before the owner's
/// count of the same time ends, so no permit is used twice.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: StoreLimits,
    zones: u32,
    permits: Vec<Permit>,
    borrowed: VecDeque<Borrowed>,
    wants: VecDeque<(u64, Instant)>,
    wanted: u64,
    granted: u64,
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

impl Budget {
    /// Makes a budget of a deployment with `zones` availability zones; it owns nothing yet.
    #[must_use]
    pub fn new(limits: StoreLimits, zones: u32) -> Self {
        Self {
            limits,
            zones: zones.max(1),
            permits: Vec::new(),
            borrowed: VecDeque::new(),
            wants: VecDeque::new(),
            wanted: 0,
            granted: 0,
        }
    }

    /// Returns the loads that this instance may have in transit at once.
    #[must_use]
    pub fn places(&self) -> u32 {
        (self.limits.transit / self.limits.instances.max(1)).max(1)
    }

    /// Returns the time that a permit rests after its use.
    #[must_use]
    pub fn rest(&self) -> Duration {
        let count = f64::from(self.zones) * f64::from(self.count());
        Duration::try_from_secs_f64(count / self.limits.rate).unwrap_or(Duration::MAX)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is small and positive"
    )]
    fn count(&self) -> u32 {
        ((self.limits.rate / f64::from(self.zones)) as u32).max(1)
    }

    /// Takes over the zone's permits. The last owner may have used or lent them just now.
    pub fn acquire(&mut self, now: Instant) {
        let ready = now + self.rest() + GRANT_LAPSE;
        self.permits = vec![Permit::Ready(ready); self.count() as usize];
    }

    /// Gives up the zone's permits.
    pub fn release(&mut self) {
        self.permits.clear();
    }

    /// Returns how many loads may start now.
    #[must_use]
    pub fn available(&self, now: Instant) -> usize {
        let ready = |p: &&Permit| matches!(p, Permit::Ready(at) if *at <= now);
        let own = self.permits.iter().filter(ready).count();
        own + self.borrowed.iter().filter(|b| now < b.until).count()
    }

    /// Returns how many own permits could be lent now.
    #[must_use]
    pub fn lendable(&self, now: Instant) -> usize {
        let ready = |p: &&Permit| matches!(p, Permit::Ready(at) if *at <= now);
        self.permits.iter().filter(ready).count()
    }

    /// Uses a permit for a load that is ordered now. Returns none when there is none; otherwise
    /// whom to tell, when the permit was borrowed.
    pub fn take(&mut self, now: Instant) -> Option<Option<(InstanceId, Return)>> {
        self.borrowed.retain(|b| now < b.until);
        if let Some(lent) = self.borrowed.pop_front() {
            let used = Some(Millis::new(0));
            return Some(Some((lent.owner, Return { id: lent.id, used })));
        }
        let rest = self.rest();
        let ready = |p: &&mut Permit| matches!(p, Permit::Ready(at) if *at <= now);
        let permit = self.permits.iter_mut().find(ready)?;
        *permit = Permit::Ready(now + rest);
        Some(None)
    }

    /// Lends a permit in answer to a want.
    pub fn lend(&mut self, now: Instant, to: &InstanceId, want: u64) -> Option<Grant> {
        let ready = |p: &&mut Permit| matches!(p, Permit::Ready(at) if *at <= now);
        let permit = self.permits.iter_mut().find(ready)?;
        self.granted += 1;
        let id = self.granted;
        *permit = Permit::Lent {
            id,
            to: to.clone(),
            until: now + GRANT_LAPSE,
        };
        Some(Grant { id, want })
    }

    /// Takes back permits whose grant has lapsed; they may have been used up to that moment.
    pub fn tick(&mut self, now: Instant) {
        let rest = self.rest();
        for permit in &mut self.permits {
            if let Permit::Lent { until, .. } = permit
                && *until <= now
            {
                *permit = Permit::Ready(*until + rest);
            }
        }
    }

    /// Notes what a borrower gives back.
    pub fn on_return(&mut self, now: Instant, from: &InstanceId, back: Return) {
        let rest = self.rest();
        let lent = self
            .permits
            .iter_mut()
            .find(|p| matches!(p, Permit::Lent { id, to, .. } if *id == back.id && to == from));
        if let Some(permit) = lent {
            let used = back
                .used
                .map(|age| now.checked_sub(age.get()).unwrap_or(now));
            *permit = Permit::Ready(used.map_or(now, |at| at + rest));
        }
    }

    /// Numbers a want that is sent now.
    pub fn want(&mut self, now: Instant, scores: Vec<f32>) -> Want {
        self.wanted += 1;
        self.wants.push_back((self.wanted, now));
        if self.wants.len() > WANT_MEMORY {
            self.wants.pop_front();
        }
        Want {
            number: self.wanted,
            scores,
        }
    }

    /// Takes a grant. Returns what to give back at once when it is too late to use it.
    pub fn on_grant(&mut self, now: Instant, owner: &InstanceId, grant: Grant) -> Option<Return> {
        let sent = self.wants.iter().find(|(n, _)| *n == grant.want);
        let until = sent.map(|(_, at)| *at + GRANT_LAPSE);
        match until.filter(|until| now < *until) {
            Some(until) => {
                self.borrowed.push_back(Borrowed {
                    owner: owner.clone(),
                    id: grant.id,
                    until,
                });
                None
            }
            None => Some(Return {
                id: grant.id,
                used: None,
            }),
        }
    }

    /// Gives back borrowed permits beyond `needed`, with their owners.
    pub fn give_back(&mut self, now: Instant, needed: usize) -> Vec<(InstanceId, Return)> {
        self.borrowed.retain(|b| now < b.until);
        let mut back = Vec::new();
        while self.borrowed.len() > needed {
            if let Some(lent) = self.borrowed.pop_back() {
                let used = None;
                back.push((lent.owner, Return { id: lent.id, used }));
            }
        }
        back
    }
}
