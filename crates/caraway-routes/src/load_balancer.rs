//! [`LoadBalancer`]: load balancing between the endpoints of a plain service.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, ZoneId};

use crate::Endpoint;

/// How a call to an endpoint ended, as far as it reflects the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The endpoint answered within this time.
    Answered(Duration),
    /// The endpoint answered with an error of its own.
    Failed,
    /// The endpoint answered that it did not run the request.
    Refused,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, timed out or carried something other than a valid answer.
    Broken,
    /// The call ended for a reason unrelated to the endpoint, such as a caller that disconnected.
    Unrelated,
}

/// Weight of the newest call in an endpoint's moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.1;
/// Failure rate above which an endpoint is ranked behind the others. Healthy endpoints of the
/// deployments answer up to 14 in 100 calls with a failure.
const FAILURE_THRESHOLD: f64 = 0.35;
/// Backoff after the first failed connection to an endpoint.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Largest backoff; a crashed endpoint is back after about 2 s.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Calls in flight that are added to endpoints of other availability zones when endpoints are
/// compared, because of the longer round trip.
const REMOTE_ZONE_PENALTY: u32 = 3;

/// Chooses between the endpoints of plain services by the results of this instance's own calls.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    stats: HashMap<EndpointId, Stats>,
}

/// What this instance observed of one endpoint.
#[derive(Debug, Default)]
struct Stats {
    in_flight: u32,
    /// Exponentially weighted share of failed calls, from 0 to 1.
    failure_rate: f64,
    backoff: Duration,
    backoff_until: Option<Instant>,
    /// Sequence number of the last choice of this endpoint; breaks ties round-robin.
    last_turn: u64,
}

impl LoadBalancer {
    /// Chooses the best ready endpoint of `candidates` except those in `tried`, and counts a call
    /// to it as in flight until [`Self::on_end`].
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        candidates: impl Iterator<Item = &'a Arc<Endpoint>>,
        tried: &[EndpointId],
    ) -> Option<Arc<Endpoint>> {
        let best = candidates
            .filter(|e| e.is_ready() && !tried.contains(&e.id))
            .min_by(|a, b| {
                let (a, b) = (self.sort_key(now, zone, a), self.sort_key(now, zone, b));
                a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
            })?;
        let turn = self.stats.values().map(|s| s.last_turn).max().unwrap_or(0) + 1;
        let stats = self.stats.entry(best.id.clone()).or_default();
        stats.in_flight += 1;
        stats.last_turn = turn;
        Some(best.clone())
    }

    /// Records how a call to `endpoint` ended.
    pub fn on_end(&mut self, now: Instant, endpoint: &EndpointId, outcome: CallOutcome) {
        let Some(stats) = self.stats.get_mut(endpoint) else {
            return;
        };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        let failure = match outcome {
            CallOutcome::Answered(_) => 0.0,
            CallOutcome::Failed
            | CallOutcome::Refused
            | CallOutcome::Broken
            | CallOutcome::Unreachable => 1.0,
            CallOutcome::Unrelated => return,
        };
        stats.failure_rate += FAILURE_EWMA_WEIGHT * (failure - stats.failure_rate);
        if outcome == CallOutcome::Unreachable {
            stats.backoff = (stats.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            stats.backoff_until = Some(now + stats.backoff);
        } else {
            stats.backoff = Duration::ZERO;
        }
    }

    /// Drops the statistics of an endpoint that was removed or restarted.
    pub fn forget(&mut self, endpoint: &str) {
        self.stats.remove(endpoint);
    }

    /// Returns the sort key of an endpoint; the smallest is chosen. Sorts endpoints in backoff
    /// last, then those above the failure threshold, then by calls in flight, then by the least
    /// recent choice.
    fn sort_key(&self, now: Instant, zone: &ZoneId, endpoint: &Endpoint) -> (bool, bool, u32, u64) {
        let penalty = if endpoint.zone == *zone {
            0
        } else {
            REMOTE_ZONE_PENALTY
        };
        let Some(stats) = self.stats.get(&endpoint.id) else {
            return (false, false, penalty, 0);
        };
        let in_backoff = stats.backoff_until.is_some_and(|until| now < until);
        let is_failing = stats.failure_rate > FAILURE_THRESHOLD;
        (
            in_backoff,
            is_failing,
            stats.in_flight + penalty,
            stats.last_turn,
        )
    }
}
