//! [`Gossip`]: the message that nodes send to each other.

use caraway_members::Heartbeat;
use caraway_routing::Delta;
use caraway_slots::{Evidence, PermitGrant, PermitRequest, PermitReturn};
use caraway_types::{InstanceId, Offset};
use serde::{Deserialize, Serialize};

/// A message from one node to another; every field but the sender may be empty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Gossip {
    /// The sender.
    pub from: InstanceId,
    /// Heartbeat with the sender's state and the replicas that it holds.
    pub heartbeat: Option<Box<Heartbeat>>,
    /// Changes of residency on the replicas that the sender holds.
    pub delta: Option<Delta>,
    /// Whether the receiver must send its next delta as a full listing, because an earlier delta
    /// was lost.
    pub resend: bool,
    /// Cost of further loads on the sender's replicas.
    #[serde(rename = "room")]
    pub capacity: Option<CapacityReport>,
    /// Request for permits to load, with the urgency of each load.
    #[serde(rename = "want")]
    pub permit_request: Option<PermitRequest>,
    /// Permits that the sender lends.
    pub grants: Vec<PermitGrant>,
    /// Permits that the sender borrowed and returns.
    pub returns: Vec<PermitReturn>,
    /// Version of the configuration that the sender uses.
    pub config: Option<ConfigVersion>,
}

/// Cost of further loads on the replicas that an instance holds, and their current use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CapacityReport {
    /// Cost of each further load, cheapest first: zero for a free slot, otherwise the request rate
    /// of the adapter version that must be evicted, per second and divided by its copies.
    pub costs: Vec<f32>,
    /// Number of requests that run on those replicas.
    pub running: u32,
    /// Expected and observed request rates at the sender, from which peers detect that popularity
    /// has shifted.
    pub evidence: Evidence,
}

/// Identifies the state of the configuration after a prefix of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Offset of the first record that is not included.
    pub next: Offset,
    /// Digest of the state; instances with the same `next` have the same digest.
    pub digest: u64,
}

impl Default for Gossip {
    fn default() -> Self {
        Self {
            from: "".into(),
            heartbeat: None,
            delta: None,
            resend: false,
            capacity: None,
            permit_request: None,
            grants: Vec::new(),
            returns: Vec::new(),
            config: None,
        }
    }
}
