//! [`RecentProgress`]: segments with which requests have made progress lately.

use std::{collections::HashMap, sync::Arc, time::Instant};

use crate::SegmentId;

/// Number of segments in one generation; two generations are kept.
const GENERATION_SIZE: usize = 2048;

/// A segment of prompts to a service.
type Key = (Arc<str>, SegmentId);

/// The segments with which requests have made progress lately, with the time of the last progress.
/// The number of segments is bounded; the oldest are dropped first.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentProgress {
    current: HashMap<Key, Instant>,
    previous: HashMap<Key, Instant>,
}

impl RecentProgress {
    /// Records that a request with this segment made progress at `at`.
    pub(crate) fn record(&mut self, at: Instant, service: &Arc<str>, segment: SegmentId) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        let last = self.last(service, segment).map_or(at, |last| last.max(at));
        self.current.insert((service.clone(), segment), last);
    }

    /// Returns when a request with this segment has last made progress, `None` if that is not
    /// known.
    pub(crate) fn last(&self, service: &Arc<str>, segment: SegmentId) -> Option<Instant> {
        let key = (service.clone(), segment);
        let last = self.current.get(&key).or_else(|| self.previous.get(&key));
        last.copied()
    }
}
