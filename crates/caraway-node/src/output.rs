//! [`Output`]: everything that a node can ask its shell to do.

use caraway_types::{
    AdapterRef, AttemptId, EndpointId, FencingToken, InstanceId, LoadName, Refusal, Ticket,
};

use crate::Gossip;

/// An action of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Starts an attempt on an engine; the load is pinned until the attempt's
    /// [`Finished`](crate::Input::Finished).
    Start {
        /// The request.
        ticket: Ticket,
        /// Unique on this instance.
        attempt: AttemptId,
        /// The engine.
        endpoint: EndpointId,
        /// The load to name.
        load: LoadName,
    },
    /// Passes a request on to a peer, which answers it.
    Forward {
        /// The request.
        ticket: Ticket,
        /// The peer.
        peer: InstanceId,
    },
    /// Gives the request its final answer.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The answer.
        refusal: Refusal,
    },
    /// Cancels a running attempt on its engine.
    Stop {
        /// The request.
        ticket: Ticket,
    },
    /// Orders a load.
    Load {
        /// The engine.
        endpoint: EndpointId,
        /// The name to load under.
        load: LoadName,
        /// The adapter version.
        adapter: AdapterRef,
        /// The holder's fencing token.
        fence: FencingToken,
    },
    /// Sends a message to a peer.
    Gossip {
        /// The peer.
        peer: InstanceId,
        /// The message.
        gossip: Gossip,
    },
    /// Orders an unload.
    Unload {
        /// The engine.
        endpoint: EndpointId,
        /// The load.
        load: LoadName,
        /// The holder's fencing token.
        fence: FencingToken,
    },
}
