//! [`LoadBalancer`]: load balancing between the endpoints of a plain service.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, ZoneId};

use crate::{CallTally, Endpoint};

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

/// Weight that this instance's own results keep with each further call: about ten calls count.
const OWN_RETENTION: f64 = 0.9;
/// Age up to which the results of all instances are used.
const SHARED_VALIDITY: Duration = Duration::from_secs(2);
/// Of the choices that pass over an endpoint as worse than another, one in this many, at random, is it
/// nevertheless, to learn of its recovery. Of 300 calls per second these are five.
const PROBE_INTERVAL: u64 = 64;
/// Backoff after the first failed connection to an endpoint.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Largest backoff; a crashed endpoint is back after about 2 s.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Calls in flight that are added to endpoints of other availability zones when endpoints are
/// compared, because of the longer round trip.
const REMOTE_ZONE_PENALTY: u32 = 3;

/// Chooses between the endpoints of plain services by the results of this instance's calls and, as far
/// as it knows them, by those of all instances: one of many instances has too few calls to tell within
/// a second that an endpoint fails.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    stats: HashMap<EndpointId, Stats>,
    /// Whether an endpoint has become worse than another since the last [`Self::find_worse`].
    has_new_worse: bool,
    /// State of the random choices.
    random: u64,
}

/// What this instance observed of one endpoint.
#[derive(Debug, Default)]
struct Stats {
    in_flight: u32,
    /// Results of this instance's last calls.
    own: CallTally,
    /// Results of this instance that were not reported to other instances yet.
    unreported: CallTally,
    /// Results of all instances, and when they arrived.
    shared: Option<(Instant, CallTally)>,
    /// Whether another endpoint of the service is better.
    is_worse: bool,
    backoff: Duration,
    backoff_until: Option<Instant>,
    /// Sequence number of the last choice of this endpoint; breaks ties round-robin.
    last_turn: u64,
}

impl Stats {
    /// Returns the results that the endpoint is compared by.
    fn tally(&self, now: Instant) -> CallTally {
        match &self.shared {
            Some((at, tally)) if now.saturating_duration_since(*at) < SHARED_VALIDITY => {
                tally.at(now)
            }
            _ => self.own,
        }
    }
}

impl LoadBalancer {
    /// Creates a load balancer; `seed` makes the random choices of instances differ.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            random: seed,
            ..Self::default()
        }
    }

    /// Chooses the best ready endpoint of `candidates` except those in `tried`, and counts a call
    /// to it as in flight until [`Self::on_end`].
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        zone: &ZoneId,
        candidates: impl Iterator<Item = &'a Arc<Endpoint>>,
        tried: &[EndpointId],
    ) -> Option<Arc<Endpoint>> {
        let ready: Vec<_> = candidates.filter(|e| e.is_ready()).collect();
        self.compare(now, &ready);
        let untried = ready.into_iter().filter(|e| !tried.contains(&e.id));
        let is_probe = self.draw_probe();
        let best = untried.min_by(|a, b| {
            let (a, b) = (
                self.sort_key(now, zone, a, is_probe),
                self.sort_key(now, zone, b, is_probe),
            );
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
        if outcome == CallOutcome::Unrelated {
            return;
        }
        stats.own = stats.own.scaled(OWN_RETENTION);
        stats.own.on_call(outcome);
        stats.unreported.on_call(outcome);
        if outcome == CallOutcome::Unreachable {
            stats.backoff = (stats.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            stats.backoff_until = Some(now + stats.backoff);
        } else {
            stats.backoff = Duration::ZERO;
        }
    }

    /// Returns the results of this instance's calls since the last time, of the endpoints for which
    /// `is_wanted` holds.
    pub fn take_results(
        &mut self,
        is_wanted: impl Fn(&EndpointId) -> bool,
    ) -> Vec<(EndpointId, CallTally)> {
        let with_calls = self.stats.iter_mut();
        with_calls
            .filter(|(id, stats)| stats.unreported.calls > 0.0 && is_wanted(id))
            .map(|(id, stats)| (id.clone(), std::mem::take(&mut stats.unreported)))
            .collect()
    }

    /// Records the results of all instances' calls to an endpoint.
    pub fn set_shared(&mut self, now: Instant, endpoint: &EndpointId, tally: &CallTally) {
        let stats = self.stats.entry(endpoint.clone()).or_default();
        stats.shared = Some((now, tally.at(now)));
    }

    /// Compares the endpoints of a service; returns whether any has become worse than another since the
    /// last call.
    pub fn find_worse<'a>(
        &mut self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> bool {
        let ready: Vec<_> = endpoints.filter(|e| e.is_ready()).collect();
        self.compare(now, &ready);
        std::mem::take(&mut self.has_new_worse)
    }

    /// Compares each endpoint with the others of its service.
    fn compare(&mut self, now: Instant, endpoints: &[&Arc<Endpoint>]) {
        // Placers compare engines; the results that come here are of a few requests without a placer.
        if endpoints.len() < 2 || endpoints.iter().any(|e| e.is_engine) {
            return;
        }
        let tallies: Vec<CallTally> = endpoints
            .iter()
            .map(|e| {
                self.stats
                    .get(&e.id)
                    .map_or_else(CallTally::default, |s| s.tally(now))
            })
            .collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            if let Some(stats) = self.stats.get_mut(&endpoint.id) {
                let others = tallies.iter().enumerate().filter(|(n, _)| *n != number);
                let was_worse = stats.is_worse;
                stats.is_worse = others
                    .map(|(_, other)| other)
                    .any(|other| tallies[number].is_worse_than(other, was_worse));
                self.has_new_worse |= stats.is_worse && !was_worse;
            }
        }
        // If all are worse than another, none is worse than the rest.
        let is_worse = |e: &&Arc<Endpoint>| self.stats.get(&e.id).is_some_and(|s| s.is_worse);
        if endpoints.iter().all(is_worse) {
            for endpoint in endpoints {
                if let Some(stats) = self.stats.get_mut(&endpoint.id) {
                    stats.is_worse = false;
                }
            }
        }
    }

    /// Returns whether this choice prefers an endpoint that is worse than another.
    fn draw_probe(&mut self) -> bool {
        if !self.stats.values().any(|s| s.is_worse) {
            return false;
        }
        // A linear congruential generator with the constants of Knuth's MMIX.
        let next = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = next.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33).is_multiple_of(PROBE_INTERVAL)
    }

    /// Drops the statistics of an endpoint that was removed or restarted.
    pub fn forget(&mut self, endpoint: &str) {
        self.stats.remove(endpoint);
    }

    /// Returns the sort key of an endpoint; the smallest is chosen. Sorts endpoints in backoff
    /// last, then those that are worse than another (or first, for a probe), then by calls in flight,
    /// then by the least recent choice.
    fn sort_key(
        &self,
        now: Instant,
        zone: &ZoneId,
        endpoint: &Endpoint,
        is_probe: bool,
    ) -> (bool, bool, u32, u64) {
        let penalty = if endpoint.zone == *zone {
            0
        } else {
            REMOTE_ZONE_PENALTY
        };
        let Some(stats) = self.stats.get(&endpoint.id) else {
            return (false, is_probe, penalty, 0);
        };
        let in_backoff = stats.backoff_until.is_some_and(|until| now < until);
        (
            in_backoff,
            stats.is_worse != is_probe,
            stats.in_flight + penalty,
            stats.last_turn,
        )
    }
}
