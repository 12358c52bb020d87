//! Routes and services as the operators configure them, endpoints as the registry lists them, and
//! the choice of an endpoint for a request to a plain service. This crate does no I/O.

mod budget;
mod call;
mod chooser;
mod directory;
mod endpoint;
mod outage;
mod pauses;
mod route;
mod routing;

pub use budget::{RepeatBudget, RepeatLimits};
pub use call::{CallHead, ModelRef, PromptPart, TokenCount};
pub use chooser::{Chooser, Verdict};
pub use directory::{Change, Directory, Lapse};
pub use endpoint::{Endpoint, EndpointState, HeldModel, Resident};
pub use outage::{Outage, OutageLimits};
pub use pauses::{PauseLimits, Pauses};
pub use route::{Repeat, Route, Target};
pub use routing::{Engine, Limits, Model, Routing, Service};
