//! The daemon on each instance in front of a deployment that has its own platform: it takes
//! callers' requests, places adapters on engine endpoints and passes answers on.
//!
//! One thread does everything: an instance has a part of one core, and every change of threads on
//! a request's path would cost it a wake-up.

mod apply;
mod claim;
mod claim_schedule;
mod event;
mod executor;
mod forwarding;
mod frame;
mod front;
mod generate;
mod heed;
mod held_zone;
mod log;
mod metrics;
mod placement;
mod plain;
mod record_cache;
mod relay;
mod request;
mod retry;
mod run;
mod serve;
mod session;
mod session_server;
mod shared;
mod sse;
mod succession;
mod topics;

pub use caraway_metrics::MetricInfo;
pub use claim_schedule::ClaimSchedule;
pub use event::Event;
pub use forwarding::ForwardingStatus;
pub use log::{LogLimits, LogQueue, json_logger};
pub use metrics::METRICS;
pub use record_cache::{MissedRecords, RecordCache};
pub use retry::RetryPause;
pub use run::{Options, run};
pub use sse::EventCutter;
pub use succession::{HolderState, claim_rank, should_hand_over, weakness};
