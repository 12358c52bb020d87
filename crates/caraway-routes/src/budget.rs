//! [`RepeatBudget`]: an instance's share of the repeats that a service takes.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

/// Sets how many repeats the instances of a deployment may send together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimits {
    /// Span over which repeats are counted.
    pub window: Duration,
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats in a window beyond those that requests earn, for all instances together.
    pub slack: f64,
    /// Instances that share the slack.
    pub instances: usize,
}

impl Default for RepeatLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 50.0,
            instances: 8,
        }
    }
}

/// Part of the allowed repeats that is used, as instances count their windows apart.
const USED_PART: f64 = 0.8;

/// Counts requests and repeats for each service over a sliding window.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    services: HashMap<Arc<str>, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RepeatBudget {
    /// Makes an empty budget.
    #[must_use]
    pub fn new(limits: RepeatLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: RepeatLimits) {
        self.limits = limits;
    }

    /// Counts a request's first sending.
    pub fn on_request(&mut self, now: Instant, service: &Arc<str>) {
        let counts = self.counts(now, service);
        counts.requests.push_back(now);
    }

    /// Takes one repeat; false when none is left.
    pub fn take(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let allowed = self.allowed(now, service);
        let counts = self.counts(now, service);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let used = counts.repeats.len() as f64;
        let fits = used + 1.0 <= allowed;
        if fits {
            counts.repeats.push_back(now);
        }
        fits
    }

    fn allowed(&mut self, now: Instant, service: &Arc<str>) -> f64 {
        let limits = self.limits;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let (sent, share) = (
            self.counts(now, service).requests.len() as f64,
            limits.slack / limits.instances.max(1) as f64,
        );
        USED_PART * (limits.ratio * sent + share)
    }

    fn counts(&mut self, now: Instant, service: &Arc<str>) -> &mut Counts {
        let window = self.limits.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        let counts = self
            .services
            .get_mut(service)
            .expect("the entry was inserted above");
        for times in [&mut counts.requests, &mut counts.repeats] {
            while times
                .front()
                .is_some_and(|t| now.saturating_duration_since(*t) > window)
            {
                times.pop_front();
            }
        }
        counts
    }
}
