//! [`RecordCache`]: the newest record of each key of a topic, for instances that have missed some.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use caraway_platform::Record;
use caraway_types::Offset;

/// Number of deletions that are kept for instances that have missed them; the largest deployments
/// replace about 70 endpoints at a time.
const MAX_DELETIONS: usize = 256;

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    newest: HashMap<Arc<str>, Record>,
    /// Records that delete a key, the oldest first.
    deletions: VecDeque<(Offset, Arc<str>)>,
    /// Offset from which on all deletions are kept.
    deletions_since: Offset,
}

/// The records of a topic that an instance has missed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissedRecords {
    /// Whether these are the newest records of all keys, so that no earlier record is needed.
    pub complete: bool,
    /// The records, in the order of their offsets.
    pub records: Vec<Record>,
}

impl RecordCache {
    /// Adds a record, unless a newer one of its key is known.
    pub fn insert(&mut self, record: &Record) {
        let known = self.newest.get(&record.key);
        if known.is_some_and(|k| k.offset > record.offset) {
            return;
        }
        if record.value.is_none() {
            self.deletions
                .push_back((record.offset, record.key.clone()));
        }
        self.newest.insert(record.key.clone(), record.clone());
        if self.deletions.len() > MAX_DELETIONS
            && let Some((offset, key)) = self.deletions.pop_front()
        {
            self.deletions_since = offset + 1;
            // The key may have been written or deleted again since.
            if self.newest.get(&key).is_some_and(|r| r.offset == offset) {
                self.newest.remove(&key);
            }
        }
    }

    /// Replaces the content by the newest records of all keys; `next` is the offset after them.
    pub fn replace(&mut self, records: &[Record], next: Offset) {
        self.deletions.clear();
        self.deletions_since = next;
        self.newest = records.iter().map(|r| (r.key.clone(), r.clone())).collect();
    }

    /// Replaces the content as [`Self::replace`] does, but keeps the records of other keys. They come
    /// before all records that the store has from now on; `next` is the offset after those it has.
    pub fn update(&mut self, records: &[Record], next: Offset) {
        let former = std::mem::take(&mut self.newest);
        self.replace(records, next);
        for (key, record) in former.into_iter().filter(|(_, r)| r.value.is_some()) {
            let record = Record {
                offset: 0,
                ..record
            };
            self.newest.entry(key).or_insert(record);
        }
    }

    /// Returns the records that an instance has missed which has read the topic up to `from`;
    /// `None` stands for one that has read nothing.
    #[must_use]
    pub fn missed_since(&self, from: Option<Offset>) -> MissedRecords {
        let from = from.filter(|f| *f >= self.deletions_since);
        let is_missed = |r: &&Record| match from {
            Some(from) => r.offset >= from,
            None => r.value.is_some(),
        };
        let mut records: Vec<Record> = self.newest.values().filter(is_missed).cloned().collect();
        records.sort_by_key(|r| r.offset);
        MissedRecords {
            complete: from.is_none(),
            records,
        }
    }
}
