//! [`Gossip`]: what nodes tell each other.

use serde::{Deserialize, Serialize};

use caraway_types::{AdapterRef, EndpointId, Incarnation, InstanceId, ZoneId};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Residents of the replicas that the sender holds.
    pub residents: Vec<Residents>,
}

/// What one replica holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residents {
    /// The replica.
    pub endpoint: EndpointId,
    /// The adapter versions that are resident.
    pub adapters: Vec<AdapterRef>,
}
