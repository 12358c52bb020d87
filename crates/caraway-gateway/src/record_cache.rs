//! [`Kept`]: the newest record of each key of a topic, for instances that have missed some.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use caraway_platform::Record;
use caraway_types::Offset;

/// Dropped keys that are remembered, so that who has missed their records can be told; the largest
/// deployments replace some 70 endpoints at a time.
const MAX_DELETIONS: usize = 256;

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    newest: HashMap<Arc<str>, Record>,
    /// Records that drop a key, the oldest first.
    deletions: VecDeque<(Offset, Arc<str>)>,
    /// From where on all dropped keys are remembered.
    deletions_since: Offset,
}

/// What an instance has missed of a topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissedRecords {
    /// Whether these are the newest records of all keys, so that nothing before them is needed.
    pub complete: bool,
    /// The records, in the order of their offsets.
    pub records: Vec<Record>,
}

impl RecordCache {
    /// Takes a record.
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
            // The key may have come back since, and may have been dropped again.
            if self.newest.get(&key).is_some_and(|r| r.offset == offset) {
                self.newest.remove(&key);
            }
        }
    }

    /// Takes the newest records of all keys, where the topic is read on at `next`.
    pub fn replace(&mut self, records: &[Record], next: Offset) {
        self.deletions.clear();
        self.deletions_since = next;
        self.newest = records.iter().map(|r| (r.key.clone(), r.clone())).collect();
    }

    /// Returns what an instance has missed that has read the topic up to `from`, `None` for one
    /// that has read nothing.
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
