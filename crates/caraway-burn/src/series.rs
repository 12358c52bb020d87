//! [`Series`]: counts over time, at a fine resolution for the last hour and coarser ones for the
//! last days.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Counts, UnixSeconds};

/// Width of the buckets that are stored in the log, in seconds.
pub const LOG_BUCKET_SECONDS: u64 = 600;

/// Width in seconds and number of the buckets of each resolution, the finest first.
///
/// Each has one bucket more than its span needs, as the current one is incomplete.
const RESOLUTIONS: [(u64, u64); 3] = [(60, 61), (LOG_BUCKET_SECONDS, 37), (7200, 37)];

/// Counts over time in bounded memory, in rings of 61 one-minute, 37 ten-minute and 37 two-hour
/// buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Series {
    rings: [BTreeMap<u64, Counts>; 3],
}

impl Series {
    /// Counts one request that ended at `now`.
    pub fn add(&mut self, now: UnixSeconds, good: bool) {
        let mut counts = Counts::default();
        counts.add(good);
        self.add_to_rings(now, counts, 0);
    }

    /// Adds a closed bucket of [`LOG_BUCKET_SECONDS`] that starts at `start`.
    pub fn add_bucket(&mut self, start: UnixSeconds, counts: Counts) {
        self.add_to_rings(start, counts, 1);
    }

    /// Adds the counts of another series.
    pub fn merge(&mut self, other: &Self) {
        for (ring, other_ring) in self.rings.iter_mut().zip(&other.rings) {
            for (bucket, counts) in other_ring {
                *ring.entry(*bucket).or_default() += *counts;
            }
        }
    }

    /// Returns the counts of the last `window_seconds`, from the finest resolution that covers them.
    #[must_use]
    pub fn window(&self, now: UnixSeconds, window_seconds: u64) -> Counts {
        let covers = |(width, capacity): &(u64, u64)| width * (capacity - 1) >= window_seconds;
        let index = RESOLUTIONS.iter().position(covers).unwrap_or(2);
        let (width, _) = RESOLUTIONS[index];
        let first = now.saturating_sub(window_seconds) / width + 1;
        let mut sum = Counts::default();
        for counts in self.rings[index].range(first..=now / width) {
            sum += *counts.1;
        }
        sum
    }

    /// Returns the counts of the bucket of [`LOG_BUCKET_SECONDS`] that starts at `start`.
    #[must_use]
    pub fn bucket(&self, start: UnixSeconds) -> Counts {
        let bucket = self.rings[1].get(&(start / LOG_BUCKET_SECONDS));
        bucket.copied().unwrap_or_default()
    }

    /// Returns the counts of each minute of the last hour, oldest first.
    #[must_use]
    pub fn last_hour(&self, now: UnixSeconds) -> Vec<Counts> {
        let minute = now / 60;
        let at = |m: u64| self.rings[0].get(&m).copied().unwrap_or_default();
        (minute.saturating_sub(59)..=minute).map(at).collect()
    }

    /// Adds `counts` to the rings from index `first_ring` on and drops the oldest buckets.
    fn add_to_rings(&mut self, at: UnixSeconds, counts: Counts, first_ring: usize) {
        let rings = self.rings.iter_mut().zip(RESOLUTIONS).skip(first_ring);
        for (ring, (width, capacity)) in rings {
            *ring.entry(at / width).or_default() += counts;
            while ring.len() as u64 > capacity {
                ring.pop_first();
            }
        }
    }
}
