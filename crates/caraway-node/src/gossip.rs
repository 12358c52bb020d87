//! [`Gossip`]: what nodes tell each other.

use caraway_members::Heartbeat;
use caraway_routing::Delta;
use caraway_slots::{Evidence, PermitGrant, PermitRequest, PermitReturn};
use caraway_types::{InstanceId, Offset};
use serde::{Deserialize, Serialize};

/// A message from one node to another; every part may be absent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Gossip {
    /// The sender.
    pub from: InstanceId,
    /// The sender's heartbeat: its state and holdings.
    pub heartbeat: Option<Box<Heartbeat>>,
    /// Changes of what is resident on the replicas that the sender holds.
    pub delta: Option<Delta>,
    /// Asks for a delta that lists everything.
    pub resend: bool,
    /// What loads on the sender's replicas would cost.
    pub room: Option<Room>,
    /// How urgently the sender wants permits to load.
    pub want: Option<PermitRequest>,
    /// Permits that the sender lends.
    pub grants: Vec<PermitGrant>,
    /// Permits that the sender gives back.
    pub returns: Vec<PermitReturn>,
    /// Configuration that is in force at the sender.
    pub config: Option<ConfigMark>,
}

/// What further loads on an instance's replicas would cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Room {
    /// Requests per second of the loads that would be evicted, the cheapest first; zero for a
    /// free slot.
    pub costs: Vec<f32>,
    /// Requests that run on those replicas.
    pub running: u32,
    /// Whether popularity seems to shift there.
    pub evidence: Evidence,
}

/// Identifies a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigMark {
    /// Offset of the next record.
    pub next: Offset,
    /// Digest of the state.
    pub digest: u64,
}

impl Default for Gossip {
    fn default() -> Self {
        Self {
            from: "".into(),
            heartbeat: None,
            delta: None,
            resend: false,
            room: None,
            want: None,
            grants: Vec::new(),
            returns: Vec::new(),
            config: None,
        }
    }
}
