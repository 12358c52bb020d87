//! The daemon that runs on each instance of a deployment with its own platform: it receives
//! callers' requests, places adapters on engine endpoints and relays the answers.
//!
//! All tasks run on one thread: an instance has a fraction of one core, and each switch of threads
//! on a request's path would cost a wake-up. Only log lines are written by a thread of their own.

mod apply;
mod call_results;
mod catch_up;
mod claim;
mod claim_schedule;
mod crash_records;
mod crash_watch;
mod digest;
mod endpoint_limits;
mod endpoint_signals;
mod event;
mod executor;
mod fleet_size;
mod forwarding;
mod frame;
mod generate;
mod hand_over;
mod held_zone;
mod load_shedder;
mod log;
mod message;
mod metrics;
mod monitoring;
mod origin_lookup;
mod placement;
mod plain;
mod quota_frame;
mod quota_view;
mod quotas;
mod reach;
mod record_cache;
mod relay;
mod request;
mod requester;
mod run;
mod serve;
mod session;
mod session_server;
mod share_limiter;
mod shared;
mod sse;
mod store_backoff;
mod stream_origins;
mod succession;
mod topics;
mod turns;
mod version_histories;
mod zone_quotas;

pub use caraway_metrics::MetricInfo;
pub use claim_schedule::ClaimSchedule;
pub use digest::{Caller, request_digest};
pub use event::Event;
pub use fleet_size::FleetSize;
pub use forwarding::ForwardingStatus;
pub use load_shedder::LoadShedder;
pub use log::{LogLimits, LogQueue, json_logger};
pub use message::{DecodedMessage, MessageKind};
pub use metrics::METRICS;
pub use record_cache::{MissedRecords, RecordCache};
pub use run::{Options, run};
pub use sse::EventSplitter;
pub use store_backoff::StoreBackoff;
pub use succession::{HolderState, claim_rank, should_hand_over, weakness};
pub use turns::HolderTurns;
