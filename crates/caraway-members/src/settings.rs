//! [`MemberSettings`], and the members that settings and the platform's list name.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Incarnation, InstanceId, Millis, ZoneId};

/// Heartbeats sent to a peer within one lease, so that a few may be lost.
const HEARTBEATS_PER_LEASE: u32 = 3;

/// Identity of this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Instance id, unique in the whole deployment.
    pub id: InstanceId,
    /// Availability zone, whose replicas it may hold.
    pub zone: ZoneId,
    /// Number of this run of the process; larger than that of every earlier run.
    pub incarnation: Incarnation,
}

/// Timing of heartbeats, leases and evictions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct MemberSettings {
    /// Minimum interval between two heartbeats to one peer of the zone.
    pub beat: Millis,
    /// Maximum number of heartbeats that an instance sends to its zone in a second. In a large
    /// zone it lengthens the interval to each peer, and with it the lease.
    pub beat_rate: u32,
    /// Minimum duration of a lease, within which a holder relies on an acknowledged heartbeat.
    pub lease: Millis,
    /// Time that a peer waits after another's lease has expired; longer than an order takes to
    /// reach its engine.
    pub guard: Millis,
    /// How long the engine must have reported an inherited load as idle before it may be evicted;
    /// must be more than twice the lag of the platform's list.
    pub idle: Millis,
    /// Interval between two heartbeats to other zones; each goes to one instance.
    pub remote_beat: Millis,
    /// Time without direct or indirect contact after which a peer of another zone counts as down,
    /// unless the list names it.
    pub remote_timeout: Millis,
    /// Number of peers, besides two neighbours, that are sent news of a departure immediately.
    pub fanout: u32,
    /// How long heartbeats include a departure after it became known.
    #[serde(rename = "mark_spread")]
    pub departure_spread: Millis,
}

impl MemberSettings {
    /// Returns whether an order that was decided at `decided` may still be sent.
    ///
    /// A process may be paused between its decision and the sending, until the lease and the guard
    /// have passed and a peer may send orders.
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
            departure_spread: Millis::new(60_000),
        }
    }
}

/// An endpoint that the settings name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Endpoint id.
    pub id: EndpointId,
    /// Availability zone; instances of the same zone hold the endpoint.
    pub zone: ZoneId,
    /// Whether it refuses an order whose fencing token is smaller than one it has seen.
    pub checks_fencing: bool,
}

/// An entry of the platform's member list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ListedMember {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Incarnation as the list numbers it, which may differ from the member's own number.
    pub incarnation: Incarnation,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// Whether it is an endpoint; otherwise it is an instance.
    pub endpoint: bool,
}

impl MemberSettings {
    /// Returns the interval between two heartbeats to one peer, in a zone with `peers` peers.
    pub(crate) fn interval(&self, peers: usize) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let paced = Duration::from_secs(1) * peers / self.beat_rate.max(1);
        paced.max(self.beat.get())
    }

    /// Returns the lease in a zone with `peers` peers; it lasts for several heartbeats.
    pub(crate) fn lease_for(&self, peers: usize) -> Duration {
        (self.interval(peers) * HEARTBEATS_PER_LEASE).max(self.lease.get())
    }
}
