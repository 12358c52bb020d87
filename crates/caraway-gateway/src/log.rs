//! Log lines: JSON on standard output, bounded in number, never blocking.

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

/// Sets how much is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLimits {
    /// Lines that wait to be written; more are dropped and counted.
    pub queue: usize,
    /// Pause between writes, in which lines gather.
    pub flush_interval: Duration,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            // Some seconds of every event at its rate; about a megabyte.
            queue: 4096,
            // Each write wakes a thread; an engineer who follows the lines does not notice more.
            flush_interval: Duration::from_millis(100),
        }
    }
}

/// Lines on their way to the writer.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Makes a queue and the end that a writer reads.
    #[must_use]
    pub fn new(limits: LogLimits) -> (Self, Receiver<Vec<u8>>) {
        let (lines, receiver) = sync_channel(limits.queue);
        let dropped = Arc::default();
        (Self { lines, dropped }, receiver)
    }

    /// Returns the number of lines that found the queue full.
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

/// Makes a logger whose lines go through `queue`.
pub fn json_logger(queue: LogQueue, instance: &str, zone: &str) -> Logger {
    let drain = LineDrain { queue };
    let values = o!("instance" => instance.to_owned(), "zone" => zone.to_owned());
    Logger::root(drain.fuse(), values)
}

/// Starts the thread that writes lines to standard output.
pub(crate) fn start_writer(lines: Receiver<Vec<u8>>, limits: LogLimits) {
    thread::spawn(move || {
        let mut batch = Vec::new();
        while let Ok(line) = lines.recv() {
            batch.extend_from_slice(&line);
            thread::sleep(limits.flush_interval);
            batch.extend(lines.try_iter().flatten());
            let mut out = std::io::stdout().lock();
            // Nobody can be told that standard output is closed.
            if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                return;
            }
            batch.clear();
        }
    });
}

/// Serializes each record and puts it into the queue as one line.
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

/// Usual length of a line, in bytes.
const LINE_CAPACITY_BYTES: usize = 384;

/// Bounds the lines of each event in a second and counts what is left out.
#[derive(Debug, Default)]
pub(crate) struct LineRateLimiter {
    windows: RefCell<HashMap<u16, RateWindow>>,
}

#[derive(Debug)]
struct RateWindow {
    start: Instant,
    lines: u32,
    suppressed: u64,
}

impl LineRateLimiter {
    /// Tells whether another line of `event` may be written.
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
        let fits = window.lines < event.max_lines_per_second();
        if fits {
            window.lines += 1;
        } else {
            window.suppressed += 1;
        }
        fits
    }

    /// Takes the number of lines that were left out, by event.
    pub(crate) fn take_suppressed(&self) -> Vec<(u16, u64)> {
        let mut windows = self.windows.borrow_mut();
        let suppressed = windows.iter_mut().filter(|(_, r)| r.suppressed > 0);
        suppressed
            .map(|(code, r)| (*code, std::mem::take(&mut r.suppressed)))
            .collect()
    }
}
