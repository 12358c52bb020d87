//! [`NodeSettings`]: what a node knows before anything happens.

use caraway_members::MemberSettings;
use caraway_slots::StoreLimits;
use caraway_types::{EndpointId, Incarnation, InstanceId, Millis, ZoneId};
use serde::{Deserialize, Serialize};

/// What a node knows before anything happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSettings {
    /// This instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Rises with each restart of this instance.
    pub incarnation: Incarnation,
    /// The endpoints of all availability zones.
    pub endpoints: Vec<EndpointSettings>,
    /// What the weight store allows.
    pub store: StoreLimits,
    /// Periods of liveness and leases.
    pub members: MemberSettings,
    /// Time between two gossips to a peer.
    pub gossip_interval: Millis,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointSettings {
    /// The endpoint.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Adapter slots.
    pub slots: u32,
    /// Most requests in a batch.
    pub max_batch: u32,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// What it is.
    pub kind: EndpointKind,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine with adapter slots.
    #[default]
    Engine,
    /// A plain service.
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
