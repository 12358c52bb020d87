//! [`LogReader`]: schedules reads of the log and tracks whether the log is healthy.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use caraway_types::InstanceId;

use super::FollowerSettings;

/// Maximum number of times that consecutive failures double the backoff.
const DOUBLINGS_MAX: u32 = 10;

/// Schedules reads of the log, one in flight at a time, with exponential backoff after failures.
#[derive(Debug)]
pub(crate) struct LogReader {
    seed: u64,
    reading: Option<Instant>,
    next_read: Instant,
    failures: u32,
    last_page: Option<Instant>,
    at_end: bool,
}

impl LogReader {
    pub(crate) fn new(id: &InstanceId, now: Instant) -> Self {
        Self {
            seed: xxh3_64_with_seed(id.as_bytes(), 0),
            reading: None,
            next_read: now,
            failures: 0,
            last_page: None,
            at_end: false,
        }
    }

    /// Returns whether to send a read now; if so, records it as sent.
    ///
    /// A read that exceeded its timeout counts as failed.
    pub(crate) fn start(&mut self, now: Instant, settings: &FollowerSettings) -> bool {
        let sent = self.reading;
        if sent.is_some_and(|sent| now >= sent + settings.request_ms.get()) {
            self.on_failure(now, settings);
        }
        let due = self.reading.is_none() && now >= self.next_read;
        if due {
            self.reading = Some(now);
        }
        due
    }

    /// Handles a page; `more` is true if the log has records after it.
    pub(crate) fn on_page(&mut self, now: Instant, more: bool, settings: &FollowerSettings) {
        self.reading = None;
        self.failures = 0;
        self.last_page = Some(now);
        self.at_end = !more;
        self.next_read = if more {
            now
        } else {
            now + settings.poll_ms.get()
        };
    }

    /// Handles a failed read and schedules the next one.
    pub(crate) fn on_failure(&mut self, now: Instant, settings: &FollowerSettings) {
        self.reading = None;
        let doublings = self.failures.min(DOUBLINGS_MAX);
        self.failures += 1;
        let wait = settings.retry_min_ms.get() * 2u32.pow(doublings);
        self.next_read = now + self.jitter(wait.min(settings.retry_max_ms.get()));
    }

    /// Makes the next read due without waiting for the poll interval.
    pub(crate) fn read_at_once(&mut self) {
        self.at_end = false;
        self.next_read = self.last_page.unwrap_or(self.next_read);
    }

    /// Returns whether the latest read succeeded and is recent.
    pub(crate) fn is_healthy(&self, now: Instant, settings: &FollowerSettings) -> bool {
        let limit = settings.poll_ms.get() + settings.stale_ms.get();
        self.failures == 0 && self.last_page.is_some_and(|at| now < at + limit)
    }

    /// Returns whether the latest page reached the end of the log.
    pub(crate) fn at_end(&self) -> bool {
        self.at_end
    }

    /// Shortens a wait by up to half, depending on the instance and the number of failures.
    ///
    /// Spreads the retries of the instances.
    fn jitter(&self, wait: Duration) -> Duration {
        let failure = self.failures.to_le_bytes();
        let share = xxh3_64_with_seed(&failure, self.seed) % 512;
        let share = u32::try_from(share).unwrap_or(0);
        wait * (1024 - share) / 1024
    }
}
