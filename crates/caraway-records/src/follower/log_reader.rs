//! [`LogReader`]: schedules reads of the log and tracks whether the log is healthy.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use caraway_types::InstanceId;

use super::FollowerSettings;

/// Maximum number of times that consecutive failures double the backoff.
const MAX_DOUBLINGS: u32 = 10;

/// Schedules reads of the log, one in flight at a time, with exponential backoff after failures.
#[derive(Debug)]
pub(crate) struct LogReader {
    seed: u64,
    sent_at: Option<Instant>,
    next_read_at: Instant,
    failures: u32,
    last_page_at: Option<Instant>,
    at_end: bool,
}

impl LogReader {
    pub(crate) fn new(id: &InstanceId, now: Instant) -> Self {
        Self {
            seed: xxh3_64_with_seed(id.as_bytes(), 0),
            sent_at: None,
            next_read_at: now,
            failures: 0,
            last_page_at: None,
            at_end: false,
        }
    }

    /// Returns whether to send a read now; if so, records it as sent.
    ///
    /// A read that exceeded its timeout counts as failed.
    pub(crate) fn start_read(&mut self, now: Instant, settings: &FollowerSettings) -> bool {
        let sent_at = self.sent_at;
        if sent_at.is_some_and(|at| now >= at + settings.request_ms.get()) {
            self.on_failure(now, settings);
        }
        let due = self.sent_at.is_none() && now >= self.next_read_at;
        if due {
            self.sent_at = Some(now);
        }
        due
    }

    /// Handles a page; `more` is true if the log has records after it.
    pub(crate) fn on_page(&mut self, now: Instant, more: bool, settings: &FollowerSettings) {
        self.sent_at = None;
        self.failures = 0;
        self.last_page_at = Some(now);
        self.at_end = !more;
        self.next_read_at = if more {
            now
        } else {
            now + settings.poll_ms.get()
        };
    }

    /// Handles a failed read and schedules the next one.
    pub(crate) fn on_failure(&mut self, now: Instant, settings: &FollowerSettings) {
        self.sent_at = None;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let backoff = settings.retry_min_ms.get() * 2u32.pow(doublings);
        self.next_read_at = now + self.jitter(backoff.min(settings.retry_max_ms.get()));
    }

    /// Makes the next read due without waiting for the poll interval.
    pub(crate) fn read_immediately(&mut self) {
        self.at_end = false;
        self.next_read_at = self.last_page_at.unwrap_or(self.next_read_at);
    }

    /// Returns whether the latest read succeeded and is recent.
    pub(crate) fn is_healthy(&self, now: Instant, settings: &FollowerSettings) -> bool {
        let max_age = settings.poll_ms.get() + settings.stale_ms.get();
        self.failures == 0 && self.last_page_at.is_some_and(|at| now < at + max_age)
    }

    /// Returns whether the latest page reached the end of the log.
    pub(crate) fn at_end(&self) -> bool {
        self.at_end
    }

    /// Shortens a wait by up to half, depending on the instance and the number of failures.
    ///
    /// Spreads the retries of the instances.
    fn jitter(&self, backoff: Duration) -> Duration {
        let failures = self.failures.to_le_bytes();
        let reduction = xxh3_64_with_seed(&failures, self.seed) % 512;
        let reduction = u32::try_from(reduction).unwrap_or(0);
        backoff * (1024 - reduction) / 1024
    }
}
