//! What an endpoint's answers ask of this instance: that it leaves, or that nothing comes for a
//! while.

use std::{rc::Rc, time::Duration};

use caraway_platform::{AnswerHead, Pause, Standing};
use caraway_routes::{Change, Endpoint};
use caraway_types::EndpointId;

use crate::{event::emit, executor::millis, frame::ToHolder, shared::Shared};

/// The run of an endpoint that a call goes to.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRun {
    pub(crate) endpoint: EndpointId,
    /// When the run started, as far as it was known when the call was sent.
    pub(crate) started_ms: Option<u64>,
}

impl EndpointRun {
    /// Names the run that the registry lists now.
    pub(crate) fn registered(shared: &Shared, endpoint: &EndpointId) -> Self {
        let directory = shared.directory.borrow();
        Self {
            endpoint: endpoint.clone(),
            started_ms: directory.get(endpoint).and_then(|e| e.started_ms),
        }
    }
}

/// Heeds what the head of an answer asks for.
pub(crate) fn handle_answer_head(shared: &Rc<Shared>, run: &EndpointRun, head: &AnswerHead) {
    if head.standing == Standing::Leaves {
        on_draining(shared, run);
    }
    match &head.pause {
        Pause::None => {}
        Pause::For(wait) => on_pause_request(shared, run, *wait),
        Pause::Unreadable(text) => emit!(shared, warn, EndpointPaused;
            "endpoint" => &*run.endpoint, "unreadable" => &**text),
    }
}

/// Notes that an endpoint says that it leaves, and tells the holder of its zone.
pub(crate) fn on_draining(shared: &Rc<Shared>, run: &EndpointRun) {
    let now = Shared::now();
    let changed = {
        let mut directory = shared.directory.borrow_mut();
        directory.on_draining(now, &run.endpoint, run.started_ms)
    };
    let Some(endpoint) = changed else {
        return;
    };
    emit!(shared, info, EndpointChanged; "endpoint" => &*endpoint.id, "change" => "Leaving",
        "endpoint_zone" => &*endpoint.zone);
    shared.pool.forget(&endpoint.id);
    if let Some(desk) = shared.desk(&endpoint.zone) {
        desk.with(shared, |placer, now| {
            placer.on_endpoint(now, &endpoint, Change::Updated);
        });
    }
    report_draining_to_holder(shared, &endpoint);
}

/// Tells the holder of an endpoint's zone that the endpoint leaves; the holder may not know it from
/// the registry.
pub(crate) fn report_draining_to_holder(shared: &Shared, endpoint: &Endpoint) {
    if let Some(session) = shared.session(&endpoint.zone) {
        session.send(&ToHolder::Leaving {
            endpoint: endpoint.id.clone(),
            born: endpoint.started_ms,
        });
    }
}

fn on_pause_request(shared: &Shared, run: &EndpointRun, wait: Duration) {
    let now = Shared::now();
    let until = {
        let mut pauses = shared.pauses.borrow_mut();
        pauses.on_answer(now, &run.endpoint, run.started_ms, wait)
    };
    emit!(shared, info, EndpointPaused; "endpoint" => &*run.endpoint,
        "asked_ms" => millis(wait), "ms" => millis(until.saturating_duration_since(now)));
}

/// Why nothing may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockReason {
    /// It leaves.
    Draining,
    /// It asked for a pause.
    Paused,
}

impl BlockReason {
    /// Says why in a log line.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "the endpoint leaves",
            Self::Paused => "the endpoint asked for a pause",
        }
    }
}

impl Shared {
    /// Tells why this instance may send nothing to an endpoint.
    pub(crate) fn block_reason(&self, endpoint: &EndpointId) -> Option<BlockReason> {
        let directory = self.directory.borrow();
        let known = directory.get(endpoint)?;
        if !known.is_ready() {
            return Some(BlockReason::Draining);
        }
        self.is_paused(known).then_some(BlockReason::Paused)
    }

    /// Tells whether an endpoint asked this instance to send nothing yet.
    pub(crate) fn is_paused(&self, endpoint: &Endpoint) -> bool {
        let pauses = self.pauses.borrow();
        pauses.paused_until(Self::now(), endpoint).is_some()
    }

    /// Returns the endpoints that a request must not go to: those that it avoids, and those that
    /// asked this instance for a pause.
    pub(crate) fn excluded_endpoints(&self, exclude: &[EndpointId]) -> Vec<EndpointId> {
        let pauses = self.pauses.borrow();
        let directory = self.directory.borrow();
        let is_current = |id: &EndpointId, started_ms| {
            directory
                .get(id)
                .is_some_and(|e| e.started_ms == started_ms)
        };
        let paused_runs = pauses.paused_incarnations(Self::now());
        let paused = paused_runs.filter(|(id, started_ms)| is_current(id, *started_ms));
        let mut excluded = exclude.to_vec();
        excluded.extend(paused.map(|(id, _)| id.clone()));
        excluded
    }
}
