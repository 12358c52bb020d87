//! [`CallTable`] replays the `calls` stream and keeps the state of each idempotency key.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use caraway_types::Offset;

use crate::{CallKey, CallRecord, Outcome, Owner, RequestHash, Step};

/// State of a key, according to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
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
    pub(crate) state: KeyState,
    /// Offset of the last record that mentions the key.
    last_offset: Offset,
}

impl Entry {
    /// Returns whether the key is in use for a request with another hash.
    pub(crate) fn conflicts_with(&self, hash: RequestHash) -> bool {
        !matches!(self.state, KeyState::Released(_)) && self.hash != hash
    }
}

/// State of all keys, built by applying the records of the `calls` stream in order.
///
/// The state covers exactly the records that the log retains: a key stays known from its first
/// intent until the last record that mentions it leaves the log. An intent on a known key has no
/// effect except that it keeps the key known. Otherwise an instance that began to read at a later
/// offset could accept a different intent as the winner.
#[derive(Debug)]
pub struct CallTable {
    entries: HashMap<CallKey, Entry>,
    /// Keys by the offset of the last record that mentions them.
    by_last_offset: BTreeMap<Offset, CallKey>,
    /// Key, offset and size in bytes of the answers in memory, oldest first.
    bodies: VecDeque<(CallKey, Offset, usize)>,
    body_bytes: usize,
    body_limit: usize,
    next_offset: Offset,
    parse_failures: u64,
}

impl CallTable {
    /// Creates an empty state that keeps at most `body_limit` bytes of answer bodies in memory.
    #[must_use]
    pub fn new(body_limit: usize) -> Self {
        Self {
            entries: HashMap::new(),
            by_last_offset: BTreeMap::new(),
            bodies: VecDeque::new(),
            body_bytes: 0,
            body_limit,
            next_offset: 0,
            parse_failures: 0,
        }
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
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
    pub fn parse_failures(&self) -> u64 {
        self.parse_failures
    }

    /// Returns the state of a key, or `None` if the log has no record of it.
    #[must_use]
    pub fn state(&self, key: &CallKey) -> Option<&KeyState> {
        self.entries.get(key).map(|entry| &entry.state)
    }

    pub(crate) fn entry(&self, key: &CallKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Applies one record and returns its key.
    ///
    /// A record below [`next_offset`](Self::next_offset) was applied before and has no effect. An
    /// offset above it means that the log has dropped the records in between.
    pub fn apply(&mut self, offset: Offset, data: &Arc<str>) -> Option<CallKey> {
        if offset < self.next_offset {
            return None;
        }
        self.next_offset = offset + 1;
        let Ok(record) = CallRecord::parse(data) else {
            self.parse_failures += 1;
            return None;
        };
        let key = record.call.clone();
        match self.entries.remove(&key) {
            Some(mut entry) => {
                self.by_last_offset.remove(&entry.last_offset);
                entry.last_offset = offset;
                self.update(&mut entry, offset, record);
                self.insert(key.clone(), entry);
            }
            None => self.add(offset, record),
        }
        Some(key)
    }

    /// Removes the keys whose last record is below `oldest`, the first offset that the log
    /// retains, and skips the records below it that were not applied.
    pub fn trim(&mut self, oldest: Offset) {
        self.next_offset = self.next_offset.max(oldest);
        while let Some(first) = self.by_last_offset.first_entry() {
            if *first.key() >= oldest {
                break;
            }
            let key = first.remove();
            self.entries.remove(&key);
        }
    }

    fn add(&mut self, offset: Offset, record: CallRecord) {
        let state = match record.step {
            Step::Outcome(Outcome::NotRun) => KeyState::Released(record.owner),
            Step::Outcome(outcome) => self.record_outcome(&record.call, offset, outcome),
            Step::Intent | Step::Unknown => KeyState::Intended(record.owner),
        };
        let entry = Entry {
            hash: record.hash,
            state,
            last_offset: offset,
        };
        self.insert(record.call, entry);
    }

    fn update(&mut self, entry: &mut Entry, offset: Offset, record: CallRecord) {
        if let KeyState::Done(..) | KeyState::Evicted(_) = entry.state {
            return;
        }
        match (&entry.state, record.step) {
            (KeyState::Released(owner), Step::Intent) if *owner != record.owner => {
                entry.hash = record.hash;
                entry.state = KeyState::Intended(record.owner);
            }
            (KeyState::Intended(owner), Step::Outcome(Outcome::NotRun)) => {
                if *owner == record.owner {
                    entry.state = KeyState::Released(record.owner);
                }
            }
            (_, Step::Outcome(Outcome::NotRun) | Step::Intent) => {}
            (_, Step::Outcome(outcome)) => {
                entry.hash = record.hash;
                entry.state = self.record_outcome(&record.call, offset, outcome);
            }
            (KeyState::Released(_), Step::Unknown) => {
                entry.state = KeyState::Intended(record.owner);
            }
            (_, Step::Unknown) => {}
        }
    }

    fn insert(&mut self, key: CallKey, entry: Entry) {
        self.by_last_offset.insert(entry.last_offset, key.clone());
        self.entries.insert(key, entry);
        self.evict_bodies();
    }

    /// Counts the body of an answer against `body_limit` and returns the state of the ended call.
    fn record_outcome(&mut self, key: &CallKey, offset: Offset, outcome: Outcome) -> KeyState {
        if let Outcome::Answered(recorded) = &outcome {
            let size = recorded.body.memory_bytes();
            self.body_bytes += size;
            self.bodies.push_back((key.clone(), offset, size));
        }
        KeyState::Done(offset, outcome)
    }

    /// Evicts the oldest answers from memory until `body_limit` is met; the log still has them.
    fn evict_bodies(&mut self) {
        while self.body_bytes > self.body_limit {
            let Some((key, offset, size)) = self.bodies.pop_front() else {
                return;
            };
            self.body_bytes -= size;
            if let Some(entry) = self.entries.get_mut(&key)
                && matches!(entry.state, KeyState::Done(done_at, _) if done_at == offset)
            {
                entry.state = KeyState::Evicted(offset);
            }
        }
    }
}
