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
}

impl ConnectedShare {
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

    /// Returns the connected part of the instances, 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let is_recent = |lost_at: &&Option<Instant>| {
            lost_at.is_none_or(|at| now.saturating_duration_since(at) < LOST_RETENTION)
        };
        let known = self.instances.values().filter(is_recent);
        let connected = known.clone().filter(|lost_at| lost_at.is_none()).count();
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = (connected + 1) as f64 / (known.count() + 1) as f64;
        share
    }
}
