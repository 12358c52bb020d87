//! Routes and services as the operators configure them, endpoints as the registry lists them, and
//! the choice of an endpoint for a request to a plain service. This crate does no I/O.

mod call_tally;
mod config;
mod directory;
mod endpoint;
mod endpoint_limits;
mod load_balancer;
mod outage;
mod pauses;
mod rate_limiter;
mod request;
mod request_rate;
mod retry_budget;
mod route;
mod solo_limiter;
mod store_era;

pub use call_tally::CallTally;
pub use caraway_types::TokenCount;
pub use config::{EngineConfig, Limits, Model, RoutingConfig, Service};
pub use directory::{Change, Directory, MissingPolicy};
pub use endpoint::{Endpoint, EndpointState, LoadedModel, Resident};
pub use endpoint_limits::{EndpointLimits, KnownLimit, LimitChange, LimitStatement};
pub use load_balancer::{CallOutcome, LoadBalancer};
pub use outage::{OutageDetector, OutageLimits};
pub use pauses::{PauseLimits, Pauses};
pub use rate_limiter::RateLimiter;
pub use request::{ModelRef, PromptSegment, RequestHead};
pub use request_rate::RequestRate;
pub use retry_budget::{RetryBudget, RetryLimits};
pub use route::{Idempotency, Route, Target};
pub use solo_limiter::SoloLimiter;
pub use store_era::EraTracker;
