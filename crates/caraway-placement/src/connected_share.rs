//! [`ConnectedShare`]: the part of all instances that a zone's holder reaches.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::InstanceId;

/// Time for which an instance that was lost counts as running elsewhere, perhaps with a holder of
/// its own. Cuts between zones last up to about a minute; most processes are back sooner.
const LOST_RETENTION: Duration = Duration::from_mins(1);

/// The part of all instances that a zone's holder reaches, itself included.
///
/// When zones are cut off from each other, each side may have a holder for the same endpoints. Each
/// then gives away its part of a limit, so that the parts add up to the whole.
#[derive(Clone, Debug, Default)]
pub struct ConnectedShare {
    /// The other instances, with the time at which each was lost; `None` while it is connected.
    instances: HashMap<InstanceId, Option<Instant>>,
    /// Number of instances that the former holder knew, and when this one learned of it.
    expected: Option<(usize, Instant)>,
}

impl ConnectedShare {
    /// Creates the share of a new holder. `expected` is the number of instances, itself included,
    /// that a former holder knew, and when this instance learned of it.
    #[must_use]
    pub fn new(expected: Option<(usize, Instant)>) -> Self {
        Self {
            instances: HashMap::new(),
            expected,
        }
    }

    /// Records that an instance is connected.
    pub fn on_connected(&mut self, instance: &InstanceId) {
        self.instances.insert(instance.clone(), None);
    }

    /// Records that the connection to an instance was lost.
    pub fn on_lost(&mut self, now: Instant, instance: &InstanceId) {
        if let Some(lost_at) = self.instances.get_mut(instance) {
            *lost_at = Some(now);
        }
    }

    /// Removes an instance that has stopped.
    pub fn on_stopped(&mut self, instance: &InstanceId) {
        self.instances.remove(instance);
    }

    /// Returns the number of instances that run, as far as known, the holder included.
    #[must_use]
    pub fn known_instances(&self, now: Instant) -> usize {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOST_RETENTION;
        let lost_at = self.instances.values();
        let seen = lost_at.filter(|at| at.is_none_or(is_recent)).count() + 1;
        let expected = self.expected.filter(|(_, at)| is_recent(*at));
        expected.map_or(seen, |(count, _)| count.max(seen))
    }

    /// Returns the connected part of the instances, 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let connected = self.instances.values().filter(|at| at.is_none()).count() + 1;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = connected as f64 / self.known_instances(now) as f64;
        share
    }
}
