//! The daemon that runs on each instance of a deployment with its own platform: it receives
//! callers' requests, places adapters on engine endpoints and relays the answers.
//!
//! All tasks run on one thread: an instance has a fraction of one core, and each switch of threads
//! on a request's path would cost a wake-up. Only log lines are written by a thread of their own.

mod apply;
mod claim;
mod claims;
mod desk;
mod endpoint_signals;
mod event;
mod executor;
mod follow;
mod frame;
mod generate;
mod kept;
mod log;
mod metrics;
mod monitoring;
mod passed_on;
mod peer;
mod place;
mod plain;
mod relay;
mod request;
mod run;
mod serve;
mod session;
mod shared;
mod sse;
mod store_backoff;
mod succession;

pub use caraway_metrics::MetricInfo;
pub use claims::Claims;
pub use event::Event;
pub use kept::{Kept, Missed};
pub use log::{LogLimits, LogQueue, json_logger};
pub use metrics::METRICS;
pub use passed_on::PassedOn;
pub use run::{Options, run};
pub use sse::EventSplitter;
pub use store_backoff::StoreBackoff;
pub use succession::{HolderState, claim_place, is_better_holder, weakness};
