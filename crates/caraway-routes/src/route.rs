//! [`Route`]: which services serve the requests under a path, and with which limits.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A second execution has no further effect.
    Idempotent,
    /// The request must be executed at most once.
    #[default]
    AtMostOnce,
}

/// Minimum time for which callers wait for an event, as the protocol defines it.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of a route's latency goal for which callers wait, as the protocol defines it.
const GOAL_MULTIPLE: u32 = 4;
/// Multiple of a route's largest gap between events for which callers wait, as the protocol
/// defines it.
const GAP_MULTIPLE: u32 = 8;

/// A service to which a route sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the route's requests, relative to the sum of the weights of all its targets.
    pub weight: u32,
}

/// Which services serve the requests under a path, and with which limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, chosen by the operators.
    pub name: Arc<str>,
    /// Value of the `Host` header that requests must carry.
    pub host: Arc<str>,
    /// Path prefix of the requests that match; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Whether answers are event streams.
    pub streaming: bool,
    /// Whether an interrupted stream may resume at another endpoint after its last event.
    pub resumable: bool,
    /// Longest time for which a caller waits for an answer.
    pub timeout: Duration,
    /// Latency goal: time within which an answer, or the first event of a stream, is on time.
    #[serde(rename = "goal")]
    pub latency_goal: Duration,
    /// Largest gap between two events of a stream that is on time; `None` if no goal is set.
    #[serde(rename = "pause")]
    pub max_gap: Option<Duration>,
    /// Whether requests need no key of a client account.
    #[serde(default)]
    pub public: bool,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of attempts for one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The services that share the route's requests.
    pub targets: Vec<Target>,
}

impl Route {
    /// Chooses a service at random by weight; `draw` is a uniform sample from 0 to 1. Returns
    /// `None` if the route has no targets.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }

    /// Returns how long callers wait for the next event of a stream, including the first one.
    #[must_use]
    pub fn event_timeout(&self) -> Duration {
        let gaps = self.max_gap.unwrap_or_default() * GAP_MULTIPLE;
        MIN_EVENT_TIMEOUT
            .max(self.latency_goal * GOAL_MULTIPLE)
            .max(gaps)
    }

    /// Returns whether a request may be executed again if an earlier attempt may have run.
    #[must_use]
    pub fn may_rerun(&self) -> bool {
        self.idempotency == Idempotency::Idempotent || (self.streaming && self.resumable)
    }
}
