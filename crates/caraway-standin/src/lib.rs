//! Small stand-ins for the platform and the endpoints, each an HTTP server in its own thread,
//! with faults to inject and ledgers of what they did.
//!
//! - [`Engine`]: a model engine with adapter slots and continuous batches.
//! - [`LogService`]: the platform's append-only log.
//! - [`InstanceList`]: the platform's lagging list.
//! - [`Service`]: a plain service with calls that may not be repeated.
//! - [`Relays`]: TCP relays that can be cut, made one-way, delayed or silent.
//! - [`Fleet`]: all of them from one settings file, with a control port.
//! - [`Store`]: the weight store that the engines load from.
//! - [`token`]: the text that an engine generates, so that a caller can check an answer.

mod disconnect;
mod engine;
mod fleet;
mod instance_list;
mod log_service;
mod relay;
mod server_thread;
mod service;
mod store;

pub use engine::{
    Engine, EngineFaults, EngineLedger, EngineSettings, OrderKind, OrderRecord, RunEnd, RunRecord,
    Violation, token,
};
pub use fleet::{
    Components, FaultRequest, Fleet, FleetSettings, ListChange, ListedEngine, ListedService,
    RelaySettings,
};
pub use instance_list::{InstanceList, ListFaults, ListSettings};
pub use log_service::{LogFaults, LogService, LogSettings};
pub use relay::{Relay, RelayFaults, RelayMode, Relays};
pub use service::{CallRecord, Service, ServiceAnswer, ServiceFaults, ServiceSettings};
pub use store::{Store, StoreDown, StoreFaults, StoreLedger, StoreSettings};
