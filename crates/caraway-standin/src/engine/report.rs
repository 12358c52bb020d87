//! [`Reports`]: load reports of the recent past.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use caraway_wire::engine::EngineLoad;

/// Time between two reports.
const PERIOD: Duration = Duration::from_millis(20);
/// Reports that are kept.
const KEPT: usize = 1_000;

/// The recent reports, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    list: VecDeque<(Instant, EngineLoad)>,
}

impl Reports {
    /// Tells whether the next report is due.
    pub(crate) fn due(&self, now: Instant) -> bool {
        self.list.back().is_none_or(|(at, _)| now - *at >= PERIOD)
    }

    /// Returns how many reports are kept.
    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    /// Adds the report of now.
    pub(crate) fn add(&mut self, now: Instant, report: EngineLoad) {
        self.list.push_back((now, report));
        if self.list.len() > KEPT {
            self.list.pop_front();
        }
    }

    /// Returns the newest report that is at least `lag` old, or else the oldest.
    pub(crate) fn read(&mut self, now: Instant, lag: Duration) -> EngineLoad {
        let old = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        while self.list.get(1).is_some_and(|(at, _)| old(at)) {
            self.list.pop_front();
        }
        self.list
            .front()
            .map(|(_, report)| report.clone())
            .unwrap_or_default()
    }
}
