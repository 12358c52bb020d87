//! The daemon on each entry instance, as a library: [`Entry`] runs it on threads of this process.
//!
//! The decisions are made by [`caraway_node::Node`] and the other parts without I/O; this crate
//! turns network events into their inputs and their outputs into calls. Each duty has a thread:
//! `http` (callers and peers), `control` (decisions), `orders` (engines), `peers` (gossip and
//! list), `log` (configuration), `calls` (calls that may not be
//! repeated) and `burn` (service-level counts). Bounded rings join them.

mod burn;
mod calls_log;
mod control;
mod entry;
mod events;
mod follow;
mod follow_events;
mod guard;
mod http;
mod metrics;
mod orders;
mod peers;
mod settings;
mod shared;
mod threads;

pub use caraway_metrics::MetricInfo;
pub use entry::Entry;
pub use events::{Event, json_logger};
pub use metrics::METRICS;
pub use settings::{
    EndpointKind, EndpointSettings, LimitSettings, PeerSettings, Settings, TimeSettings,
};
