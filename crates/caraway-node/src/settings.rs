//! [`NodeSettings`]: what a node knows before anything happens.

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Incarnation, InstanceId, Millis, ZoneId};

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
    /// Time between two gossips to a peer.
    pub gossip_interval: Millis,
    /// A peer is down after this time without gossip.
    pub peer_timeout: Millis,
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
            gossip_interval: Millis::new(200),
            peer_timeout: Millis::new(1000),
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
