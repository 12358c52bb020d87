//! [`FleetSize`]: an estimate of the number of instances, by which shared budgets are divided.

use std::time::Instant;

/// Least number of instances per zone that budgets are divided by; one more than the smallest
/// deployments have, as zones differ in size.
const MIN_INSTANCES_PER_ZONE: usize = 3;
/// Number of instances per zone that is assumed before any is known.
const INITIAL_INSTANCES_PER_ZONE: usize = 24;

/// An upper estimate of the number of instances of all zones.
///
/// Each instance divides what all may do together by this number, so it must not shrink when an
/// instance loses its holder: many do at once, and the parts would add up to more than the whole.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    zones: usize,
    stated: Option<(usize, Instant)>,
}

impl FleetSize {
    /// Creates an estimate for a deployment with this number of zones.
    #[must_use]
    pub fn new(zones: usize) -> Self {
        Self {
            zones: zones.max(1),
            stated: None,
        }
    }

    /// Records the number of instances that a holder states; 0 for none.
    pub fn on_stated(&mut self, now: Instant, instances: usize) {
        if instances > 0 {
            self.stated = Some((instances, now));
        }
    }

    /// Returns the number of instances that a holder stated last, and when.
    #[must_use]
    pub fn stated(&self) -> Option<(usize, Instant)> {
        self.stated
    }

    /// Returns the estimate. `own_zone` is the number of instances of the own zone that its holder
    /// reaches, or `None` if there is no connection to the holder.
    #[must_use]
    pub fn estimate(&self, own_zone: Option<usize>) -> usize {
        let stated = self.stated.map_or(0, |(instances, _)| instances);
        if stated == 0 && own_zone.is_none() {
            return INITIAL_INSTANCES_PER_ZONE * self.zones;
        }
        let per_zone = own_zone.unwrap_or(0).max(MIN_INSTANCES_PER_ZONE);
        stated.max(per_zone * self.zones)
    }
}
