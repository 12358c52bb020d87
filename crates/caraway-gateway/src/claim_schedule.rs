//! [`ClaimSchedule`]: when an instance claims the zones that have no holder.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::{Position, ZoneId};

/// The zones that an instance is going to claim, each after a delay; one claim is in flight at a
/// time.
///
/// The records of all zones are in one topic, so a claim of one zone conflicts with a concurrent
/// claim of another. After such a conflict the claim is due at once: if the instance waited again,
/// one with a longer delay would claim the zone before it.
#[derive(Clone, Debug, Default)]
pub struct ClaimSchedule {
    pending: HashMap<ZoneId, Claim>,
    in_flight: bool,
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    due: Instant,
    /// Position at which the last attempt failed, as the topic did not end there any more.
    failed_at: Option<Position>,
}

impl ClaimSchedule {
    /// Removes a zone that has a holder.
    pub fn remove(&mut self, zone: &str) {
        self.pending.remove(zone);
    }

    /// Makes a zone due for a claim at once.
    pub fn schedule_now(&mut self, now: Instant, zone: &ZoneId) {
        let claim = Claim {
            due: now,
            failed_at: None,
        };
        self.pending.insert(zone.clone(), claim);
    }

    /// Returns whether to claim a zone now, where `topic_end` is the known end of the topic. `wait`
    /// is counted from the first call for a zone without a holder. After true, the caller has to
    /// report the end of the claim to [`Self::finish`].
    pub fn try_begin(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        wait: Duration,
        topic_end: Option<Position>,
    ) -> bool {
        let claim = self.pending.entry(zone.clone()).or_insert(Claim {
            due: now + wait,
            failed_at: None,
        });
        let has_advanced = claim
            .failed_at
            .is_none_or(|failed_at| topic_end != Some(failed_at));
        if now < claim.due || self.in_flight || !has_advanced {
            return false;
        }
        self.in_flight = true;
        true
    }

    /// Records the end of a claim. `conflict_at` is the position of the attempt if the topic did not
    /// end there any more.
    pub fn finish(&mut self, zone: &str, conflict_at: Option<Position>) {
        self.in_flight = false;
        match (self.pending.get_mut(zone), conflict_at) {
            (Some(claim), Some(_)) => claim.failed_at = conflict_at,
            _ => self.remove(zone),
        }
    }
}
