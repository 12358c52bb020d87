//! [`RecentProgress`]: suspects with which requests have made progress lately.

use std::{collections::HashMap, sync::Arc, time::Instant};

use crate::Suspect;

/// Number of suspects of one kind in one generation; two generations are kept.
const GENERATION_SIZE: usize = 2048;

/// A suspect of requests to a service.
type Key = (Arc<str>, Suspect);

/// The suspects with which requests have made progress lately, with the time of the last progress. Single
/// requests do not displace segments.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentProgress {
    segments: Generations,
    requests: Generations,
}

impl RecentProgress {
    /// Records that a request with this suspect made progress at `at`.
    pub(crate) fn record(&mut self, at: Instant, service: &Arc<str>, suspect: Suspect) {
        let generations = match suspect {
            Suspect::Segment(_) => &mut self.segments,
            Suspect::Request(_) => &mut self.requests,
        };
        generations.record(at, (service.clone(), suspect));
    }

    /// Returns when a request with this suspect has last made progress, `None` if that is not
    /// known.
    pub(crate) fn last(&self, service: &Arc<str>, suspect: Suspect) -> Option<Instant> {
        let generations = match suspect {
            Suspect::Segment(_) => &self.segments,
            Suspect::Request(_) => &self.requests,
        };
        generations.last(&(service.clone(), suspect))
    }
}

/// Times of progress; their number is bounded, and the oldest are dropped first.
#[derive(Clone, Debug, Default)]
struct Generations {
    current: HashMap<Key, Instant>,
    previous: HashMap<Key, Instant>,
}

impl Generations {
    fn record(&mut self, at: Instant, key: Key) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        let last = self.last(&key).map_or(at, |last| last.max(at));
        self.current.insert(key, last);
    }

    fn last(&self, key: &Key) -> Option<Instant> {
        let last = self.current.get(key).or_else(|| self.previous.get(key));
        last.copied()
    }
}
