//! Error budgets of service-level objectives, and the rates at which they burn.
//!
//! - [`Sample`] is one completed request; [`meets_objective`] decides whether it was good.
//! - [`InstanceCounts`] counts samples by objective in bounded memory, in a [`Series`] for each.
//! - [`BurnRecord`] is one closed bucket, stored in the platform's log; [`Snapshot`] is a copy of a
//!   copy of all counts, sent by a live instance.
//! - [`Report`] merges snapshots and records into burn rates, alarms and remaining budgets.
//!
//! This crate does no I/O and reads no clock; callers pass the time in.

mod alarm;
mod counts;
mod instance_counts;
mod record;
mod report;
mod sample;
mod series;
mod text;

pub use alarm::{ALARM_RULES, Alarm, AlarmRule};
pub use counts::Counts;
pub use instance_counts::{InstanceCounts, Snapshot};
pub use record::BurnRecord;
pub use report::{Note, Report, Row, Sources, WindowRate};
pub use sample::{Sample, meets_objective};
pub use series::{LOG_BUCKET_SECONDS, Series};
pub use text::render_text;

/// Time in seconds since the Unix epoch.
pub type UnixSeconds = u64;
/// Name of an objective, which is the key of its configuration record.
pub type ObjectiveName = std::sync::Arc<str>;
