//! [`Popularity`]: estimates the request rate of each adapter version.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AdapterRef;
use serde::{Deserialize, Serialize};

/// Number of request times that are kept per adapter version.
const MEMORY: u8 = 8;
/// Time added to the observed span of a version with few requests, which lowers its estimated rate.
const PRIOR_SECONDS: f64 = 150.0;
/// Time after its last request at which an adapter version is forgotten.
const FORGET: Duration = Duration::from_hours(2);
/// Minimum number of tracked versions at which those without recent requests are removed.
const SWEEP_SIZE: usize = 4096;
/// Time constant of the average of observed requests, in seconds.
const NOTICE_SECONDS: f64 = 10.0;
/// Popularity has shifted if the observed rate is less than this fraction of the expected rate.
const NOTICE_PART: f64 = 0.4;
/// Minimum number of requests expected within [`NOTICE_SECONDS`] to detect a shift; a shortfall of
/// fewer requests is no evidence.
const NOTICE_COUNT: f64 = 8.0;
/// Time after a shift in which no other shift is detected, in seconds.
const NOTICE_PAUSE: f32 = 60.0;
/// Delay between a shift and its detection, in seconds.
const NOTICE_LAG: f32 = 10.0;
/// Number of missed requests from which no further requests for a version are expected.
const GONE_COUNT: f64 = 8.0;
/// Fraction of its estimated rate that a version keeps without a request since a shift.
const STALE_PART: f64 = 0.05;

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
    recent: HashMap<AdapterRef, Recent>,
    /// Number of versions at which those without recent requests are removed.
    sweep: usize,
    /// Exponentially decayed average of the requests per second for regularly used versions.
    observed: f64,
    /// Time up to which `observed` was decayed.
    averaged: f32,
    /// Time of the last shift of popularity.
    shifted: Option<f32>,
}

/// Ring buffer of the times of the last requests, in seconds since the origin.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    times: [f32; MEMORY as usize],
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
            recent: HashMap::new(),
            sweep: SWEEP_SIZE,
            observed: 0.0,
            averaged: 0.0,
            shifted: None,
        }
    }

    /// Records a request for an adapter version.
    pub fn count(&mut self, now: Instant, adapter: &AdapterRef) {
        let at = self.seconds(now);
        self.average(at);
        if let Some(recent) = self.recent.get_mut(adapter) {
            if recent.is_regular(at) {
                self.observed += 1.0 / NOTICE_SECONDS;
            }
            if self.shifted.is_some_and(|s| recent.last() < s) {
                *recent = Recent::default();
            }
            recent.add(at);
            return;
        }
        if self.recent.len() >= self.sweep {
            self.forget(at);
        }
        let mut recent = Recent::default();
        recent.add(at);
        self.recent.insert(adapter.clone(), recent);
    }

    /// Returns the estimated request rate of an adapter version, per second.
    #[must_use]
    pub fn rate(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let at = self.seconds(now);
        let Some(recent) = self.recent.get(adapter) else {
            return 0.0;
        };
        let stale = self.shifted.is_some_and(|s| recent.last() < s);
        recent.rate(at) * if stale { STALE_PART } else { 1.0 }
    }

    /// Returns the expected and observed request rates on this instance.
    #[expect(clippy::cast_possible_truncation, reason = "a rate needs few digits")]
    pub fn survey(&mut self, now: Instant) -> Evidence {
        let at = self.seconds(now);
        self.average(at);
        let regular = self.recent.values().filter(|r| r.is_regular(at));
        let expected: f64 = regular.map(Recent::base_rate).sum();
        Evidence {
            expected: expected as f32,
            observed: self.observed as f32,
        }
    }

    /// Returns whether popularity has shifted, by the summed evidence of all instances, and records
    /// the shift.
    pub fn judge(&mut self, now: Instant, all: Evidence) -> bool {
        let at = self.seconds(now);
        let (expected, observed) = (f64::from(all.expected), f64::from(all.observed));
        let paused = self.shifted.is_some_and(|s| at - s < NOTICE_PAUSE);
        let enough = expected * NOTICE_SECONDS >= NOTICE_COUNT;
        let shifted = enough && !paused && observed < NOTICE_PART * expected;
        if shifted {
            self.shifted = Some(at - NOTICE_LAG);
        }
        shifted
    }

    fn average(&mut self, at: f32) {
        let span = f64::from(at - self.averaged).max(0.0);
        self.observed *= (-span / NOTICE_SECONDS).exp();
        self.averaged = at;
    }

    /// Returns the number of tracked adapter versions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.recent.len()
    }

    /// Returns whether no adapter version is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty()
    }

    fn forget(&mut self, at: f32) {
        let limit = FORGET.as_secs_f32();
        self.recent.retain(|_, r| at - r.last() < limit);
        self.sweep = (2 * self.recent.len()).max(SWEEP_SIZE);
    }

    fn seconds(&self, now: Instant) -> f32 {
        now.saturating_duration_since(self.origin).as_secs_f32()
    }
}

impl Recent {
    fn add(&mut self, at: f32) {
        self.times[usize::from(self.next)] = at;
        self.next = (self.next + 1) % MEMORY;
        self.count = (self.count + 1).min(MEMORY);
    }

    fn last(&self) -> f32 {
        let i = (usize::from(self.next) + usize::from(MEMORY) - 1) % usize::from(MEMORY);
        self.times[i]
    }

    fn oldest(&self) -> f32 {
        let i = if self.count < MEMORY {
            0
        } else {
            usize::from(self.next)
        };
        self.times[i]
    }

    /// Returns the mean requests per second between the oldest and the latest recorded request.
    fn base_rate(&self) -> f64 {
        let span = f64::from(self.last() - self.oldest()).max(1.0);
        f64::from(self.count.saturating_sub(1)) / span
    }

    /// Returns whether further requests are expected: the buffer is full and few requests were
    /// missed since the latest one.
    fn is_regular(&self, at: f32) -> bool {
        let missed = f64::from(at - self.last()) * self.base_rate();
        self.count == MEMORY && missed < GONE_COUNT
    }

    fn rate(&self, at: f32) -> f64 {
        let span = f64::from(at - self.oldest()).max(0.0);
        let silence = f64::from(at - self.last()).max(0.0);
        let count = f64::from(self.count);
        let prior = PRIOR_SECONDS * (1.0 - count / (f64::from(MEMORY) + 1.0));
        let long = count / (span + prior);
        // One interval without a request is expected; each further one makes the rate less likely.
        let surplus = (silence * long - 1.0).max(0.0);
        long / (1.0 + surplus)
    }
}
