//! Handling of what endpoints signal in the heads of their answers: that they drain, that they want
//! no requests for a while, or that they limit the rate of requests.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use caraway_platform::{DrainState, ResponseHead, RetryAfter};
use caraway_routes::{Change, Endpoint};
use caraway_types::{EndpointId, ZoneId};

use crate::{endpoint_limits, event::emit, executor::millis, frame::ToHolder, shared::Shared};

/// The incarnation of an endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct EndpointIncarnation {
    pub(crate) endpoint: EndpointId,
    /// Start time of the incarnation, in Unix milliseconds, as the registry had it when the request
    /// was sent; `None` if unknown.
    pub(crate) started_ms: Option<u64>,
}

impl EndpointIncarnation {
    /// Returns the incarnation that the registry lists now.
    pub(crate) fn registered(shared: &Shared, endpoint: &EndpointId) -> Self {
        let directory = shared.directory.borrow();
        Self {
            endpoint: endpoint.clone(),
            started_ms: directory.get(endpoint).and_then(|e| e.started_ms),
        }
    }
}

/// Applies what the head of an answer says about the endpoint; `sent_at` is when the request was
/// sent.
pub(crate) fn handle_answer_head(
    shared: &Rc<Shared>,
    incarnation: &EndpointIncarnation,
    head: &ResponseHead,
    sent_at: Instant,
) {
    if head.drain_state == DrainState::Draining {
        on_draining(shared, incarnation);
    }
    match &head.retry_after {
        RetryAfter::None => {}
        RetryAfter::Delay(wait) => on_pause_request(shared, incarnation, *wait),
        RetryAfter::Invalid(text) => emit!(shared, warn, EndpointPaused;
            "endpoint" => &*incarnation.endpoint, "unreadable" => &**text),
    }
    endpoint_limits::on_answer(shared, incarnation, head, sent_at);
}

/// Marks an endpoint that says that it is draining, and reports it to the holder of its zone.
pub(crate) fn on_draining(shared: &Rc<Shared>, incarnation: &EndpointIncarnation) {
    let now = Shared::now();
    let changed = {
        let mut directory = shared.directory.borrow_mut();
        directory.on_draining(now, &incarnation.endpoint, incarnation.started_ms)
    };
    let Some(endpoint) = changed else {
        return;
    };
    emit!(shared, info, EndpointChanged; "endpoint" => &*endpoint.id, "change" => "Leaving",
        "endpoint_zone" => &*endpoint.zone);
    shared.pool.forget(&endpoint.id);
    if let Some(desk) = shared.held_zone(&endpoint.zone) {
        desk.with_placer(shared, |placer, now| {
            placer.on_endpoint(now, &endpoint, Change::Updated);
        });
    }
    report_draining_to_holder(shared, &endpoint);
}

/// Reports to the holder of an endpoint's zone that the endpoint is draining, which the registry
/// may not say yet.
pub(crate) fn report_draining_to_holder(shared: &Shared, endpoint: &Endpoint) {
    if let Some(session) = shared.session(&endpoint.zone) {
        session.send(&ToHolder::Leaving {
            endpoint: endpoint.id.clone(),
            born: endpoint.started_ms,
        });
    }
}

/// Reports to the holder of `zone` that an endpoint that it grants has left, which its copy of the
/// registry does not say, as when the store rejects the holder.
pub(crate) fn report_gone_to_holder(shared: &Shared, zone: &ZoneId, endpoint: &EndpointId) {
    let Some(session) = shared.session(zone) else {
        return;
    };
    let directory = shared.directory.borrow();
    for born in directory.removed_incarnations(endpoint) {
        session.send(&ToHolder::Leaving {
            endpoint: endpoint.clone(),
            born,
        });
    }
}

/// Records that an endpoint asked for a pause of `wait`.
fn on_pause_request(shared: &Shared, incarnation: &EndpointIncarnation, wait: Duration) {
    let now = Shared::now();
    let until = {
        let mut pauses = shared.pauses.borrow_mut();
        pauses.on_answer(now, &incarnation.endpoint, incarnation.started_ms, wait)
    };
    emit!(shared, info, EndpointPaused; "endpoint" => &*incarnation.endpoint,
        "asked_ms" => millis(wait), "ms" => millis(until.saturating_duration_since(now)));
}

/// The reason that this instance sends nothing to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockReason {
    /// The endpoint is draining.
    Draining,
    /// The endpoint has left.
    Gone,
    /// The endpoint asked for a pause.
    Paused,
}

impl BlockReason {
    /// Returns the reason as in log lines and metric labels.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "the endpoint leaves",
            Self::Gone => "the endpoint has left",
            Self::Paused => "the endpoint asked for a pause",
        }
    }
}

impl Shared {
    /// Returns the reason that this instance may send nothing to an endpoint, `None` if it may.
    ///
    /// `started_ms` is the start time of the incarnation that was chosen; `None` if unknown. A holder may
    /// grant one that this instance does not know yet, but none that it knows to have left.
    pub(crate) fn block_reason(
        &self,
        endpoint: &EndpointId,
        started_ms: Option<u64>,
    ) -> Option<BlockReason> {
        let directory = self.directory.borrow();
        let Some(known) = directory.get(endpoint) else {
            let mut removed = directory.removed_incarnations(endpoint);
            let is_gone = removed.any(|r| started_ms.is_none() || r == started_ms);
            return is_gone.then_some(BlockReason::Gone);
        };
        if !known.is_ready() {
            return Some(BlockReason::Draining);
        }
        self.is_paused(known).then_some(BlockReason::Paused)
    }

    /// Returns whether an endpoint has asked this instance for a pause that is not over.
    pub(crate) fn is_paused(&self, endpoint: &Endpoint) -> bool {
        let pauses = self.pauses.borrow();
        pauses.paused_until(Self::now(), endpoint).is_some()
    }

    /// Counts a request that is about to be sent to this incarnation if the endpoint has a limit.
    pub(crate) fn record_limited_send(
        &self,
        incarnation: &EndpointIncarnation,
        kind: &'static str,
    ) {
        if self.limits.is_limited(incarnation) {
            self.metrics.record_limited_send(kind);
        }
    }

    /// Returns the endpoints that a request must not go to: those in `exclude`, and those that have
    /// asked this instance for a pause.
    pub(crate) fn excluded_endpoints(&self, exclude: &[EndpointId]) -> Vec<EndpointId> {
        let pauses = self.pauses.borrow();
        let directory = self.directory.borrow();
        let is_current = |id: &EndpointId, started_ms| {
            directory
                .get(id)
                .is_some_and(|e| e.started_ms == started_ms)
        };
        let paused_incarnations = pauses.paused_incarnations(Self::now());
        let current = paused_incarnations.filter(|(id, started_ms)| is_current(id, *started_ms));
        let mut excluded = exclude.to_vec();
        excluded.extend(current.map(|(id, _)| id.clone()));
        excluded
    }
}
