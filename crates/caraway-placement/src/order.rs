//! Orders to endpoints, their ends, and endpoints' reports.

use std::sync::Arc;

use caraway_routes::ModelRef;
use caraway_types::EndpointId;

/// Numbers the orders of a placer.
pub type OrderNumber = u64;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads the adapter's newest version, or replaces an older one; without an adapter, loads the
    /// model's weights.
    Load,
    /// Unloads the adapter.
    Unload,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its number, which its end carries.
    pub number: OrderNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What to do.
    pub action: Action,
    /// With which adapter.
    pub model: ModelRef,
    /// The version to load; `None` for the newest that the endpoint knows of. A question about a load
    /// names the version of the load: otherwise it would start another one where a newer version
    /// came meanwhile.
    pub version: Option<u64>,
    /// Orders that the endpoint has accepted before; it refuses this one when it has accepted
    /// another since.
    pub expect: u64,
    /// Whether it repeats an accepted load only to learn whether it is complete.
    pub is_poll: bool,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds.
    Holds,
    /// Another order is in progress, or the endpoint has accepted another since.
    Conflict,
    /// Another holder has given a later order.
    Fenced,
    /// The endpoint is another one.
    Elsewhere,
    /// The endpoint does not know the order.
    Rejected,
    /// No answer came; it may be carried out later.
    Unanswered,
    /// It was not sent.
    NotSent,
}

/// What an endpoint says about itself, some hundred ms late.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Orders that it has accepted.
    pub orders: u64,
    /// Whether it carries out a load of a model.
    pub busy: bool,
    /// Models that it holds.
    pub models: Vec<Arc<str>>,
    /// Adapters that it holds, with their versions.
    pub held: Vec<(ModelRef, u64)>,
    /// Adapters on their way to it.
    pub incoming: Vec<ModelRef>,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}
