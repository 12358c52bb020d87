//! [`Alarm`]s from burn rates over two windows each.

use serde::{Deserialize, Serialize};

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

/// How urgent a burn is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// Somebody must act now.
    Page,
    /// Somebody must act today.
    Urgent,
    /// Somebody must act this week.
    Ticket,
}

/// Raises an [`Alarm`] while both windows burn faster than `rate`.
///
/// The long window shows that the burn matters and the short one that it still goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlarmRule {
    /// The alarm.
    pub alarm: Alarm,
    /// The short window, in seconds.
    pub short: u64,
    /// The long window, in seconds.
    pub long: u64,
    /// The burn rate.
    pub rate: f64,
}

/// The rules, the most urgent first; rates as in the Site Reliability Workbook, chapter 5.
pub const ALARMS: [AlarmRule; 3] = [
    AlarmRule {
        alarm: Alarm::Page,
        short: 5 * MINUTE,
        long: HOUR,
        rate: 14.4,
    },
    AlarmRule {
        alarm: Alarm::Urgent,
        short: 30 * MINUTE,
        long: 6 * HOUR,
        rate: 6.0,
    },
    AlarmRule {
        alarm: Alarm::Ticket,
        short: 6 * HOUR,
        long: 3 * DAY,
        rate: 1.0,
    },
];
