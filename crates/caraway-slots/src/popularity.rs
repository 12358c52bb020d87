//! [`Popularity`]: how often each adapter version is asked for.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use caraway_types::AdapterRef;

/// Requests per adapter version that are remembered.
const MEMORY: u8 = 8;
/// Weighs against rates that rest on few requests, in seconds.
const PRIOR_SECONDS: f64 = 60.0;
/// An adapter version that was not asked for in this time is forgotten.
const FORGET: Duration = Duration::from_hours(2);
/// Versions that are remembered before the forgotten ones are dropped.
const SWEEP_SIZE: usize = 4096;

/// Estimates the rate at which each adapter version is asked for.
///
/// The estimate rests on the last few requests of each version (O'Neil, O'Neil and Weikum, "The
/// LRU-K page replacement algorithm", 1993), so a popular version is forgotten within its own few
/// intervals and a rare one is remembered for long. Silence longer than the estimate explains
/// lowers it further.
#[derive(Clone, Debug)]
pub struct Popularity {
    origin: Instant,
    recent: HashMap<AdapterRef, Recent>,
    sweep: usize,
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
        }
    }

    /// Notes a request.
    pub fn count(&mut self, now: Instant, adapter: &AdapterRef) {
        let at = self.seconds(now);
        if let Some(recent) = self.recent.get_mut(adapter) {
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
        self.recent.get(adapter).map_or(0.0, |r| r.rate(at))
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
