//! [`Heartbeat`]: what an instance tells its peers about itself.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Fence, Incarnation, InstanceId, Millis, ZoneId};

/// Says that an instance lives, what it holds and what it has heard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    #[serde(rename = "vouched")]
    /// What the sender knows of its zone, told to other zones.
    pub contacts: Vec<Contact>,
    /// The replicas that the sender holds or drains.
    pub held: Vec<Holding>,
    /// Replicas that the receiver claims while the sender hears another instance claim them too.
    pub objections: Vec<EndpointId>,
    #[serde(rename = "marks")]
    /// Members that started to leave or ended a short while ago.
    pub departures: Vec<Departure>,
}

/// Acknowledges a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// Tag of the instance whose heartbeat was heard.
    pub tag: u32,
    /// Its number.
    pub seq: u64,
}

/// Says how long ago an instance of the sender's zone was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Contact {
    /// Tag of the instance.
    pub tag: u32,
    /// Time since it was heard.
    pub age: Millis,
}

/// A replica that an instance holds or drains.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The replica.
    pub endpoint: EndpointId,
    /// The holder's fencing token, which its loads carry.
    pub fence: Fence,
    /// Smallest token whose loads the holder uses; the next holder may go on from there.
    pub floor: Fence,
    /// How far the holder has given it up.
    pub phase: Phase,
}

/// How far a holder has given up a replica; it only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It starts requests and gives orders.
    Holding,
    /// It starts nothing, but orders may be under way.
    Stopping,
    /// Its orders were all answered; only requests may be in flight. The next holder may use the
    /// loads, but not evict them.
    Draining,
}

/// Says that one incarnation of an instance or endpoint takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departure {
    /// Instance or endpoint id.
    pub id: Arc<str>,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// How far it is.
    pub stage: Stage,
}

/// Stage of an incarnation's end; it only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It finishes its work and takes none.
    Leaving,
    /// The platform's list no longer names it and it was not heard; hearing it refutes this.
    Dropped,
    /// It said itself that it holds nothing and has no work in flight.
    Ended,
}
