//! Service-level objectives and how fast their error budgets burn.
//!
//! - [`Sample`] is one request as it ended; [`judge`] tells whether it was good for an objective.
//! - [`Ledger`] counts samples by objective in bounded memory, in [`Series`] of three widths.
//! - [`BurnRecord`] carries closed buckets through the platform's log, [`Snapshot`] a whole ledger
//!   to a report.
//! - [`Report`] joins snapshots and records and gives burn rates, alarms and the budget left.
//!
//! Nothing here does I/O or reads a clock: times are seconds of the Unix epoch.

mod alarm;
mod counts;
mod ledger;
mod record;
mod report;
mod sample;
mod series;
mod text;

pub use alarm::{ALARMS, Alarm, AlarmRule};
pub use counts::Counts;
pub use ledger::{Ledger, Snapshot};
pub use record::BurnRecord;
pub use report::{Note, Report, Row, Sources, WindowRate};
pub use sample::{Sample, judge};
pub use series::{LOG_WIDTH_SECONDS, Series};
pub use text::render_text;

/// Seconds of the Unix epoch.
pub type UnixSeconds = u64;
/// Name of an objective.
pub type ObjectiveName = std::sync::Arc<str>;
