//! Test doubles (stand-ins) for the platform's services and for the endpoints. Each server runs in
//! its own thread, faults can be injected into it, and a ledger records what it did.
//!
//! - [`Engine`]: a model engine with adapter slots and continuous batching.
//! - [`LogService`]: the platform's append-only log.
//! - [`InstanceList`]: the platform's instance list, which answers with a lag.
//! - [`Service`]: a plain HTTP service whose calls are not idempotent.
//! - [`Relays`]: TCP relays that can be blocked, made one-way, delayed, silenced or closed.
//! - [`Store`]: the weight store from which the engines load adapters.
//! - [`Fleet`]: all of these, started from one settings file, with a control port.
//! - [`token`]: the token that an engine generates, so that a caller can verify an answer.

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
