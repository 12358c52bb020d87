//! [`Stream`]: the records of one stream that are still kept.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use caraway_types::Offset;
use caraway_wire::log::{Appended, Entry, Page};

use super::LogSettings;

/// One stream.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    oldest: Offset,
    records: VecDeque<(Instant, Arc<str>)>,
}

impl Stream {
    /// Adds records at the end.
    pub(crate) fn append(&mut self, records: &[Arc<str>], now: Instant) -> Appended {
        let first = self.end();
        self.records
            .extend(records.iter().map(|r| (now, Arc::clone(r))));
        Appended {
            first,
            next: self.end(),
        }
    }

    /// Drops records past the retention.
    pub(crate) fn trim(&mut self, settings: &LogSettings, now: Instant) {
        let keep = settings.keep_time.get();
        let old = |at: &Instant| now.saturating_duration_since(*at) >= keep;
        while self.records.len() > settings.keep_records
            || self.records.front().is_some_and(|(at, _)| old(at))
        {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    /// Returns up to `max` records from `from` on.
    pub(crate) fn page(&self, from: Offset, max: usize) -> Page {
        let from = from.max(self.oldest);
        let skip = usize::try_from(from - self.oldest).unwrap_or(usize::MAX);
        let kept = self.records.iter().skip(skip).take(max);
        let entry = |(offset, (_, data)): (Offset, &(Instant, Arc<str>))| Entry {
            offset,
            data: Arc::clone(data),
        };
        Page {
            oldest: self.oldest,
            end: self.end(),
            records: (from..).zip(kept).map(entry).collect(),
        }
    }

    fn end(&self) -> Offset {
        self.oldest + self.records.len() as Offset
    }
}
