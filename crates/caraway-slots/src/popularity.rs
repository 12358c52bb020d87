//! [`Popularity`]: how often each adapter version is asked for.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AdapterRef;
use serde::{Deserialize, Serialize};

/// Requests per adapter version that are remembered.
const MEMORY: u8 = 8;
/// Weighs against rates that rest on few requests, in seconds.
const PRIOR_SECONDS: f64 = 150.0;
/// An adapter version that was not asked for in this time is forgotten.
const FORGET: Duration = Duration::from_hours(2);
/// Versions that are remembered before the forgotten ones are dropped.
const SWEEP_SIZE: usize = 4096;
/// Time over which observed requests are averaged to notice a shift, in seconds.
const NOTICE_SECONDS: f64 = 10.0;
/// Popularity has shifted when fewer than this part of the expected requests come.
const NOTICE_PART: f64 = 0.4;
/// Requests that must be expected within [`NOTICE_SECONDS`] before their lack means anything.
const NOTICE_COUNT: f64 = 8.0;
/// After a shift, no other is looked for in this time, in seconds.
const NOTICE_PAUSE: f32 = 60.0;
/// A shift is noticed this long after it happened, in seconds.
const NOTICE_LAG: f32 = 10.0;
/// A version with more missed requests than this is not expected any more.
const GONE_COUNT: f64 = 8.0;
/// What remains of the rate of a version that was not asked for since a shift.
const STALE_PART: f64 = 0.05;

/// Requests for regularly used adapter versions, per second: what is expected and what comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Requests that the versions' rates so far promise.
    pub expected: f32,
    /// Requests that came lately.
    pub observed: f32,
}

/// Estimates the rate at which each adapter version is asked for.
///
/// The estimate rests on the last few requests of each version (O'Neil, O'Neil and Weikum, "The
/// LRU-K page replacement algorithm", 1993), so a popular version is forgotten within its own few
/// intervals and a rare one is remembered for long. Silence longer than the estimate explains
/// lowers it further. When the regularly used versions of all instances together are asked for
/// much less than expected, popularity has shifted, and what was not asked for since then counts
/// little.
#[derive(Clone, Debug)]
pub struct Popularity {
    origin: Instant,
    recent: HashMap<AdapterRef, Recent>,
    sweep: usize,
    /// Requests for regularly used versions per second, averaged up to `averaged`.
    observed: f64,
    averaged: f32,
    /// When popularity last shifted.
    shifted: Option<f32>,
}

/// Times of the last requests, in seconds since the origin.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    times: [f32; MEMORY as usize],
    next: u8,
    count: u8,
}

impl Popularity {
    /// Knows of no request.
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

    /// Notes a request.
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

    /// Returns the estimated requests per second.
    #[must_use]
    pub fn rate(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let at = self.seconds(now);
        let Some(recent) = self.recent.get(adapter) else {
            return 0.0;
        };
        let stale = self.shifted.is_some_and(|s| recent.last() < s);
        recent.rate(at) * if stale { STALE_PART } else { 1.0 }
    }

    /// Returns what speaks for or against a shift of popularity here.
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

    /// Judges the evidence of all instances together; true when popularity has shifted just now.
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

    /// Returns the number of adapter versions that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.recent.len()
    }

    /// Tells whether nothing is remembered.
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

    /// Returns the requests per second between the first and the last remembered one.
    fn base_rate(&self) -> f64 {
        let span = f64::from(self.last() - self.oldest()).max(1.0);
        f64::from(self.count.saturating_sub(1)) / span
    }

    /// Tells whether requests are expected to go on.
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
        // One interval of silence is expected; each further one makes the rate less likely.
        let surplus = (silence * long - 1.0).max(0.0);
        long / (1.0 + surplus)
    }
}
