//! [`Heartbeat`]: the message in which an instance reports its state to a peer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, FencingToken, Incarnation, InstanceId, Millis, ZoneId};

/// Reports that an instance is live, what it holds, and which heartbeats it has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: InstanceId,
    /// The sender's availability zone.
    pub zone: ZoneId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number, which increases with each heartbeat of the incarnation.
    pub seq: u64,
    /// How long the sender relies on an acknowledgement of this heartbeat, counted from when it
    /// sent the heartbeat.
    pub lease: Millis,
    /// Whether the platform's list has named this incarnation.
    pub listed: bool,
    /// The sender's tag, which is part of its fencing tokens.
    pub tag: u32,
    /// The newest heartbeats received from peers in the sender's zone.
    pub acks: Vec<Ack>,
    /// How long ago the sender received from each instance of its zone, for use in other zones.
    #[serde(rename = "vouched")]
    pub contacts: Vec<Contact>,
    /// The replicas that the sender holds or drains.
    pub held: Vec<Holding>,
    /// Replicas that the receiver claims and that another instance uses as well, according to
    /// that instance's heartbeats to the sender.
    pub objections: Vec<EndpointId>,
    /// Recent reports that a member started to leave or has ended.
    #[serde(rename = "marks")]
    pub departures: Vec<Departure>,
}

/// Acknowledges a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// Tag of the instance that sent the heartbeat.
    pub tag: u32,
    /// Sequence number of the heartbeat.
    pub seq: u64,
}

/// How long ago the sender received a heartbeat of an instance of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Contact {
    /// Tag of the instance.
    pub tag: u32,
    /// Time since its last heartbeat, rounded up.
    pub age: Millis,
}

/// A replica that an instance holds or drains.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The replica.
    pub endpoint: EndpointId,
    /// The holder's fencing token, which its loads carry.
    pub fence: FencingToken,
    /// Smallest token whose loads the holder uses. The next holder may take over the same floor.
    pub floor: FencingToken,
    /// How far the holder has given up the replica.
    pub phase: Phase,
}

/// How far a holder has given up a replica; it only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It starts requests and sends orders.
    Holding,
    /// It starts nothing new, but orders may be in flight.
    Stopping,
    /// All its orders were answered; only requests may be in flight. The next holder may use the
    /// loads, but not evict them.
    Draining,
}

/// Reports that one incarnation of an instance or endpoint accepts no new work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// The incarnation that departs; later ones are not affected.
    pub incarnation: Incarnation,
    /// How far the departure has advanced.
    pub stage: Stage,
}

/// Stage of a departure. It only advances, except that a drop can be refuted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It finishes its work and accepts no new work.
    Leaving,
    /// The platform's list no longer names it and it is unreachable; contact with it refutes this.
    Dropped,
    /// It reported itself that it holds nothing and has no work in flight.
    Ended,
}
