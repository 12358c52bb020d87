//! [`Chooser`]: which endpoint of a plain service a request goes to.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, ZoneId};

use crate::Endpoint;

/// How a call to an endpoint ended, as far as it tells about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered; the time it took.
    Answered(Duration),
    /// It answered with a failure of its own.
    Failed,
    /// It said that it did not run the request.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, was silent or carried something else than an answer.
    Broken,
    /// The call ended for a reason that is not the endpoint's.
    Dropped,
}

/// Weight of the newest call in the averages of an endpoint.
const NEWEST_WEIGHT: f64 = 0.1;
/// Share of failed calls beyond which an endpoint is avoided; above the failures (14 in 100) that
/// healthy endpoints of the deployments answer with.
const FAILING_SHARE: f64 = 0.35;
/// Time for which an unreachable endpoint is left alone at first.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which an endpoint is left alone; a crashed one is back after some 2 s.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Outstanding calls that another availability zone's endpoint must have fewer of to be worth the
/// way there.
const ZONE_MARGIN: u32 = 3;

/// Chooses between the endpoints of plain services by what this instance saw of them.
#[derive(Debug, Default)]
pub struct Chooser {
    seen: HashMap<EndpointId, Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    outstanding: u32,
    failing: f64,
    pause: Duration,
    paused: Option<Instant>,
    turn: u64,
}

impl Chooser {
    /// Chooses among `candidates`, but none of `tried`, and counts the call as outstanding.
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
                let (a, b) = (self.cost(now, zone, a), self.cost(now, zone, b));
                a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
            })?;
        let turn = self.seen.values().map(|s| s.turn).max().unwrap_or(0) + 1;
        let seen = self.seen.entry(best.id.clone()).or_default();
        seen.outstanding += 1;
        seen.turn = turn;
        Some(best.clone())
    }

    /// Notes how a call ended.
    pub fn on_end(&mut self, now: Instant, endpoint: &EndpointId, verdict: Verdict) {
        let Some(seen) = self.seen.get_mut(endpoint) else {
            return;
        };
        seen.outstanding = seen.outstanding.saturating_sub(1);
        let failed = match verdict {
            Verdict::Answered(_) => 0.0,
            Verdict::Failed | Verdict::Refused | Verdict::Broken | Verdict::Unreachable => 1.0,
            Verdict::Dropped => return,
        };
        seen.failing += NEWEST_WEIGHT * (failed - seen.failing);
        if verdict == Verdict::Unreachable {
            seen.pause = (seen.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
            seen.paused = Some(now + seen.pause);
        } else {
            seen.pause = Duration::ZERO;
        }
    }

    /// Forgets an endpoint that is gone or started again.
    pub fn forget(&mut self, endpoint: &str) {
        self.seen.remove(endpoint);
    }

    /// Orders endpoints: paused ones last, then failing ones, then by outstanding calls, then by
    /// turn.
    fn cost(&self, now: Instant, zone: &ZoneId, endpoint: &Endpoint) -> (bool, bool, u32, u64) {
        let far = if endpoint.zone == *zone {
            0
        } else {
            ZONE_MARGIN
        };
        let Some(seen) = self.seen.get(&endpoint.id) else {
            return (false, false, far, 0);
        };
        let paused = seen.paused.is_some_and(|until| now < until);
        let failing = seen.failing > FAILING_SHARE;
        (paused, failing, seen.outstanding + far, seen.turn)
    }
}
