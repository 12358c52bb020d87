//! What a configuration says about routes and services, what the registry says about endpoints,
//! and how an instance chooses between them. No I/O.

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
