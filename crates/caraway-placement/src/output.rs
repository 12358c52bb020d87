//! [`Output`]: actions that a placer leaves to its caller.

use std::time::Duration;

use caraway_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::{Order, PlacementId};

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// No endpoint of the service accepts work.
    #[default]
    NoEndpoint,
    /// It can't be served before its deadline.
    Deadline,
    /// The rate limits of all endpoints of the service leave no room for it before its goal.
    Limited,
    /// The requests before it take all endpoints of the service until after its deadline.
    Overloaded,
}

/// An action that the placer's caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Grants the request: it may run at the endpoint.
    Grant {
        /// The request that is granted.
        request: PlacementId,
        /// The endpoint that runs it.
        endpoint: EndpointId,
        /// Whether the request had to wait for a load or a slot.
        has_waited: bool,
    },
    /// Refuses the request, which has not run.
    Refuse {
        /// The request that is refused.
        request: PlacementId,
        /// Why it is refused.
        reason: RefuseReason,
        /// Delay after which its caller may retry.
        retry_after: Duration,
    },
    /// Sends the order to its endpoint.
    Order(Order),
    /// Fetches the endpoint's report.
    FetchReport(EndpointId),
    /// Another holder has sent this endpoint a later fencing token; the placer must stop.
    Superseded(EndpointId),
}
