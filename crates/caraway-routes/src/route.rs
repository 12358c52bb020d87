//! [`Route`]: where requests of a path go, and how they are treated.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Says whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Running it again has no further effect.
    Idempotent,
    /// It must run at most once.
    #[default]
    AtMostOnce,
}

/// Shortest time for which callers wait for an event, by the protocol.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of a route's goal for which they wait, by the protocol.
const PATIENCE_GOALS: u32 = 4;
/// Multiple of a route's longest pause on time for which they wait, by the protocol.
const PATIENCE_PAUSES: u32 = 8;

/// A service that a route may choose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its share of the route's requests, against the sum of all shares.
    pub weight: u32,
}

/// Where requests of a path go, and how they are treated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: Arc<str>,
    /// Beginning of the paths that the route serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub streaming: bool,
    /// Whether a stream may go on at another endpoint after its last event.
    pub resumable: bool,
    /// Longest time that a caller is kept waiting for an answer.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub goal: Duration,
    /// Longest pause between events of a stream that is on time.
    pub pause: Option<Duration>,
    /// Rank among routes; 0 comes first.
    pub priority: u8,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// The services that requests go to.
    pub targets: Vec<Target>,
}

impl Route {
    /// Chooses a service by weight; `draw` is uniform in 0 to 1.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&Arc<str>> {
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

    /// Returns how long callers wait for a stream's next event, the first one included.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let pauses = self.pause.unwrap_or_default() * PATIENCE_PAUSES;
        LEAST_PATIENCE.max(self.goal * PATIENCE_GOALS).max(pauses)
    }

    /// Tells whether a request may run again after it may have run.
    #[must_use]
    pub fn may_rerun(&self) -> bool {
        self.repeat == Repeat::Idempotent || (self.streaming && self.resumable)
    }
}
