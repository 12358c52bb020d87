//! Shares the results of calls to plain services: instances report theirs to the holder of each
//! endpoint's zone, which adds them up and states the sums.

use std::{collections::BTreeSet, rc::Rc, time::Instant};

use caraway_routes::CallTally;
use caraway_types::EndpointId;
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// Weight of calls below which their results are no longer stated.
const NEGLIGIBLE_CALLS: f64 = 0.1;

/// Results of calls to an endpoint: of one instance since its last ping, or of all instances lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ResultFrame {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Number of calls; not whole if it is a sum of calls that lose their weight with time.
    pub(crate) calls: f64,
    /// Number of those that failed.
    #[serde(default)]
    pub(crate) failed: f64,
    /// Sum of the times that the answers took, in seconds.
    #[serde(default)]
    pub(crate) answer_time: f64,
}

impl ResultFrame {
    fn new(endpoint: EndpointId, tally: &CallTally) -> Self {
        Self {
            endpoint,
            calls: tally.calls,
            failed: tally.failed,
            answer_time: tally.answer_time,
        }
    }

    fn tally(&self) -> CallTally {
        CallTally::new(self.calls, self.failed, self.answer_time)
    }
}

/// Returns the results of this instance's calls to the endpoints of `zone` since the last time.
pub(crate) fn take_own(shared: &Shared, zone: &str) -> Vec<ResultFrame> {
    let directory = shared.directory.borrow();
    let is_plain = |id: &EndpointId| {
        let endpoint = directory.get(id);
        endpoint.is_some_and(|e| *e.zone == *zone && !e.is_engine)
    };
    let results = shared.load_balancer.borrow_mut().take_results(is_plain);
    let frames = results.into_iter();
    frames
        .map(|(id, tally)| ResultFrame::new(id, &tally))
        .collect()
}

/// Adds results of an instance's calls to those that this one sums up as the holder of their zone.
pub(crate) fn on_reported(shared: &Shared, now: Instant, results: &[ResultFrame]) {
    let directory = shared.directory.borrow();
    let mut sums = shared.call_results.borrow_mut();
    sums.retain(|_, sum| sum.at(now).calls > NEGLIGIBLE_CALLS);
    for result in results {
        if directory.get(&result.endpoint).is_some() {
            let sum = sums.entry(result.endpoint.clone()).or_default();
            sum.add(now, &result.tally());
        }
    }
}

/// Returns the summed results of the endpoints of a zone that this instance holds.
pub(crate) fn summed(shared: &Shared, now: Instant, zone: &str) -> Vec<ResultFrame> {
    let directory = shared.directory.borrow();
    let sums = shared.call_results.borrow();
    let of_zone = sums
        .iter()
        .filter(|(id, _)| directory.get(id).is_some_and(|e| *e.zone == *zone));
    let summed = of_zone.map(|(id, sum)| ResultFrame::new(id.clone(), &sum.at(now)));
    summed.filter(|f| f.calls > NEGLIGIBLE_CALLS).collect()
}

/// Records the summed results that a holder states.
pub(crate) fn on_summed(shared: &Shared, now: Instant, results: &[ResultFrame]) {
    let directory = shared.directory.borrow();
    let mut balancer = shared.load_balancer.borrow_mut();
    for result in results {
        if directory.get(&result.endpoint).is_some() {
            balancer.set_shared(now, &result.endpoint, &result.tally());
        }
    }
}

/// Adds the results of this instance's own calls to the endpoints of the zones that it holds, and uses
/// the sums. If an endpoint has become worse than the others of its service, all instances learn of it
/// at once: the next pings are up to half a second away.
pub(crate) fn update_held(shared: &Rc<Shared>) {
    let now = Shared::now();
    for held in shared.held_zones() {
        let own = take_own(shared, &held.zone);
        on_reported(shared, now, &own);
        on_summed(shared, now, &summed(shared, now, &held.zone));
        if find_worse(shared, now) {
            held.broadcast_pong(shared);
        }
    }
}

/// Returns whether an endpoint of a service whose results this instance sums up has become worse than
/// another.
fn find_worse(shared: &Shared, now: Instant) -> bool {
    let directory = shared.directory.borrow();
    let sums = shared.call_results.borrow();
    let endpoints = sums.keys().filter_map(|id| directory.get(id));
    let services: BTreeSet<&str> = endpoints.map(|e| &*e.service).collect();
    let mut balancer = shared.load_balancer.borrow_mut();
    let compare = |service| balancer.find_worse(now, directory.of_service(service));
    services
        .into_iter()
        .map(compare)
        .fold(false, |any, new| any | new)
}
