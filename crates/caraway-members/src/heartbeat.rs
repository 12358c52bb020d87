//! [`Heartbeat`]: what an instance tells its peers about itself.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Fence, Incarnation, InstanceId, Millis, ZoneId};

/// Says that an instance lives, what it holds and what it has heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat of the incarnation.
    pub seq: u64,
    /// How long the sender relies on an acknowledgement, counted from when it sent what is
    /// acknowledged.
    pub lease: Millis,
    /// Whether the platform's list has named this incarnation.
    pub listed: bool,
    /// Distinguishes the sender's fencing tokens.
    pub tag: u32,
    /// The newest heartbeats that the sender has heard, of peers in its zone.
    pub acks: Vec<Ack>,
    /// The replicas that the sender holds or drains.
    pub held: Vec<Holding>,
    /// Members that are leaving or gone.
    pub marks: Vec<Mark>,
}

/// Acknowledges a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Whose heartbeat was heard.
    pub id: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its number.
    pub seq: u64,
}

/// A replica that an instance holds or drains.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The replica.
    pub endpoint: EndpointId,
    /// The holder's fencing token, which its loads carry.
    pub fence: Fence,
    /// Whether the holder only finishes what is in flight; the next holder may use the loads of
    /// this token and every earlier one.
    pub draining: bool,
}

/// Says that one incarnation of an instance or endpoint is leaving or gone; never withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Whether the platform's list has dropped it; otherwise it is leaving.
    pub gone: bool,
}
