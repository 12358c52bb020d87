//! [`CallFold`] folds the `calls` stream into what is known of each key.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use caraway_types::Offset;

use crate::{CallKey, CallRecord, Outcome, Owner, RequestHash, Step};

/// What the log says of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// An intent won and has no outcome.
    Intended(Owner),
    /// The intent of this owner was given up before it was sent; the key is free.
    Released(Owner),
    /// The call ended, as the record at this offset says.
    Done(Offset, Outcome),
    /// The call ended as the record at this offset says; its text is no longer in memory.
    Evicted(Offset),
}

/// State of one key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Hash of the request that the key stands for.
    pub(crate) hash: RequestHash,
    /// What is known.
    pub(crate) known: Known,
    touched: Offset,
}

impl Entry {
    /// Tells whether the key stands for a request other than the one with this hash.
    pub(crate) fn stands_for_another(&self, hash: RequestHash) -> bool {
        !matches!(self.known, Known::Released(_)) && self.hash != hash
    }
}

/// Folds the `calls` stream.
///
/// The state covers exactly the records that the log still keeps: a key is known from its first
/// intent until the last record that mentions it leaves the log. An intent on a known key is void
/// but keeps the key known, so that folds which began at different offsets never see two winners.
#[derive(Debug)]
pub struct CallFold {
    entries: HashMap<CallKey, Entry>,
    by_touch: BTreeMap<Offset, CallKey>,
    bodies: VecDeque<(CallKey, Offset, usize)>,
    body_bytes: usize,
    body_limit: usize,
    next: Offset,
    skipped: u64,
}

impl CallFold {
    /// Makes an empty fold that keeps at most `body_limit` bytes of answers in memory.
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

    /// Returns the offset of the first record that is not folded.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the number of known keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of records that could not be read.
    #[must_use]
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns what is known of a key.
    #[must_use]
    pub fn known(&self, key: &CallKey) -> Option<&Known> {
        self.entries.get(key).map(|entry| &entry.known)
    }

    pub(crate) fn entry(&self, key: &CallKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Folds one record and returns the key that it mentions.
    ///
    /// Records below [`next`](Self::next) have no effect; a larger offset means that the log
    /// dropped the records between.
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

    /// Forgets keys whose last record left the log, and passes over records that are gone.
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

    /// Drops the oldest answers from memory; the log still has them.
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
