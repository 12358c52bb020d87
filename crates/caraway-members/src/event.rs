//! [`MemberEvent`]: what changed for this instance.

use serde::{Deserialize, Serialize};

use caraway_types::{EndpointId, Fence, InstanceId};

/// A change that the caller acts upon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberEvent {
    /// This instance holds the replica from now on.
    Acquired {
        /// The replica.
        endpoint: EndpointId,
        /// The fencing token of every order to it.
        fence: Fence,
        /// Whether loads of earlier holders may be used; [`Self::Adopt`] follows later if not.
        adopt: bool,
    },
    /// Loads of earlier holders on a held replica may be used from now on.
    Adopt {
        /// The replica.
        endpoint: EndpointId,
    },
    /// Loads of earlier holders on a held replica may be evicted from now on.
    Cleared {
        /// The replica.
        endpoint: EndpointId,
    },
    /// This instance no longer holds the replica: it starts no request and gives no order there.
    /// Requests in flight go on; the caller reports their end with
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
