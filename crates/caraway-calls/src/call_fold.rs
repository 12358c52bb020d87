//! [`CallFold`] replays the `calls` stream and keeps the state of each idempotency key.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use caraway_types::Offset;

use crate::{CallKey, CallRecord, Outcome, Owner, RequestHash, Step};

/// State of a key, according to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// This owner's intent was first; no outcome is recorded yet.
    Intended(Owner),
    /// This owner gave up its intent without running the call; the next intent wins the key.
    Released(Owner),
    /// The call ended; the outcome is in the record at this offset.
    Done(Offset, Outcome),
    /// The call ended; the outcome is no longer in memory, only in the record at this offset.
    Evicted(Offset),
}

/// Entry of one key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Hash of the request that the key was used for.
    pub(crate) hash: RequestHash,
    pub(crate) known: Known,
    /// Offset of the last record that mentions the key.
    touched: Offset,
}

impl Entry {
    /// Returns whether the key is in use for a request with another hash.
    pub(crate) fn stands_for_another(&self, hash: RequestHash) -> bool {
        !matches!(self.known, Known::Released(_)) && self.hash != hash
    }
}

/// State of all keys, built by applying the records of the `calls` stream in order.
///
/// The state covers exactly the records that the log retains: a key stays known from its first
/// intent until the last record that mentions it leaves the log. An intent on a known key has no
/// effect except that it keeps the key known. Otherwise an instance that began to read at a later
/// offset could accept a different intent as the winner.
#[derive(Debug)]
pub struct CallFold {
    entries: HashMap<CallKey, Entry>,
    /// Keys by the offset of the last record that mentions them.
    by_touch: BTreeMap<Offset, CallKey>,
    /// Key, offset and size in bytes of the answers in memory, oldest first.
    bodies: VecDeque<(CallKey, Offset, usize)>,
    body_bytes: usize,
    body_limit: usize,
    next: Offset,
    skipped: u64,
}

impl CallFold {
    /// Creates an empty state that keeps at most `body_limit` bytes of answer bodies in memory.
    #[must_use]
    pub fn new(body_limit: usize) -> Self {
        Self {
            entries: HashMap::new(),
            by_touch: BTreeMap::new(),
            bodies: VecDeque::new(),
            body_bytes: 0,
            body_limit,
            next: 0,
            skipped: 0,
        }
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the number of known keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of records that could not be parsed.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the state of a key, or `None` if the log has no record of it.
    #[must_use]
    pub fn known(&self, key: &CallKey) -> Option<&Known> {
        self.entries.get(key).map(|entry| &entry.known)
    }

    pub(crate) fn entry(&self, key: &CallKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Applies one record and returns its key.
    ///
    /// A record below [`next`](Self::next) was applied before and has no effect. An offset above
    /// it means that the log has dropped the records in between.
    pub fn apply(&mut self, offset: Offset, data: &Arc<str>) -> Option<CallKey> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        let Ok(record) = CallRecord::parse(data) else {
            self.skipped += 1;
            return None;
        };
        let key = record.call.clone();
        match self.entries.remove(&key) {
            Some(mut entry) => {
                self.by_touch.remove(&entry.touched);
                entry.touched = offset;
                self.update(&mut entry, offset, record);
                self.insert(key.clone(), entry);
            }
            None => self.begin(offset, record),
        }
        Some(key)
    }

    /// Removes the keys whose last record is below `oldest`, the first offset that the log
    /// retains, and skips the records below it that were not applied.
    pub fn trim(&mut self, oldest: Offset) {
        self.next = self.next.max(oldest);
        while let Some(first) = self.by_touch.first_entry() {
            if *first.key() >= oldest {
                break;
            }
            let key = first.remove();
            self.entries.remove(&key);
        }
    }

    fn begin(&mut self, offset: Offset, record: CallRecord) {
        let known = match record.step {
            Step::Outcome(Outcome::NotRun) => Known::Released(record.owner),
            Step::Outcome(outcome) => self.done(&record.call, offset, outcome),
            Step::Intent | Step::Unknown => Known::Intended(record.owner),
        };
        let entry = Entry {
            hash: record.hash,
            known,
            touched: offset,
        };
        self.insert(record.call, entry);
    }

    fn update(&mut self, entry: &mut Entry, offset: Offset, record: CallRecord) {
        if let Known::Done(..) | Known::Evicted(_) = entry.known {
            return;
        }
        match (&entry.known, record.step) {
            (Known::Released(owner), Step::Intent) if *owner != record.owner => {
                entry.hash = record.hash;
                entry.known = Known::Intended(record.owner);
            }
            (Known::Intended(owner), Step::Outcome(Outcome::NotRun)) => {
                if *owner == record.owner {
                    entry.known = Known::Released(record.owner);
                }
            }
            (_, Step::Outcome(Outcome::NotRun) | Step::Intent) => {}
            (_, Step::Outcome(outcome)) => {
                entry.hash = record.hash;
                entry.known = self.done(&record.call, offset, outcome);
            }
            (Known::Released(_), Step::Unknown) => {
                entry.known = Known::Intended(record.owner);
            }
            (_, Step::Unknown) => {}
        }
    }

    fn insert(&mut self, key: CallKey, entry: Entry) {
        self.by_touch.insert(entry.touched, key.clone());
        self.entries.insert(key, entry);
        self.evict();
    }

    fn done(&mut self, key: &CallKey, offset: Offset, outcome: Outcome) -> Known {
        if let Outcome::Answered(recorded) = &outcome {
            let size = recorded.body.size();
            self.body_bytes += size;
            self.bodies.push_back((key.clone(), offset, size));
        }
        Known::Done(offset, outcome)
    }

    /// Evicts the oldest answers from memory until `body_limit` is met; the log still has them.
    fn evict(&mut self) {
        while self.body_bytes > self.body_limit {
            let Some((key, offset, size)) = self.bodies.pop_front() else {
                return;
            };
            self.body_bytes -= size;
            if let Some(entry) = self.entries.get_mut(&key)
                && matches!(entry.known, Known::Done(at, _) if at == offset)
            {
                entry.known = Known::Evicted(offset);
            }
        }
    }
}
