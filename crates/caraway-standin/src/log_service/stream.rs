//! [`Stream`]: the records of one stream that the retention keeps.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use caraway_types::Offset;
use caraway_wire::log::{Appended, Entry, Page};

use super::LogSettings;

/// One stream of the log.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    /// Offset of the oldest kept record, or of the next record if none is kept.
    oldest: Offset,
    /// Kept records with the times of their appends, oldest first.
    records: VecDeque<(Instant, Arc<str>)>,
}

impl Stream {
    /// Appends records and returns the first of their offsets and the offset after them.
    pub(crate) fn append(&mut self, records: &[Arc<str>], now: Instant) -> Appended {
        let first = self.end();
        self.records
            .extend(records.iter().map(|r| (now, Arc::clone(r))));
        Appended {
            first,
            next: self.end(),
        }
    }

    /// Drops records beyond the limits on their number and age.
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

    /// Returns up to `max` kept records at offsets of `from` or later.
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

    /// Returns the offset of the next record.
    fn end(&self) -> Offset {
        self.oldest + self.records.len() as Offset
    }
}
