//! Numbered log events; docs/GATEWAY-EVENTS.md is their catalogue.

/// Declares the events with their numbers, names and the lines of each that a second may have.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $text:literal, $rate:literal;)*) => {
        /// A log event; its number stays the same for ever.
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

            /// Returns how many lines of it a second may have.
            #[must_use]
            pub const fn rate(self) -> u32 {
                match self {
                    $(Self::$name => $rate,)*
                }
            }
        }
    };
}

events! {
    /// The daemon serves.
    Started = 1000, "started", 10;
    /// The daemon was told to stop.
    Draining = 1001, "draining", 10;
    /// The daemon stopped.
    Stopped = 1002, "stopped", 10;
    /// The settings file was read again.
    Reloaded = 1003, "settings reloaded", 10;
    /// The settings file can't be used; the former settings stay.
    SettingsBad = 1004, "settings unusable", 10;
    /// The instance takes new connections, or stops taking them.
    Readiness = 1005, "readiness", 10;
    /// Lines were left out, as there were too many of an event or the queue was full.
    LinesDropped = 1006, "lines left out", 10;
    /// A configuration is in force.
    ConfigApplied = 1100, "configuration applied", 50;
    /// A configuration, or a part of it, can't be used.
    ConfigFinding = 1101, "configuration finding", 20;
    /// An adapter version was announced.
    VersionAnnounced = 1102, "version announced", 50;
    /// The platform's store does not serve a topic.
    StoreLost = 1110, "store lost", 20;
    /// The platform's store serves a topic again.
    StoreRegained = 1111, "store regained", 20;
    /// An endpoint is new, changed its state, started again or is gone.
    EndpointChanged = 1120, "endpoint changed", 50;
    /// An entry of the registry can't be used.
    EntryUnusable = 1121, "registry entry unusable", 10;
    /// An endpoint wants no requests of this instance for a while.
    EndpointPaused = 1122, "endpoint paused", 20;
    /// An instance holds the endpoints of an availability zone.
    HolderChanged = 1200, "holder changed", 20;
    /// This instance tries to become a zone's holder.
    ClaimTried = 1201, "claim tried", 20;
    /// This instance gives up the endpoints that it held.
    HolderEnded = 1202, "holding ended", 20;
    /// A connection to a zone's holder is open.
    SessionUp = 1210, "session up", 20;
    /// A connection to a zone's holder ended.
    SessionLost = 1211, "session lost", 20;
    /// An order was sent and ended.
    Ordered = 1300, "order ended", 60;
    /// An endpoint gave its report.
    Reported = 1301, "report", 20;
    /// An endpoint gave no usable report.
    ReportMissing = 1302, "report missing", 20;
    /// What a placer has to do, once a second.
    PlacerLevels = 1303, "placer levels", 20;
    /// An endpoint was chosen for a request.
    Granted = 1400, "endpoint granted", 10;
    /// A request was answered whole.
    Answered = 1401, "answered", 10;
    /// A request was refused, or ended without a whole answer.
    Failed = 1402, "request failed", 200;
    /// An attempt at an endpoint did not give an answer.
    AttemptFailed = 1403, "attempt failed", 200;
    /// A request is sent again.
    Repeated = 1404, "request repeated", 100;
    /// A caller left before its answer was whole.
    CallerLeft = 1405, "caller left", 50;
    /// A stream goes on at another endpoint.
    Resumed = 1406, "stream resumed", 50;
}

/// Logs an [`Event`] with its number, and key-value pairs after a semicolon.
macro_rules! emit {
    ($shared:expr, $level:ident, $event:ident $(; $($kv:tt)*)?) => {{
        let event = $crate::event::Event::$event;
        if $shared.line_rates.admit(event) {
            slog::$level!($shared.log, "{}", event.text(); "event" => event.code() $(, $($kv)*)?);
        }
    }};
}
pub(crate) use emit;
