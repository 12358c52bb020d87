//! [`Claims`]: when an instance claims the zones that have no holder.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{Offset, ZoneId};

/// The zones that an instance means to claim, and its claim that is on its way.
///
/// All zones' records lie in one topic, so a claim of one zone fails when another zone's came first.
/// The claimer keeps its place then: were it to wait anew, an instance that comes after it by its
/// place would overtake it.
#[derive(Clone, Debug, Default)]
pub struct ClaimSchedule {
    pending: HashMap<ZoneId, Claim>,
    in_flight: bool,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    due: Instant,
    /// Where the topic did not end any more when it was tried.
    failed_at: Option<Offset>,
}

impl ClaimSchedule {
    /// Forgets a zone that has its holder.
    pub fn remove(&mut self, zone: &str) {
        self.pending.remove(zone);
    }

    /// Lets a zone be claimed at the next look.
    pub fn schedule_now(&mut self, now: Instant, zone: &ZoneId) {
        let claim = Claim {
            due: now,
            failed_at: None,
        };
        self.pending.insert(zone.clone(), claim);
    }

    /// Tells whether to claim a zone now, at the end of the topic `at`. `wait` counts from the first
    /// look that found the zone without a holder. The claim has to be [ended](Self::end).
    pub fn try_begin(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        wait: Duration,
        at: Option<Offset>,
    ) -> bool {
        let claim = self.pending.entry(zone.clone()).or_insert(Claim {
            due: now + wait,
            failed_at: None,
        });
        let has_advanced = claim
            .failed_at
            .is_none_or(|failed_at| at != Some(failed_at));
        if now < claim.due || self.in_flight || !has_advanced {
            return false;
        }
        self.in_flight = true;
        true
    }

    /// Takes the end of a claim. `moved` is where it was tried, if the topic did not end there any
    /// more.
    pub fn finish(&mut self, zone: &str, conflict_at: Option<Offset>) {
        self.in_flight = false;
        match (self.pending.get_mut(zone), conflict_at) {
            (Some(claim), Some(_)) => claim.failed_at = conflict_at,
            _ => self.remove(zone),
        }
    }
}
