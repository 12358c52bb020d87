//! [`SnapshotWriter`]: decides when a snapshot is due, and writes it if no other instance does.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use caraway_types::{InstanceId, Offset};

use super::{FollowerSettings, LogRecord, digest_history::DigestHistory};
use crate::{Snapshot, SnapshotId, State, snapshot};

/// Number of chunks per append.
const CHUNKS_PER_APPEND: usize = 16;
/// Maximum number of consecutive failed appends before the snapshot is abandoned.
const MAX_FAILURES: u32 = 8;
/// Maximum number of snapshots whose chunks are tracked.
const MAX_TRACKED_SNAPSHOTS: usize = 8;

/// Tracks the snapshots in the log and writes one when it is due.
///
/// Every instance waits for a delay that depends on its id and on the latest snapshot, and writes
/// only if no other instance appended a snapshot in the meantime. Two instances that write at the
/// same time are harmless, as duplicate chunks are ignored.
#[derive(Debug)]
pub(crate) struct SnapshotWriter {
    id: InstanceId,
    started: Instant,
    tracked: BTreeMap<SnapshotId, TrackedChunks>,
    latest: Option<CompleteSnapshot>,
    write_at: Option<Instant>,
    paused_until: Option<Instant>,
    writing: Option<SnapshotWrite>,
}

/// The chunks of one snapshot that were read from the log.
#[derive(Debug)]
struct TrackedChunks {
    first_chunk: Offset,
    indexes: BTreeSet<u32>,
}

/// The complete snapshot in the log that covers the most records.
#[derive(Debug)]
struct CompleteSnapshot {
    covered: Offset,
    first_chunk: Offset,
    read_at: Instant,
    chunks: u64,
    age_known: bool,
}

/// A snapshot that is being appended.
#[derive(Debug)]
struct SnapshotWrite {
    covered: Offset,
    batches: VecDeque<Vec<Arc<str>>>,
    sent_at: Option<Instant>,
    retry_at: Option<Instant>,
    failures: u32,
}

impl SnapshotWriter {
    pub(crate) fn new(id: &InstanceId, now: Instant) -> Self {
        Self {
            id: id.clone(),
            started: now,
            tracked: BTreeMap::new(),
            latest: None,
            write_at: None,
            paused_until: None,
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
        age_known: bool,
        digests: &DigestHistory,
    ) {
        let Some((id, index, count)) = snapshot::chunk_position(&record.data) else {
            return;
        };
        let mismatch = digests.digest(id.covered).is_some_and(|d| d != id.digest);
        if mismatch || id.covered > record.offset {
            return;
        }
        let tracked = self.tracked.entry(id).or_insert_with(|| TrackedChunks {
            first_chunk: record.offset,
            indexes: BTreeSet::new(),
        });
        tracked.indexes.insert(index);
        let complete = u32::try_from(tracked.indexes.len()) == Ok(count);
        let first_chunk = tracked.first_chunk;
        if self.tracked.len() > MAX_TRACKED_SNAPSHOTS {
            self.tracked.pop_first();
        }
        let better = self.latest.as_ref().is_none_or(|l| l.covered < id.covered);
        if complete && better {
            self.latest = Some(CompleteSnapshot {
                covered: id.covered,
                first_chunk,
                read_at: now,
                chunks: count.into(),
                age_known,
            });
        }
    }

    /// Handles the result of an append.
    pub(crate) fn on_appended(&mut self, now: Instant, succeeded: bool) {
        let Some(writing) = &mut self.writing else {
            return;
        };
        writing.sent_at = None;
        if succeeded {
            writing.batches.pop_front();
            writing.failures = 0;
        } else {
            writing.failures += 1;
            writing.retry_at = Some(now + Duration::from_secs(1));
        }
    }

    /// Restarts the delay while the log or the state is not ready for a snapshot.
    pub(crate) fn postpone(&mut self) {
        self.write_at = None;
    }

    /// Returns the next chunks to append, if any; `retained` is the offset range of the log.
    pub(crate) fn write(
        &mut self,
        now: Instant,
        state: &State,
        retained: Range<Offset>,
        settings: &FollowerSettings,
    ) -> Option<Vec<Arc<str>>> {
        let oldest = retained.start;
        if self.writing.is_none() && self.should_start(now, state, retained, settings) {
            self.writing = Some(SnapshotWrite::new(state));
        }
        let writing = self.writing.as_mut()?;
        writing.expire(now, settings);
        let latest = self.latest.as_ref();
        let superseded = latest.is_some_and(|l| l.covered >= writing.covered);
        let obsolete = writing.covered < oldest;
        if superseded || obsolete || writing.is_finished() {
            self.writing = None;
            self.paused_until = Some(now + settings.snapshot_spread_ms.get());
            return None;
        }
        writing.next_batch(now)
    }

    /// Returns whether a snapshot is due and the delay of this instance is over.
    fn should_start(
        &mut self,
        now: Instant,
        state: &State,
        retained: Range<Offset>,
        settings: &FollowerSettings,
    ) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        if paused || !self.is_due(now, state, retained, settings) {
            self.write_at = None;
            return false;
        }
        let wait = self.own_delay(settings.snapshot_spread_ms.get());
        let due = *self.write_at.get_or_insert(now + wait);
        if now < due {
            return false;
        }
        self.write_at = None;
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
        retained: Range<Offset>,
        settings: &FollowerSettings,
    ) -> bool {
        let age = settings.snapshot_age_ms.get();
        let Some(latest) = &self.latest else {
            let enough_records = state.next() >= settings.snapshot_every;
            return enough_records || retained.start > 0 || now >= self.started + age;
        };
        let records = state.next().saturating_sub(latest.covered + latest.chunks);
        let age = if latest.age_known { age } else { age / 2 };
        let middle = retained.start + (retained.end - retained.start) / 2;
        let near_removal = retained.start > 0 && latest.first_chunk < middle;
        records >= settings.snapshot_every || now >= latest.read_at + age || near_removal
    }

    /// Returns the delay of this instance, which also depends on the latest snapshot.
    fn own_delay(&self, over: Duration) -> Duration {
        let covered = self.latest.as_ref().map_or(0, |l| l.covered);
        let share = xxh3_64_with_seed(self.id.as_bytes(), covered) % 1024;
        over * u32::try_from(share).unwrap_or(0) / 1024
    }
}

impl SnapshotWrite {
    fn new(state: &State) -> Self {
        let snapshot = Snapshot::of(state);
        let batches = snapshot.chunks.chunks(CHUNKS_PER_APPEND);
        Self {
            covered: snapshot.id.covered,
            batches: batches.map(<[_]>::to_vec).collect(),
            sent_at: None,
            retry_at: None,
            failures: 0,
        }
    }

    /// Fails an append that exceeded its timeout.
    fn expire(&mut self, now: Instant, settings: &FollowerSettings) {
        let sent_at = self.sent_at;
        if sent_at.is_some_and(|at| now >= at + settings.request_ms.get()) {
            self.sent_at = None;
            self.failures += 1;
        }
    }

    /// Returns whether all chunks are appended or too many appends failed.
    fn is_finished(&self) -> bool {
        self.batches.is_empty() || self.failures > MAX_FAILURES
    }

    /// Returns the next batch unless an append is in flight or backing off.
    fn next_batch(&mut self, now: Instant) -> Option<Vec<Arc<str>>> {
        if self.sent_at.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return None;
        }
        self.sent_at = Some(now);
        self.batches.front().cloned()
    }
}
