//! [`SnapshotWriter`]: decides when a snapshot is due, and writes it if no other instance does.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use caraway_types::{InstanceId, Offset};

use super::{FollowerSettings, LogRecord, checkpoints::Checkpoints};
use crate::{Snapshot, SnapshotId, State, snapshot};

/// Number of chunks per append.
const BATCH: usize = 16;
/// Maximum number of consecutive failed appends before the snapshot is abandoned.
const FAILURES_MAX: u32 = 8;
/// Maximum number of snapshots whose chunks are tracked.
const COUNTED_MAX: usize = 8;

/// Tracks the snapshots in the log and writes one when it is due.
///
/// Every instance waits for a delay that depends on its id and on the latest snapshot, and writes
/// only if no other instance appended a snapshot in the meantime. Two instances that write at the
/// same time are harmless, as duplicate chunks are ignored.
#[derive(Debug)]
pub(crate) struct SnapshotWriter {
    id: InstanceId,
    started: Instant,
    counted: BTreeMap<SnapshotId, Counted>,
    latest: Option<Lying>,
    due: Option<Instant>,
    quiet: Option<Instant>,
    writing: Option<Writing>,
}

/// The chunks of one snapshot that were read from the log.
#[derive(Debug)]
struct Counted {
    first: Offset,
    seen: BTreeSet<u32>,
}

/// The complete snapshot in the log that covers the most records.
#[derive(Debug)]
struct Lying {
    covered: Offset,
    first: Offset,
    since: Instant,
    chunks: u64,
    watched: bool,
}

/// A snapshot that is being appended.
#[derive(Debug)]
struct Writing {
    covered: Offset,
    batches: VecDeque<Vec<Arc<str>>>,
    sent: Option<Instant>,
    retry: Option<Instant>,
    failures: u32,
}

impl SnapshotWriter {
    pub(crate) fn new(id: &InstanceId, now: Instant) -> Self {
        Self {
            id: id.clone(),
            started: now,
            counted: BTreeMap::new(),
            latest: None,
            due: None,
            quiet: None,
            writing: None,
        }
    }

    /// Handles a record of the log that may be a snapshot chunk.
    ///
    /// `age_known` is true if the record was read soon after its append. A snapshot is ignored if
    /// its digest differs from the own one at the same offset.
    pub(crate) fn on_chunk(
        &mut self,
        now: Instant,
        record: &LogRecord,
        watched: bool,
        own: &Checkpoints,
    ) {
        let Some((id, index, count)) = snapshot::peek(&record.data) else {
            return;
        };
        let wrong = own.digest(id.covered).is_some_and(|d| d != id.digest);
        if wrong || id.covered > record.offset {
            return;
        }
        let counted = self.counted.entry(id).or_insert_with(|| Counted {
            first: record.offset,
            seen: BTreeSet::new(),
        });
        counted.seen.insert(index);
        let complete = u32::try_from(counted.seen.len()) == Ok(count);
        let first = counted.first;
        if self.counted.len() > COUNTED_MAX {
            self.counted.pop_first();
        }
        let better = self.latest.as_ref().is_none_or(|l| l.covered < id.covered);
        if complete && better {
            self.latest = Some(Lying {
                covered: id.covered,
                first,
                since: now,
                chunks: count.into(),
                watched,
            });
        }
    }

    /// Handles the result of an append.
    pub(crate) fn on_appended(&mut self, now: Instant, done: bool) {
        let Some(writing) = &mut self.writing else {
            return;
        };
        writing.sent = None;
        if done {
            writing.batches.pop_front();
            writing.failures = 0;
        } else {
            writing.failures += 1;
            writing.retry = Some(now + Duration::from_secs(1));
        }
    }

    /// Restarts the delay while the log or the state is not ready for a snapshot.
    pub(crate) fn wait(&mut self) {
        self.due = None;
    }

    /// Returns the next chunks to append, if any; `retained` is the offset range of the log.
    pub(crate) fn write(
        &mut self,
        now: Instant,
        state: &State,
        kept: Range<Offset>,
        settings: &FollowerSettings,
    ) -> Option<Vec<Arc<str>>> {
        let oldest = kept.start;
        if self.writing.is_none() && self.is_time(now, state, kept, settings) {
            self.writing = Some(Writing::new(state));
        }
        let writing = self.writing.as_mut()?;
        writing.expire(now, settings);
        let latest = self.latest.as_ref();
        let done = latest.is_some_and(|l| l.covered >= writing.covered);
        let useless = writing.covered < oldest;
        if done || useless || writing.is_over() {
            self.writing = None;
            self.quiet = Some(now + settings.snapshot_spread_ms.get());
            return None;
        }
        writing.next(now)
    }

    /// Returns whether a snapshot is due and the delay of this instance is over.
    fn is_time(
        &mut self,
        now: Instant,
        state: &State,
        kept: Range<Offset>,
        settings: &FollowerSettings,
    ) -> bool {
        let quiet = self.quiet.is_some_and(|until| now < until);
        if quiet || !self.is_due(now, state, kept, settings) {
            self.due = None;
            return false;
        }
        let wait = self.spread(settings.snapshot_spread_ms.get());
        let due = *self.due.get_or_insert(now + wait);
        if now < due {
            return false;
        }
        self.due = None;
        true
    }

    /// Returns whether the log needs a newer snapshot.
    ///
    /// A snapshot whose age is unknown counts as due at half the maximum age, and one in the older
    /// half of a log that drops records counts as due at once.
    fn is_due(
        &self,
        now: Instant,
        state: &State,
        kept: Range<Offset>,
        settings: &FollowerSettings,
    ) -> bool {
        let age = settings.snapshot_age_ms.get();
        let Some(latest) = &self.latest else {
            let many = state.next() >= settings.snapshot_every;
            return many || kept.start > 0 || now >= self.started + age;
        };
        let records = state.next().saturating_sub(latest.covered + latest.chunks);
        let age = if latest.watched { age } else { age / 2 };
        let middle = kept.start + (kept.end - kept.start) / 2;
        let fading = kept.start > 0 && latest.first < middle;
        records >= settings.snapshot_every || now >= latest.since + age || fading
    }

    /// Returns the delay of this instance, which also depends on the latest snapshot.
    fn spread(&self, over: Duration) -> Duration {
        let covered = self.latest.as_ref().map_or(0, |l| l.covered);
        let share = xxh3_64_with_seed(self.id.as_bytes(), covered) % 1024;
        over * u32::try_from(share).unwrap_or(0) / 1024
    }
}

impl Writing {
    fn new(state: &State) -> Self {
        let snapshot = Snapshot::of(state);
        let batches = snapshot.chunks.chunks(BATCH);
        Self {
            covered: snapshot.id.covered,
            batches: batches.map(<[_]>::to_vec).collect(),
            sent: None,
            retry: None,
            failures: 0,
        }
    }

    /// Fails an append that exceeded its timeout.
    fn expire(&mut self, now: Instant, settings: &FollowerSettings) {
        let sent = self.sent;
        if sent.is_some_and(|at| now >= at + settings.request_ms.get()) {
            self.sent = None;
            self.failures += 1;
        }
    }

    /// Returns whether all chunks are appended or too many appends failed.
    fn is_over(&self) -> bool {
        self.batches.is_empty() || self.failures > FAILURES_MAX
    }

    /// Returns the next batch unless an append is in flight or backing off.
    fn next(&mut self, now: Instant) -> Option<Vec<Arc<str>>> {
        if self.sent.is_some() || self.retry.is_some_and(|at| now < at) {
            return None;
        }
        self.sent = Some(now);
        self.batches.front().cloned()
    }
}
