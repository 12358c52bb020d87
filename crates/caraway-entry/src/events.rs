//! Numbered log events, which docs/EVENTS.md lists.

use slog::{Drain, Logger, o};

/// Declares the events with their numbers and messages.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $text:literal;)*) => {
        /// A log event. Its number never changes, so that tools can match on it.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $name = $code,)*
        }

        impl Event {
            /// Every event, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the event's number.
            #[must_use]
            pub const fn code(self) -> u16 {
                self as u16
            }

            /// Returns the event's message.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// The daemon has started and serves requests.
    Started = 100, "started";
    /// The daemon received a request to stop and drains.
    Draining = 101, "draining";
    /// The daemon stopped.
    Stopped = 102, "stopped";
    /// A thread of the daemon ended early.
    ThreadFailed = 103, "thread failed";
    /// A ring between two threads is full.
    RingFull = 104, "ring full";
    /// A configuration record came into force.
    RecordAccepted = 200, "record accepted";
    /// A configuration record was refused at its offset, as on every instance.
    RecordRefused = 201, "record refused";
    /// The log can't be read.
    LogUnreachable = 202, "log unreachable";
    /// The log can be read again.
    LogReachable = 203, "log reachable";
    /// A record of a newer schema or kind is kept but not applied; what it governs stays unchanged.
    RecordHeld = 204, "record held";
    /// The configuration was taken from a snapshot.
    SnapshotInstalled = 205, "snapshot installed";
    /// A snapshot was not used.
    SnapshotRejected = 206, "snapshot rejected";
    /// The log dropped records that no snapshot covers.
    HistoryLost = 207, "history lost";
    /// The log ends before records that were already applied.
    LogBehind = 208, "log behind";
    /// A peer has another configuration at the same offset.
    Diverged = 209, "configuration differs";
    /// The list can't be read.
    ListUnreachable = 210, "list unreachable";
    /// The list can be read again.
    ListReachable = 211, "list reachable";
    /// A peer does not answer.
    PeerUnreachable = 220, "peer unreachable";
    /// A load order is sent to an engine.
    LoadOrdered = 300, "load ordered";
    /// A load order ended.
    LoadEnded = 301, "load ended";
    /// An unload order is sent to an engine.
    UnloadOrdered = 302, "unload ordered";
    /// An unload order ended.
    UnloadEnded = 303, "unload ended";
    /// A load report could not be read from an engine.
    ReportMissing = 304, "load report missing";
    /// An order was not sent because the permission for it may have expired since it was decided.
    OrderOverdue = 305, "order overdue";
    /// A request was refused.
    Refused = 400, "request refused";
    /// A chunk did not belong to its attempt and was dropped.
    ChunkDropped = 401, "chunk dropped";
    /// A broken stream was resumed.
    StreamResumed = 402, "stream resumed";
    /// An attempt failed.
    AttemptFailed = 403, "attempt failed";
    /// A caller disconnected before its answer was complete.
    CallerLeft = 404, "caller left";
}

/// Logs an [`Event`] with its number and the key-value pairs given after a semicolon.
macro_rules! emit {
    ($log:expr, $level:ident, $event:ident $(; $($kv:tt)*)?) => {{
        let event = $crate::events::Event::$event;
        slog::$level!($log, "{}", event.text(); "event" => event.code() $(, $($kv)*)?);
    }};
}
pub(crate) use emit;

/// Creates a logger that writes JSON lines to standard error from a separate thread. Every line
/// carries the instance and the zone.
pub fn json_logger(instance: &str, zone: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(
        drain,
        o!("instance" => instance.to_owned(), "zone" => zone.to_owned()),
    )
}
