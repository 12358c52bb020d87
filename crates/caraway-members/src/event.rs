//! [`MemberEvent`]: changes that [`Members::tick`](crate::Members::tick) reports to its caller.

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, FencingToken, InstanceId};

/// A change of holdings or peers that the caller acts on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvent {
    /// This instance now holds the replica.
    Acquired {
        /// The replica.
        endpoint: EndpointId,
        /// The fencing token to send with every order to it.
        fence: FencingToken,
        /// Whether inherited loads may already be used, as far as
        /// [`Members::usable`](crate::Members::usable) allows each; otherwise [`Self::Adopt`] may
        /// follow later.
        adopt: bool,
    },
    /// Inherited loads on a held replica may now be used.
    Adopt {
        /// The replica.
        endpoint: EndpointId,
    },
    /// Inherited loads on a held replica may now be evicted, each once the engine has reported it
    /// as idle for [`idle`](crate::MemberSettings::idle). This can be withdrawn:
    /// [`Members::may_evict_inherited`](crate::Members::may_evict_inherited) returns whether it
    /// still applies.
    #[serde(rename = "cleared")]
    EvictionAllowed {
        /// The replica.
        endpoint: EndpointId,
    },
    /// This instance no longer holds the replica and must start no request and send no order
    /// there. The caller reports when its orders are finished with
    /// [`Members::on_orders_done`](crate::Members::on_orders_done) and when its requests are with
    /// [`Members::on_drained`](crate::Members::on_drained).
    Lost {
        /// The replica.
        endpoint: EndpointId,
    },
    /// A peer has become reachable.
    PeerUp {
        /// The peer.
        instance: InstanceId,
    },
    /// A peer is no longer reachable, or has gone.
    PeerDown {
        /// The peer.
        instance: InstanceId,
    },
}
