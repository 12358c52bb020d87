//! [`Alarm`]s and the [`AlarmRule`]s that raise them, each from the burn rates of two windows.

use serde::{Deserialize, Serialize};

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

/// Severity of an alarm, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// An operator must act immediately.
    Page,
    /// An operator must act today.
    Urgent,
    /// An operator must act this week.
    Ticket,
}

/// Raises an [`Alarm`] while the burn rates of both windows exceed `rate`.
///
/// The long window shows that the burn is significant, and the short one that it is still going on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlarmRule {
    /// The alarm to raise.
    pub alarm: Alarm,
    /// Length of the short window, in seconds.
    pub short_seconds: u64,
    /// Length of the long window, in seconds.
    pub long_seconds: u64,
    /// Burn rate above which the alarm is raised; see [`Counts::burn_rate`](crate::Counts::burn_rate).
    pub rate: f64,
}

/// The alarm rules, the most urgent first.
///
/// The burn rates are those of the Site Reliability Workbook, chapter 5.
pub const ALARM_RULES: [AlarmRule; 3] = [
    AlarmRule {
        alarm: Alarm::Page,
        short_seconds: 5 * MINUTE,
        long_seconds: HOUR,
        rate: 14.4,
    },
    AlarmRule {
        alarm: Alarm::Urgent,
        short_seconds: 30 * MINUTE,
        long_seconds: 6 * HOUR,
        rate: 6.0,
    },
    AlarmRule {
        alarm: Alarm::Ticket,
        short_seconds: 6 * HOUR,
        long_seconds: 3 * DAY,
        rate: 1.0,
    },
];
