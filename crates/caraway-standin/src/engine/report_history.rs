//! [`ReportHistory`]: recent load reports, so that an engine can answer with a delayed one.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use caraway_wire::engine::EngineStatus;

/// Interval at which reports are added.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of reports kept.
const MAX_REPORTS: usize = 1_000;

/// Recent reports with their times, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ReportHistory {
    reports: VecDeque<(Instant, EngineStatus)>,
}

impl ReportHistory {
    /// Returns whether the next report is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.reports
            .back()
            .is_none_or(|(at, _)| now - *at >= REPORT_INTERVAL)
    }

    /// Returns the number of reports kept.
    pub(crate) fn len(&self) -> usize {
        self.reports.len()
    }

    /// Adds a report taken at `now` and drops the oldest one beyond the maximum.
    pub(crate) fn push(&mut self, now: Instant, report: EngineStatus) {
        self.reports.push_back((now, report));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or the oldest one if none is; drops
    /// reports older than the returned one.
    pub(crate) fn delayed(&mut self, now: Instant, lag: Duration) -> EngineStatus {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        while self.reports.get(1).is_some_and(|(at, _)| is_old(at)) {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }
}
