//! [`NodeSettings`]: the static configuration of a node.

use caraway_members::MemberSettings;
use caraway_slots::StoreLimits;
use caraway_types::{EndpointId, Incarnation, InstanceId, Millis, ZoneId};
use serde::{Deserialize, Serialize};

/// Static configuration of a node, the same for its whole life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Number that increases with each restart of this instance.
    pub incarnation: Incarnation,
    /// The endpoints of all availability zones.
    pub endpoints: Vec<EndpointSettings>,
    /// Limits of the weight store, for all instances together.
    pub store: StoreLimits,
    /// Timing of heartbeats, leases and handover.
    pub members: MemberSettings,
    /// Interval at which residency changes are sent to peers; heartbeats have their own.
    pub gossip_interval: Millis,
}

/// An endpoint: a model engine or a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointSettings {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Availability zone of the endpoint.
    pub zone: ZoneId,
    /// Number of adapter slots, until the engine reports another.
    pub slots: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Whether the engine refuses orders with a smaller fencing token than the largest it has seen.
    pub checks_fencing: bool,
    /// Kind of the endpoint; the node routes only to engines.
    pub kind: EndpointKind,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine with adapter slots.
    #[default]
    Engine,
    /// A service without adapters.
    Service,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            id: "entry-1".into(),
            zone: "zone-1".into(),
            incarnation: 1,
            endpoints: Vec::new(),
            store: StoreLimits::default(),
            members: MemberSettings::default(),
            gossip_interval: Millis::new(200),
        }
    }
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            id: "engine-1".into(),
            zone: "zone-1".into(),
            slots: 4,
            max_batch: 8,
            checks_fencing: false,
            kind: EndpointKind::Engine,
        }
    }
}
