//! [`LogService`]: a test double for the platform's append-only log.

mod routes;
mod stream;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use caraway_types::Millis;
use caraway_wire::log::{Append, Appended, Page};
use serde::{Deserialize, Serialize};

use self::stream::Stream;
use crate::server_thread::ServerThread;

/// Settings of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Port of the server; zero lets the operating system choose.
    pub port: u16,
    /// Maximum number of records kept in each stream.
    pub keep_records: usize,
    /// How long a record is kept.
    pub keep_time: Millis,
    /// Maximum number of appends accepted per second, over all streams; zero means no limit.
    pub rate: u32,
    /// Maximum number of records in the answer to one read.
    pub page_limit: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            port: 0,
            keep_records: 1_000_000,
            keep_time: Millis::new(24 * 3_600 * 1_000),
            rate: 300,
            page_limit: 1_000,
        }
    }
}

/// Faults to inject into the log; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every request fails with status 503.
    pub down: bool,
    /// Time added to each request.
    pub slow: Millis,
    /// Number of the next appends that take effect, but whose answer is lost.
    pub lose_answers: u32,
    /// Number of the next appends that have no effect and get no answer.
    pub drop_appends: u32,
}

/// A running log; dropping it stops its server.
#[derive(Debug)]
pub struct LogService {
    server: ServerThread,
    shared: Arc<Mutex<LogState>>,
}

/// The streams, the active faults and the use of the append rate.
#[derive(Debug)]
pub(crate) struct LogState {
    settings: LogSettings,
    faults: LogFaults,
    streams: BTreeMap<Arc<str>, Stream>,
    /// Number of append requests since `window_start`.
    window_appends: u32,
    /// Start of the one-second window to which the rate applies.
    window_start: Option<Instant>,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// It took effect.
    Appended(Appended),
    /// Its answer is lost; it may have taken effect.
    Lost,
    /// The append rate is exhausted.
    Throttled,
    /// The log is down.
    Unavailable,
}

impl LogService {
    /// Starts an empty log.
    ///
    /// # Errors
    ///
    /// Returns the error of starting its server.
    pub fn start(settings: LogSettings) -> io::Result<Self> {
        let port = settings.port;
        let shared = Arc::new(Mutex::new(LogState {
            settings,
            faults: LogFaults::default(),
            streams: BTreeMap::new(),
            window_appends: 0,
            window_start: None,
        }));
        let no_task = |_| std::future::ready(());
        let server = ServerThread::start(
            "log",
            port,
            Arc::clone(&shared),
            routes::add_routes,
            no_task,
        )?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the log's server.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Stops the server and waits for its thread to end.
    pub fn stop(&mut self) {
        self.server.stop();
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Appends records to a stream directly, regardless of the faults and the rate.
    pub fn append(&self, stream: &str, records: &[Arc<str>]) {
        lock(&self.shared).append_records(stream, records, Instant::now());
    }

    /// Returns all kept records of a stream, regardless of the faults and the page limit.
    #[must_use]
    pub fn page(&self, stream: &str) -> Page {
        lock(&self.shared).read(stream, 0, usize::MAX, Instant::now())
    }
}

/// Locks the log.
pub(crate) fn lock(log: &Mutex<LogState>) -> std::sync::MutexGuard<'_, LogState> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LogState {
    /// Handles an append request, subject to the faults and the rate.
    fn append(&mut self, stream: &str, append: &Append, now: Instant) -> AppendOutcome {
        if self.faults.down {
            return AppendOutcome::Unavailable;
        }
        if !self.rate_allows(now) {
            return AppendOutcome::Throttled;
        }
        if self.faults.drop_appends > 0 {
            self.faults.drop_appends -= 1;
            return AppendOutcome::Lost;
        }
        let appended = self.append_records(stream, &append.records, now);
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return AppendOutcome::Lost;
        }
        AppendOutcome::Appended(appended)
    }

    fn append_records(&mut self, stream: &str, records: &[Arc<str>], now: Instant) -> Appended {
        let stream = self.streams.entry(stream.into()).or_default();
        let appended = stream.append(records, now);
        stream.trim(&self.settings, now);
        appended
    }

    fn read(&mut self, stream: &str, from: u64, max: usize, now: Instant) -> Page {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Page::default();
        };
        stream.trim(&self.settings, now);
        stream.page(from, max)
    }

    /// Counts an append and returns whether the rate allows it.
    fn rate_allows(&mut self, now: Instant) -> bool {
        let new_window = self.window_start.is_none_or(|at| (now - at).as_secs() >= 1);
        if new_window {
            self.window_start = Some(now);
            self.window_appends = 0;
        }
        self.window_appends += 1;
        self.settings.rate == 0 || self.window_appends <= self.settings.rate
    }
}
