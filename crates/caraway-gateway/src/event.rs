//! Numbered log events; docs/GATEWAY-EVENTS.md lists them.

/// Declares the log events, each with its number, message and maximum number of lines per second.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $text:literal, $max_lines_per_second:literal;)*) => {
        /// A log event. Its number is stable across releases.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $name = $code,)*
        }

        impl Event {
            /// All events, in ascending order of their numbers.
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

            /// Returns the maximum number of the event's lines per second; the rest is suppressed.
            #[must_use]
            pub const fn max_lines_per_second(self) -> u32 {
                match self {
                    $(Self::$name => $max_lines_per_second,)*
                }
            }
        }
    };
}

events! {
    /// The daemon accepts requests.
    Started = 1000, "started", 10;
    /// The daemon received a stop signal.
    Draining = 1001, "draining", 10;
    /// The daemon stopped.
    Stopped = 1002, "stopped", 10;
    /// The settings file was reloaded.
    SettingsReloaded = 1003, "settings reloaded", 10;
    /// The reloaded settings file is invalid; the previous settings stay in force.
    SettingsInvalid = 1004, "settings unusable", 10;
    /// The instance became ready for new connections, or is no longer ready.
    ReadinessChanged = 1005, "readiness", 10;
    /// Lines of an event were suppressed because they exceeded its maximum rate.
    LinesSuppressed = 1006, "lines left out", 10;
    /// A configuration came into force.
    ConfigApplied = 1100, "configuration applied", 50;
    /// A configuration, or a part of it, is invalid.
    ConfigFinding = 1101, "configuration finding", 20;
    /// An adapter version was announced.
    VersionAnnounced = 1102, "version announced", 50;
    /// The platform's store fails to serve a topic.
    StoreLost = 1110, "store lost", 20;
    /// The platform's store serves a topic again.
    StoreRegained = 1111, "store regained", 20;
    /// The platform's store has returned from an older copy of itself, or states no valid era.
    StoreWentBack = 1112, "store went back", 20;
    /// An endpoint was added, changed its state, restarted or was removed.
    EndpointChanged = 1120, "endpoint changed", 50;
    /// An entry of the registry is invalid.
    EntryInvalid = 1121, "registry entry unusable", 10;
    /// An endpoint asked this instance to send no requests for a while.
    EndpointPaused = 1122, "endpoint paused", 20;
    /// The request rate that an endpoint accepts from all instances changed.
    EndpointLimited = 1123, "endpoint limit", 20;
    /// A request got no permit for an endpoint that limits the rate of its requests.
    PermitDenied = 1124, "permit denied", 20;
    /// An endpoint crashed while requests were without progress there.
    EndpointCrashed = 1125, "endpoint crashed", 20;
    /// Prompts with certain segments are kept from the endpoints that they crash.
    QuarantineStarted = 1126, "quarantine started", 20;
    /// A quarantine ended before its time.
    QuarantineEnded = 1127, "quarantine ended", 20;
    /// Evidence of a crash could not be shared with other instances.
    EvidenceLost = 1128, "evidence not shared", 20;
    /// The versions of a service's software that serve, or have served lately, changed.
    VersionsChanged = 1130, "software versions changed", 20;
    /// The software versions at which streams began could not be written to the store.
    OriginsLost = 1131, "origins of streams not stored", 20;
    /// This instance has lost its way to all endpoints, or found it again.
    ReachChanged = 1140, "reach of endpoints changed", 20;
    /// This instance has become short of processor time, or has enough again.
    ProcessorTimeChanged = 1141, "processor time changed", 10;
    /// A client account has used up its quota at this instance, or has allowance again.
    QuotaExhausted = 1150, "quota exhausted", 20;
    /// This instance reaches no holder that has allowance for client accounts, or does again.
    QuotaPoolsLost = 1151, "quota pools out of reach", 10;
    /// An instance became the holder of an availability zone's endpoints.
    HolderChanged = 1200, "holder changed", 20;
    /// This instance tried to become a zone's holder.
    ClaimTried = 1201, "claim tried", 20;
    /// This instance gave up a zone that it held.
    HoldingEnded = 1202, "holding ended", 20;
    /// A session to a zone's holder was opened.
    SessionOpened = 1210, "session up", 20;
    /// A session to a zone's holder ended.
    SessionLost = 1211, "session lost", 20;
    /// Another instance has opened a session to this one.
    PeerConnected = 1213, "instance connected", 20;
    /// A frame of another instance was skipped, as it can't be decoded; once for each kind.
    FrameSkipped = 1212, "frame skipped", 20;
    /// An order to an endpoint ended, with or without an answer.
    OrderEnded = 1300, "order ended", 60;
    /// An endpoint sent its report.
    ReportReceived = 1301, "report", 20;
    /// An endpoint sent no valid report.
    ReportMissing = 1302, "report missing", 20;
    /// The load of a placer of this instance, once per second.
    PlacerStats = 1303, "placer levels", 20;
    /// A request was granted an endpoint.
    EndpointGranted = 1400, "endpoint granted", 10;
    /// A request got an answer, or the first event of a stream.
    RequestAnswered = 1401, "answered", 10;
    /// A request was refused, or its stream broke off.
    RequestFailed = 1402, "request failed", 200;
    /// An attempt at an endpoint ended without a complete answer.
    AttemptFailed = 1403, "attempt failed", 200;
    /// A request is sent to another endpoint after a failed attempt.
    RequestRetried = 1404, "request repeated", 100;
    /// A caller disconnected before its answer was complete.
    CallerLeft = 1405, "caller left", 50;
    /// A stream was resumed at another endpoint.
    StreamResumed = 1406, "stream resumed", 50;
    /// A request takes up a stream that broke off at its caller.
    StreamTakenUp = 1407, "stream taken up", 50;
    /// A request was handed over to an instance that reaches endpoints.
    RequestHandedOver = 1408, "request handed over", 50;
    /// A request was refused for its key or for its account's quota; callers may send many.
    RequestDenied = 1409, "request denied", 10;
    /// A request was refused as this instance is short of processor time, which more lines would use up.
    RequestShed = 1410, "request shed", 5;
    /// What an endpoint has sent can't be used as its answer.
    AnswerUnusable = 1411, "answer unusable", 50;
}

/// Logs an [`Event`] with its number and the key-value pairs after the semicolon, unless the event
/// has reached its maximum rate.
macro_rules! emit {
    ($shared:expr, $level:ident, $event:ident $(; $($kv:tt)*)?) => {{
        let event = $crate::event::Event::$event;
        if $shared.line_rates.admit(event) {
            slog::$level!($shared.log, "{}", event.text(); "event" => event.code() $(, $($kv)*)?);
        }
    }};
}
pub(crate) use emit;
