//! [`Output`]: the actions that a node requests from its caller.

use caraway_types::{
    AdapterRef, AttemptId, EndpointId, FencingToken, InstanceId, LoadName, Refusal, Ticket,
};

use crate::Gossip;

/// An action that the caller of [`Node::handle`](crate::Node::handle) must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Start an attempt on an engine. The load is pinned until the caller reports the end by
    /// [`Input::Finished`](crate::Input::Finished).
    Start {
        /// The request.
        ticket: Ticket,
        /// Number of the attempt, unique on this instance.
        attempt: AttemptId,
        /// The engine.
        endpoint: EndpointId,
        /// Name of the load that must serve the attempt.
        load: LoadName,
    },
    /// Forward a request to a peer, which answers it.
    Forward {
        /// The request.
        ticket: Ticket,
        /// The peer.
        peer: InstanceId,
    },
    /// Answer a request with a refusal; the node has removed it.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The refusal to send to the caller.
        refusal: Refusal,
    },
    /// Cancel the running attempt, or the forwarded request, whose caller has disconnected.
    Cancel {
        /// The request.
        ticket: Ticket,
    },
    /// Order a load from an engine.
    Load {
        /// The engine.
        endpoint: EndpointId,
        /// Name under which the engine must serve the load.
        load: LoadName,
        /// The adapter version to load.
        adapter: AdapterRef,
        /// The holder's fencing token.
        fence: FencingToken,
    },
    /// Send a message to a peer.
    Gossip {
        /// The peer.
        peer: InstanceId,
        /// The message.
        gossip: Gossip,
    },
    /// Order an unload from an engine.
    Unload {
        /// The engine.
        endpoint: EndpointId,
        /// Name of the load.
        load: LoadName,
        /// The holder's fencing token.
        fence: FencingToken,
    },
}
