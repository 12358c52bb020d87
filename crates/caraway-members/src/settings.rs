//! Settings and the outside facts that a [`Members`](crate::Members) starts from.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Incarnation, InstanceId, Millis, ZoneId};

/// Heartbeats to a peer within a lease.
const HEARTBEATS_PER_LEASE: u32 = 3;

/// The instance itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its id.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Periods of liveness and leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberSettings {
    /// Shortest time between two heartbeats to one peer of the zone.
    pub beat: Millis,
    /// Most heartbeats that an instance sends in a second; in a large zone the time between two
    /// to one peer grows, and the lease with it.
    pub beat_rate: u32,
    /// Shortest lease of a held replica.
    pub lease: Millis,
    /// Time that a peer waits beyond another's lease; longer than an order takes to its engine.
    pub guard: Millis,
    /// How long the engine must have reported a load of an earlier holder as idle before it is
    /// evicted; the lag of the platform's list stays below half of it.
    pub idle: Millis,
    /// Time between two heartbeats to other zones, each to one instance there.
    pub remote_beat: Millis,
    /// Silence after which a peer of another zone counts as down.
    pub remote_timeout: Millis,
    /// Peers, besides two neighbours, that are told at once of a member that starts to leave.
    pub fanout: u32,
    /// How long heartbeats repeat that a member leaves or ended.
    pub mark_spread: Millis,
}

impl MemberSettings {
    /// Tells whether an order may still be sent that was decided at `decided`. Peers give orders
    /// after the lease and the guard; a process that stands still between its decision and the
    /// sending wakes up beyond both.
    #[must_use]
    pub fn may_send(&self, decided: Instant, now: Instant) -> bool {
        now.saturating_duration_since(decided) < self.guard.get()
    }
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            beat: Millis::new(1_000),
            beat_rate: 4,
            lease: Millis::new(4_000),
            guard: Millis::new(1_000),
            idle: Millis::new(10_000),
            remote_beat: Millis::new(1_000),
            remote_timeout: Millis::new(15_000),
            fanout: 4,
            mark_spread: Millis::new(60_000),
        }
    }
}

/// An endpoint as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Its id.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fencing: bool,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedMember {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The list's number of its life, which need not be the one that the instance itself uses.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is an endpoint; otherwise it is an entry instance.
    pub endpoint: bool,
}

impl MemberSettings {
    /// Returns the time between two heartbeats to one of `peers` peers of the zone.
    pub(crate) fn interval(&self, peers: usize) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let paced = Duration::from_secs(1) * peers / self.beat_rate.max(1);
        paced.max(self.beat.get())
    }

    /// Returns the lease in a zone of `peers` peers: several heartbeats may be lost in it.
    pub(crate) fn lease_for(&self, peers: usize) -> Duration {
        (self.interval(peers) * HEARTBEATS_PER_LEASE).max(self.lease.get())
    }
}
