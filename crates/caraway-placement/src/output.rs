//! [`Output`]: what a placer wants done.

use std::time::Duration;

use caraway_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::{AskId, Order};

/// Why a request gets no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// It can't be served before its deadline.
    Deadline,
}

/// What a placer wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Lets the request run at the endpoint.
    Grant {
        /// The request.
        ask: AskId,
        /// Where it runs.
        endpoint: EndpointId,
        /// Whether it waited for a load.
        loaded: bool,
    },
    /// Refuses the request; it has not run.
    Refuse {
        /// The request.
        ask: AskId,
        /// Why.
        reason: RefuseReason,
        /// When the caller may come back.
        after: Duration,
    },
    /// Sends an order.
    Order(Order),
    /// Asks an endpoint for its report.
    Report(EndpointId),
    /// Another holder has given a later order: this placer must stop.
    Deposed(EndpointId),
}
