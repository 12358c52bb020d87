//! [`LogScheduler`]: decides when the next append or read may start, and tracks log failures.

use std::time::{Duration, Instant};

use caraway_types::Offset;

/// Purpose of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// Reads the next records of the stream.
    NewRecords,
    /// Reads the recorded outcome at this offset again.
    RecordedOutcome(Offset),
}

/// Allows one append and one read in flight at a time, with a minimum gap between two of a kind and
/// a backoff after a failure.
#[derive(Debug, Default)]
pub(super) struct LogScheduler {
    /// Purpose of the read in flight.
    pub(super) read_purpose: Option<ReadPurpose>,
    pub(super) is_appending: bool,
    /// Number of the latest read that follows the stream.
    pub(super) reads_started: u64,
    /// Start of the latest read that reached the end of the stream.
    pub(super) caught_up_at: Option<Instant>,
    /// Start of the latest read.
    pub(super) read_started: Option<Instant>,
    /// Start of the latest append.
    last_append: Option<Instant>,
    /// End of the latest read.
    last_read: Option<Instant>,
    /// Time of the first failure since the latest success.
    failing_since: Option<Instant>,
    /// End of the backoff after a failure.
    retry_at: Option<Instant>,
}

impl LogScheduler {
    /// Returns whether an append may start.
    pub(super) fn may_append(&self, now: Instant, gap: Duration) -> bool {
        !self.is_appending && self.is_due(now, self.last_append, gap)
    }

    /// Returns whether a read may start.
    pub(super) fn may_read(&self, now: Instant, gap: Duration) -> bool {
        self.read_purpose.is_none() && self.is_due(now, self.last_read, gap)
    }

    /// Returns whether the gap since `last` and the backoff after a failure are over.
    fn is_due(&self, now: Instant, last: Option<Instant>, gap: Duration) -> bool {
        let backoff_over = self.retry_at.is_none_or(|at| now >= at);
        backoff_over && last.is_none_or(|last| now.saturating_duration_since(last) >= gap)
    }

    pub(super) fn begin_append(&mut self, now: Instant) {
        self.is_appending = true;
        self.last_append = Some(now);
    }

    pub(super) fn begin_read(&mut self, now: Instant, purpose: ReadPurpose) {
        self.read_started = Some(now);
        self.read_purpose = Some(purpose);
        if purpose == ReadPurpose::NewRecords {
            self.reads_started += 1;
        }
    }

    /// Allows the next read to start without a gap, because the log has more records.
    pub(super) fn skip_read_gap(&mut self) {
        self.last_read = None;
    }

    pub(super) fn end_read(&mut self, now: Instant) -> Option<ReadPurpose> {
        self.last_read = Some(now);
        self.read_purpose.take()
    }

    pub(super) fn on_success(&mut self) {
        self.failing_since = None;
        self.retry_at = None;
    }

    pub(super) fn on_failure(&mut self, now: Instant, backoff: Duration) {
        self.failing_since.get_or_insert(now);
        self.retry_at = Some(now + backoff);
    }

    /// Returns whether the log has been failing for at least `wait`.
    pub(super) fn is_failing_for(&self, now: Instant, wait: Duration) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= wait)
    }
}
