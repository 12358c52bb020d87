//! Settings and the outside facts that a [`Members`](crate::Members) starts from.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Incarnation, InstanceId, Millis, ZoneId};

/// The instance itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Me {
    /// Its id.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Periods of liveness and leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Time between two heartbeats to an instance of another zone.
    pub remote_beat: Millis,
    /// Silence after which a peer of another zone counts as down.
    pub remote_timeout: Millis,
    /// Peers that are told at once of a member that starts to leave.
    pub fanout: u32,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            beat: Millis::new(1_000),
            beat_rate: 8,
            lease: Millis::new(4_000),
            guard: Millis::new(1_000),
            remote_beat: Millis::new(1_000),
            remote_timeout: Millis::new(10_000),
            fanout: 4,
        }
    }
}

/// An endpoint as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Its id.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fencing: bool,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMember {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is an endpoint; otherwise it is an entry instance.
    pub endpoint: bool,
}
