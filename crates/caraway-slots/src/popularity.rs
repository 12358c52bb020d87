//! [`Popularity`]: estimates the request rate of each adapter version.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AdapterRef;
use serde::{Deserialize, Serialize};

/// Number of request times that are kept per adapter version.
const HISTORY_LENGTH: u8 = 8;
/// Time added to the observed span of a version with few requests, which lowers its estimated rate.
const PRIOR_SECONDS: f64 = 150.0;
/// Time after its last request at which an adapter version is forgotten.
const FORGET_AFTER: Duration = Duration::from_hours(2);
/// Minimum number of tracked versions at which those without recent requests are removed.
const MIN_SWEEP_SIZE: usize = 4096;
/// Time constant of the average of observed requests, in seconds.
const AVERAGE_SECONDS: f64 = 10.0;
/// Popularity has shifted if the observed rate is less than this fraction of the expected rate.
const SHIFT_FRACTION: f64 = 0.4;
/// Minimum number of requests expected within [`AVERAGE_SECONDS`] to detect a shift; a shortfall of
/// fewer requests is no evidence.
const MIN_EXPECTED_REQUESTS: f64 = 8.0;
/// Time after a shift in which no other shift is detected, in seconds.
const SHIFT_PAUSE_SECONDS: f32 = 60.0;
/// Delay between a shift and its detection, in seconds.
const SHIFT_DELAY_SECONDS: f32 = 10.0;
/// Number of missed requests from which no further requests for a version are expected.
const MAX_MISSED_REQUESTS: f64 = 8.0;
/// Fraction of its estimated rate that a version keeps without a request since a shift.
const STALE_FRACTION: f64 = 0.05;

/// Expected and observed request rates of the regularly used adapter versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests per second expected from the earlier rates of the versions.
    pub expected: f32,
    /// Requests per second that arrived recently.
    pub observed: f32,
}

/// Estimates the request rate of each adapter version.
///
/// The estimate uses the times of the last few requests of each version (O'Neil, O'Neil and Weikum,
/// "The LRU-K page replacement algorithm", 1993): a popular version is forgotten after a few of its
/// own request intervals, a rare one is remembered for long. A time without requests that is longer
/// than the estimate explains lowers it further. If the regularly used versions of all instances
/// together get far fewer requests than expected, popularity has shifted, and the rates of versions
/// without a request since then are reduced.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// Start of the time scale; other times here are seconds since then.
    origin: Instant,
    histories: HashMap<AdapterRef, RequestHistory>,
    /// Number of versions at which those without recent requests are removed.
    sweep_size: usize,
    /// Exponentially decayed average of the requests per second for regularly used versions.
    observed: f64,
    /// Time up to which `observed` was decayed.
    averaged_at: f32,
    /// Time of the last shift of popularity.
    last_shift: Option<f32>,
}

/// Ring buffer of the times of the last requests, in seconds since the origin.
#[derive(Clone, Copy, Debug, Default)]
struct RequestHistory {
    times: [f32; HISTORY_LENGTH as usize],
    /// Position that is written next.
    next: u8,
    /// Number of times in the buffer.
    count: u8,
}

impl Popularity {
    /// Creates an estimator without recorded requests; `now` is the start of its time scale.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            origin: now,
            histories: HashMap::new(),
            sweep_size: MIN_SWEEP_SIZE,
            observed: 0.0,
            averaged_at: 0.0,
            last_shift: None,
        }
    }

    /// Records a request for an adapter version.
    pub fn record_request(&mut self, now: Instant, adapter: &AdapterRef) {
        let at = self.seconds(now);
        self.decay_average(at);
        if let Some(history) = self.histories.get_mut(adapter) {
            if history.is_regular(at) {
                self.observed += 1.0 / AVERAGE_SECONDS;
            }
            if self.last_shift.is_some_and(|s| history.latest() < s) {
                *history = RequestHistory::default();
            }
            history.add(at);
            return;
        }
        if self.histories.len() >= self.sweep_size {
            self.remove_stale(at);
        }
        let mut history = RequestHistory::default();
        history.add(at);
        self.histories.insert(adapter.clone(), history);
    }

    /// Returns the estimated request rate of an adapter version, per second.
    #[must_use]
    pub fn rate(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let at = self.seconds(now);
        let Some(history) = self.histories.get(adapter) else {
            return 0.0;
        };
        let stale = self.last_shift.is_some_and(|s| history.latest() < s);
        history.rate(at) * if stale { STALE_FRACTION } else { 1.0 }
    }

    /// Returns the expected and observed request rates on this instance.
    #[expect(clippy::cast_possible_truncation, reason = "a rate needs few digits")]
    pub fn evidence(&mut self, now: Instant) -> Evidence {
        let at = self.seconds(now);
        self.decay_average(at);
        let regular = self.histories.values().filter(|r| r.is_regular(at));
        let expected: f64 = regular.map(RequestHistory::base_rate).sum();
        Evidence {
            expected: expected as f32,
            observed: self.observed as f32,
        }
    }

    /// Returns whether popularity has shifted, by the summed evidence of all instances, and records
    /// the shift.
    pub fn detect_shift(&mut self, now: Instant, total: Evidence) -> bool {
        let at = self.seconds(now);
        let (expected, observed) = (f64::from(total.expected), f64::from(total.observed));
        let paused = self
            .last_shift
            .is_some_and(|s| at - s < SHIFT_PAUSE_SECONDS);
        let enough = expected * AVERAGE_SECONDS >= MIN_EXPECTED_REQUESTS;
        let shifted = enough && !paused && observed < SHIFT_FRACTION * expected;
        if shifted {
            self.last_shift = Some(at - SHIFT_DELAY_SECONDS);
        }
        shifted
    }

    fn decay_average(&mut self, at: f32) {
        let span = f64::from(at - self.averaged_at).max(0.0);
        self.observed *= (-span / AVERAGE_SECONDS).exp();
        self.averaged_at = at;
    }

    /// Returns the number of tracked adapter versions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether no adapter version is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    fn remove_stale(&mut self, at: f32) {
        let limit = FORGET_AFTER.as_secs_f32();
        self.histories.retain(|_, r| at - r.latest() < limit);
        self.sweep_size = (2 * self.histories.len()).max(MIN_SWEEP_SIZE);
    }

    fn seconds(&self, now: Instant) -> f32 {
        now.saturating_duration_since(self.origin).as_secs_f32()
    }
}

impl RequestHistory {
    fn add(&mut self, at: f32) {
        self.times[usize::from(self.next)] = at;
        self.next = (self.next + 1) % HISTORY_LENGTH;
        self.count = (self.count + 1).min(HISTORY_LENGTH);
    }

    fn latest(&self) -> f32 {
        let i = (usize::from(self.next) + usize::from(HISTORY_LENGTH) - 1)
            % usize::from(HISTORY_LENGTH);
        self.times[i]
    }

    fn oldest(&self) -> f32 {
        let i = if self.count < HISTORY_LENGTH {
            0
        } else {
            usize::from(self.next)
        };
        self.times[i]
    }

    /// Returns the mean requests per second between the oldest and the latest recorded request.
    fn base_rate(&self) -> f64 {
        let span = f64::from(self.latest() - self.oldest()).max(1.0);
        f64::from(self.count.saturating_sub(1)) / span
    }

    /// Returns whether further requests are expected: the buffer is full and few requests were
    /// missed since the latest one.
    fn is_regular(&self, at: f32) -> bool {
        let missed = f64::from(at - self.latest()) * self.base_rate();
        self.count == HISTORY_LENGTH && missed < MAX_MISSED_REQUESTS
    }

    fn rate(&self, at: f32) -> f64 {
        let span = f64::from(at - self.oldest()).max(0.0);
        let silence = f64::from(at - self.latest()).max(0.0);
        let count = f64::from(self.count);
        let prior = PRIOR_SECONDS * (1.0 - count / (f64::from(HISTORY_LENGTH) + 1.0));
        let long_term = count / (span + prior);
        // One interval without a request is expected; each further one makes the rate less likely.
        let surplus = (silence * long_term - 1.0).max(0.0);
        long_term / (1.0 + surplus)
    }
}
