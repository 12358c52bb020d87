//! Writes log lines as JSON to standard output without blocking; a full queue drops lines, and each
//! event has a maximum number of lines per second.

use std::{
    cell::RefCell,
    collections::HashMap,
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use slog::{Drain, Logger, o};
use tokio::time::Instant;

use crate::Event;

/// Limits of the log writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// Maximum number of lines that wait to be written; further lines are dropped and counted.
    pub max_queued: usize,
    /// Time between writes, in which lines are batched.
    pub flush_interval: Duration,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            // Several seconds of every event at its maximum rate; about 1 MB.
            max_queued: 4096,
            // Each write wakes a thread; 100 ms are not noticeable to someone who follows the log.
            flush_interval: Duration::from_millis(100),
        }
    }
}

/// The sending end of the queue of log lines.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Creates a queue; returns its two ends, of which the writer reads the second.
    #[must_use]
    pub fn new(limits: LogLimits) -> (Self, Receiver<Vec<u8>>) {
        let (lines, receiver) = sync_channel(limits.max_queued);
        let dropped = Arc::default();
        (Self { lines, dropped }, receiver)
    }

    /// Returns the number of lines that were dropped because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Creates a logger that writes to `queue` and adds the instance and its zone to each line.
pub fn json_logger(queue: LogQueue, instance: &str, zone: &str) -> Logger {
    let drain = LineDrain { queue };
    let values = o!("instance" => instance.to_owned(), "zone" => zone.to_owned());
    Logger::root(drain.fuse(), values)
}

/// Starts the thread that writes the lines to standard output; it ends when standard output is
/// closed.
pub(crate) fn start_writer(lines: Receiver<Vec<u8>>, limits: LogLimits) {
    thread::spawn(move || {
        let mut batch = Vec::new();
        while let Ok(line) = lines.recv() {
            batch.extend_from_slice(&line);
            thread::sleep(limits.flush_interval);
            batch.extend(lines.try_iter().flatten());
            let mut out = std::io::stdout().lock();
            // There is no other place to report that standard output is closed.
            if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                return;
            }
            batch.clear();
        }
    });
}

/// Serializes each log record as one line of JSON and adds it to the queue.
struct LineDrain {
    queue: LogQueue,
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = slog::Error;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Error> {
        let mut line = Vec::with_capacity(LINE_CAPACITY_BYTES);
        slog_json::Json::default(&mut line).log(record, values)?;
        self.queue.clone().write_all(&line)?;
        Ok(())
    }
}

/// Initial capacity of a line's buffer, in bytes; most lines are shorter.
const LINE_CAPACITY_BYTES: usize = 384;

/// Limits the lines of each event per second and counts the suppressed ones.
#[derive(Debug, Default)]
pub(crate) struct LineRateLimiter {
    windows: RefCell<HashMap<u16, RateWindow>>,
}

/// The lines of one event in the current second.
#[derive(Debug)]
struct RateWindow {
    start: Instant,
    /// Lines that were written in it.
    lines: u32,
    /// Lines that were suppressed since the last report.
    suppressed: u64,
}

impl LineRateLimiter {
    /// Counts a line of `event`; returns whether it may be written.
    pub(crate) fn admit(&self, event: Event) -> bool {
        let now = Instant::now();
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(event.code()).or_insert(RateWindow {
            start: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(window.start) >= Duration::from_secs(1) {
            window.start = now;
            window.lines = 0;
        }
        let admitted = window.lines < event.max_lines_per_second();
        if admitted {
            window.lines += 1;
        } else {
            window.suppressed += 1;
        }
        admitted
    }

    /// Returns the number of suppressed lines of each event since the last call, by event number.
    pub(crate) fn take_suppressed(&self) -> Vec<(u16, u64)> {
        let mut windows = self.windows.borrow_mut();
        let suppressed = windows.iter_mut().filter(|(_, w)| w.suppressed > 0);
        suppressed
            .map(|(code, w)| (*code, std::mem::take(&mut w.suppressed)))
            .collect()
    }
}
