//! [`MemberEvent`]: what changed for this instance.

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, FencingToken, InstanceId};

/// A change that the caller acts upon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvent {
    /// This instance holds the replica from now on.
    Acquired {
        /// The replica.
        endpoint: EndpointId,
        /// The fencing token of every order to it.
        fence: FencingToken,
        /// Whether loads of earlier holders may be used, as
        /// [`Members::usable`](crate::Members::usable) says of each; [`Self::Adopt`] may follow
        /// later if not.
        adopt: bool,
    },
    /// Loads of earlier holders on a held replica may be used from now on.
    Adopt {
        /// The replica.
        endpoint: EndpointId,
    },
    /// Loads of earlier holders on a held replica may be evicted from now on, once the engine
    /// has reported them as idle for [`idle`](crate::MemberSettings::idle); [`Members::cleared`](crate::Members::cleared) says
    /// whether that still holds.
    Cleared {
        /// The replica.
        endpoint: EndpointId,
    },
    /// This instance no longer holds the replica: it starts no request and gives no order there.
    /// The caller reports the end of its orders with
    /// [`Members::orders_done`](crate::Members::orders_done) and of its requests with
    /// [`Members::drained`](crate::Members::drained).
    Lost {
        /// The replica.
        endpoint: EndpointId,
    },
    /// A peer is heard.
    PeerUp {
        /// The peer.
        instance: InstanceId,
    },
    /// A peer is no longer heard, or is gone.
    PeerDown {
        /// The peer.
        instance: InstanceId,
    },
}
