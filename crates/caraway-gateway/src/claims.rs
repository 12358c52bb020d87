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
pub struct Claims {
    waiting: HashMap<ZoneId, Claim>,
    trying: bool,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    due: Instant,
    /// Where the topic did not end any more when it was tried.
    failed: Option<Offset>,
}

impl Claims {
    /// Forgets a zone that has its holder.
    pub fn forget(&mut self, zone: &str) {
        self.waiting.remove(zone);
    }

    /// Lets a zone be claimed at the next look.
    pub fn hasten(&mut self, now: Instant, zone: &ZoneId) {
        let claim = Claim {
            due: now,
            failed: None,
        };
        self.waiting.insert(zone.clone(), claim);
    }

    /// Tells whether to claim a zone now, at the end of the topic `at`. `wait` counts from the first
    /// look that found the zone without a holder. The claim has to be [ended](Self::end).
    pub fn begin(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        wait: Duration,
        at: Option<Offset>,
    ) -> bool {
        let claim = self.waiting.entry(zone.clone()).or_insert(Claim {
            due: now + wait,
            failed: None,
        });
        let is_new = claim.failed.is_none_or(|failed| at != Some(failed));
        if now < claim.due || self.trying || !is_new {
            return false;
        }
        self.trying = true;
        true
    }

    /// Takes the end of a claim. `moved` is where it was tried, if the topic did not end there any
    /// more.
    pub fn end(&mut self, zone: &str, moved: Option<Offset>) {
        self.trying = false;
        match (self.waiting.get_mut(zone), moved) {
            (Some(claim), Some(_)) => claim.failed = moved,
            _ => self.forget(zone),
        }
    }
}
