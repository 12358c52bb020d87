//! [`LogService`]: a stand-in for the platform's append-only log.

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

/// How the log behaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Port of the server; zero lets the operating system choose.
    pub port: u16,
    /// Records of a stream that are kept at most.
    pub keep_records: usize,
    /// How long a record is kept.
    pub keep_time: Millis,
    /// Appends that are taken a second; zero takes all.
    pub rate: u32,
    /// Most records in one answer.
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

/// Faults of the log, none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Fails every call.
    pub down: bool,
    /// Time added to each call.
    pub slow: Millis,
    /// Appends from now on that take effect but lose their answer.
    pub lose_answers: u32,
    /// Appends from now on that are dropped without effect and without an answer.
    pub drop_appends: u32,
}

/// A running log.
#[derive(Debug)]
pub struct LogService {
    server: ServerThread,
    shared: Arc<Mutex<LogState>>,
}

/// The streams of the log.
#[derive(Debug)]
pub(crate) struct LogState {
    settings: LogSettings,
    faults: LogFaults,
    streams: BTreeMap<Arc<str>, Stream>,
    /// Appends within the current second.
    second_appends: u32,
    second_start: Option<Instant>,
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// It took effect.
    Appended(Appended),
    /// It took effect, or not, and the answer is lost.
    Lost,
    /// The rate is used up.
    Throttled,
    /// The log is out.
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
            second_appends: 0,
            second_start: None,
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

    /// Returns the address of the log.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Closes the server and waits for its thread.
    pub fn stop(&mut self) {
        self.server.stop();
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.shared).faults = faults;
    }

    /// Appends records to a stream past every fault and limit.
    pub fn append(&self, stream: &str, records: &[Arc<str>]) {
        lock(&self.shared).append_records(stream, records, Instant::now());
    }

    /// Returns all records of a stream that are kept.
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
    /// Takes an append as the faults and the rate allow.
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

    /// Tells whether the rate allows one more append in this second.
    fn rate_allows(&mut self, now: Instant) -> bool {
        let new_second = self.second_start.is_none_or(|at| (now - at).as_secs() >= 1);
        if new_second {
            self.second_start = Some(now);
            self.second_appends = 0;
        }
        self.second_appends += 1;
        self.settings.rate == 0 || self.second_appends <= self.settings.rate
    }
}
