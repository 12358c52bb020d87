//! The daemon of an entry instance, as a library: [`Entry`] runs it on threads of this process.
//!
//! [`caraway_node::Node`] and other components without I/O make the decisions. This crate turns
//! network events into their inputs and carries out their outputs. Each task has a thread: `http`
//! (callers, peers and operators), `control` (decisions), `orders` (loads and unloads on engines),
//! `peers` (gossip and the instance list), `log` (configuration), `calls` (keyed calls, which must
//! not run twice) and `burn` (samples for service-level objectives). The threads send messages to
//! each other through bounded ring buffers.

mod burn;
mod calls_log;
mod config_events;
mod config_follower;
mod control;
mod entry;
mod events;
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
