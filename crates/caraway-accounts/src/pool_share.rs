//! [`PoolShare`]: the part of its pool that a zone's holder may grant.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::InstanceId;

/// Time for which an instance that was lost counts as running elsewhere, perhaps with a holder of
/// its own. Cuts between zones last up to about a minute; most processes are back sooner.
const LOST_RETENTION: Duration = Duration::from_mins(1);

/// The part of its pool that a zone's holder may grant: the part of the instances *of that zone*
/// that it reaches.
///
/// If several holders of one zone are active, each instance counts for only one of them, so their
/// parts add up to at most the whole. Counting only the zone's own instances leaves the pool of a
/// zone that is cut off to that zone: the other zones can't use it, and keep theirs in full. The
/// share of an endpoint's limit counts all instances instead (`ConnectedShare` of
/// `caraway-placement`), as all of them send requests to each endpoint.
#[derive(Clone, Debug)]
pub struct PoolShare {
    instances: HashMap<InstanceId, Seen>,
    /// Whether the holder itself is in the zone.
    is_own: bool,
    /// Number of instances that the former holder knew, and when this one learned of it.
    expected: Option<(usize, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    in_zone: bool,
    /// When the instance was lost; `None` while it is connected.
    lost_at: Option<Instant>,
}

impl PoolShare {
    /// Creates the share of a new holder. `in_zone` states whether the holder is in the zone that it
    /// holds; `expected` is the number of instances of all zones, itself included, that a former
    /// holder knew, and when this instance learned of it.
    #[must_use]
    pub fn new(in_zone: bool, expected: Option<(usize, Instant)>) -> Self {
        Self {
            instances: HashMap::new(),
            is_own: in_zone,
            expected,
        }
    }

    /// Records that an instance is connected; `in_zone` states whether it is in the zone.
    pub fn on_connected(&mut self, instance: &InstanceId, in_zone: bool) {
        let seen = Seen {
            in_zone,
            lost_at: None,
        };
        self.instances.insert(instance.clone(), seen);
    }

    /// Records that the connection to an instance was lost.
    pub fn on_lost(&mut self, now: Instant, instance: &InstanceId) {
        if let Some(seen) = self.instances.get_mut(instance) {
            seen.lost_at = Some(now);
        }
    }

    /// Removes an instance that has stopped.
    pub fn on_stopped(&mut self, instance: &InstanceId) {
        self.instances.remove(instance);
    }

    /// Returns the connected part of the zone's instances, 0 to 1. An instance that the former
    /// holder knew and this one has not seen counts as one of the zone's.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOST_RETENTION;
        let known = |s: &&Seen| s.lost_at.is_none_or(is_recent);
        let seen = self.instances.values().filter(known).count() + 1;
        let expected = self.expected.filter(|(_, at)| is_recent(*at));
        let unseen = expected.map_or(0, |(count, _)| count.saturating_sub(seen));
        let own = || self.instances.values().filter(|s| s.in_zone);
        let self_count = usize::from(self.is_own);
        let total = own().filter(known).count() + self_count + unseen;
        let connected = own().filter(|s| s.lost_at.is_none()).count() + self_count;
        if total == 0 {
            return 1.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let share = connected as f64 / total as f64;
        share
    }
}
