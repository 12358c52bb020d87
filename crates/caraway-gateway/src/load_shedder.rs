//! [`LoadShedder`]: which part of its requests an instance refuses while it is short of processor
//! time.

use std::time::Duration;

use caraway_routes::Route;

/// Limit of the lateness where no route sets a goal: the time in which an instance that has used up
/// its processor time continues.
const DEFAULT_LIMIT: Duration = Duration::from_millis(100);
/// Least limit; a process with little to do exceeds it only if it is stopped for most of that time.
const MIN_LIMIT: Duration = Duration::from_millis(50);
/// Passes through the queue of ready tasks that an answer of a plain service needs: the request and
/// the endpoint's answer.
const PLAIN_PASSES: u32 = 2;
/// Passes that the first event of a stream needs, twice those of its request, grant, answer and event:
/// an engine needs the rest of the goal.
const STREAM_PASSES: u32 = 8;
/// Number of requests in flight up to which none is refused: the lateness then has another cause than
/// the callers' requests.
const MIN_IN_FLIGHT: usize = 4;
/// Largest part of the requests that is refused; the rest shows when there is processor time again.
const MAX_REFUSED: f64 = 0.95;
/// Change of the refused part with each sample, for each multiple of the limit by which timers are too
/// late. Larger steps overshoot, as a change shows only once the requests in flight have ended.
const INTEGRAL_STEP: f64 = 0.06;
/// Part that is refused in addition for each multiple of the limit by which timers are too late.
const PROPORTIONAL_PART: f64 = 0.1;
/// Largest multiple of the limit that counts. Beyond it, a lateness says how long ago the shortage
/// began rather than how large it is.
const MAX_EXCESS: f64 = 3.0;

/// Which part of its requests an instance refuses while it is short of processor time.
///
/// It is short if its timers are late: a timer waits behind all tasks that are ready, as a request
/// does that arrives at the same time. A single late timer shows no shortage, as a process may be
/// stopped for a while, so the lesser lateness of two successive timers counts. The refused part
/// follows it so that it stays at a limit from which requests would miss their goals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadShedder {
    /// Lateness to stay below.
    limit: Duration,
    /// Lateness of the last timer.
    last: Duration,
    /// Lesser lateness of the last two timers.
    lateness: Duration,
    /// The refused part that has built up.
    integral: f64,
    /// Part of the requests that is refused.
    refused: f64,
    is_short: bool,
}

impl Default for LoadShedder {
    fn default() -> Self {
        Self {
            limit: DEFAULT_LIMIT,
            last: Duration::ZERO,
            lateness: Duration::ZERO,
            integral: 0.0,
            refused: 0.0,
            is_short: false,
        }
    }
}

impl LoadShedder {
    /// Sets the lateness to stay below to that up to which requests of all routes meet their goals.
    pub fn set_routes<'a>(&mut self, routes: impl IntoIterator<Item = &'a Route>) {
        let routes = routes.into_iter().filter(|r| !r.latency_goal.is_zero());
        let limits = routes.map(|route| {
            let passes = if route.streaming {
                STREAM_PASSES
            } else {
                PLAIN_PASSES
            };
            route.latency_goal / passes
        });
        self.limit = limits.min().unwrap_or(DEFAULT_LIMIT).max(MIN_LIMIT);
    }

    /// Records that a timer was `late` by this time. Returns whether the instance is short of
    /// processor time if that has changed.
    pub fn on_timer(&mut self, late: Duration) -> Option<bool> {
        self.lateness = late.min(self.last);
        self.last = late;
        let limit = self.limit.as_secs_f64();
        // A late timer stands for those that were due in the meantime.
        let samples = 1.0 + (self.lateness.as_secs_f64() / limit).min(MAX_EXCESS);
        let excess = (self.lateness.as_secs_f64() / limit - 1.0).min(MAX_EXCESS);
        self.integral = (self.integral + INTEGRAL_STEP * samples * excess).clamp(0.0, MAX_REFUSED);
        let refused = self.integral + PROPORTIONAL_PART * excess;
        self.refused = refused.clamp(0.0, MAX_REFUSED);
        // The part may reach zero between two samples of one shortage.
        let is_short = self.refused > 0.0 || self.integral > 0.0;
        let has_changed = self.is_short != is_short;
        self.is_short = is_short;
        has_changed.then_some(is_short)
    }

    /// Returns whether to refuse a request; `draw` is a uniform sample from 0 to 1.
    #[must_use]
    pub fn refuses(&self, in_flight: usize, draw: f64) -> bool {
        in_flight > MIN_IN_FLIGHT && draw < self.refused
    }

    /// Returns the part of the requests that is refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        self.refused
    }

    /// Returns by how much timers are late.
    #[must_use]
    pub fn lateness(&self) -> Duration {
        self.lateness
    }
}
