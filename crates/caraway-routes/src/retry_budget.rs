//! [`RetryBudget`]: limits the retries that an instance sends to each service.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

/// Limits on the retries that all instances of a deployment send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Length of the sliding window over which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed per window in addition to `ratio`, for all instances together.
    pub slack: f64,
    /// Number of instances that divide `slack` evenly among them.
    pub instances: usize,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: 50.0,
            instances: 8,
        }
    }
}

/// Fraction of the allowed retries that an instance spends. The rest is a margin, because the
/// windows of the instances are not aligned.
const SPENT_FRACTION: f64 = 0.8;

/// Counts requests and retries per service over a sliding window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: HashMap<Arc<str>, Window>,
}

/// Timestamps of what was sent to one service within the window, oldest first.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget for which no request has been counted.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Replaces the limits. Requests and retries that were already counted still count.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Records the first attempt of a request to `service`.
    pub fn on_request(&mut self, now: Instant, service: &Arc<str>) {
        let window = self.window(now, service);
        window.requests.push_back(now);
    }

    /// Reserves one retry to `service`. Returns false if the budget is exhausted.
    pub fn try_acquire(&mut self, now: Instant, service: &Arc<str>) -> bool {
        let allowed = self.allowed_retries(now, service);
        let window = self.window(now, service);
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let used = window.retries.len() as f64;
        let fits = used + 1.0 <= allowed;
        if fits {
            window.retries.push_back(now);
        }
        fits
    }

    fn allowed_retries(&mut self, now: Instant, service: &Arc<str>) -> f64 {
        let limits = self.limits;
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let (requests, slack) = (
            self.window(now, service).requests.len() as f64,
            limits.slack / limits.instances.max(1) as f64,
        );
        SPENT_FRACTION * (limits.ratio * requests + slack)
    }

    /// Returns the window of `service` after dropping the timestamps that have left it.
    fn window(&mut self, now: Instant, service: &Arc<str>) -> &mut Window {
        let length = self.limits.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::default());
        }
        let window = self
            .services
            .get_mut(service)
            .expect("the entry was inserted above");
        for times in [&mut window.requests, &mut window.retries] {
            while times
                .front()
                .is_some_and(|t| now.saturating_duration_since(*t) > length)
            {
                times.pop_front();
            }
        }
        window
    }
}
