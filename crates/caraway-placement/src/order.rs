//! Orders to endpoints, their outcomes, and the reports of endpoints.

use std::sync::Arc;

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

/// Sequence number of an order, unique within its placer.
pub type OrderNumber = u64;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads a version of the adapter, replacing an older one; without an adapter, loads the
    /// model's weights.
    Load,
    /// Unloads the adapter.
    Unload,
}

/// A command to load or unload, sent to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number by which its outcome is reported.
    pub number: OrderNumber,
    /// The endpoint that it is sent to.
    pub endpoint: EndpointId,
    /// What the endpoint has to do.
    pub action: Action,
    /// The model, and the adapter unless the order concerns the model's weights.
    pub model: ModelRef,
    /// The version to load; `None` for the newest that the endpoint knows. A poll names the version
    /// that is being loaded; otherwise it would start another load if a newer version has come out
    /// since.
    pub version: Option<u64>,
    /// Number of orders that the endpoint has accepted so far; the endpoint refuses this order if
    /// it has accepted another one since.
    pub expected_orders: u64,
    /// Whether it repeats an accepted load only to find out whether the load is complete.
    pub is_poll: bool,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint is carrying it out.
    Accepted,
    /// The endpoint is in the requested state.
    Complete,
    /// Another order is in progress, or the endpoint has accepted another one since.
    Conflict,
    /// Another holder has sent an order with a later fencing token.
    Fenced,
    /// A different endpoint answered at this address.
    WrongEndpoint,
    /// The endpoint rejected the order as unknown or invalid.
    Rejected,
    /// No response arrived; the endpoint may still carry it out later.
    Unanswered,
    /// The order was not sent.
    NotSent,
}

/// State that an endpoint reports, which lags behind by some hundred ms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of orders that it has accepted.
    pub accepted_orders: u64,
    /// Whether it is loading a model's weights.
    pub loading_weights: bool,
    /// Models whose weights it holds.
    pub models: Vec<Arc<str>>,
    /// Adapters that it holds, with their versions.
    pub adapters: Vec<(ModelRef, u64)>,
    /// Adapters that it is loading.
    pub incoming: Vec<ModelRef>,
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests in its own queue.
    pub waiting: u32,
}
