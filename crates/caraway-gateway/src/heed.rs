//! What an endpoint's answers ask of this instance: that it leaves, or that nothing comes for a
//! while.

use std::{rc::Rc, time::Duration};

use caraway_platform::{AnswerHead, Pause, Standing};
use caraway_routes::{Change, Endpoint};
use caraway_types::EndpointId;

use crate::{event::emit, executor::millis, frame::ToHolder, shared::Shared};

/// The run of an endpoint that a call goes to.
#[derive(Clone, Debug)]
pub(crate) struct Callee {
    pub(crate) endpoint: EndpointId,
    /// When the run started, as far as it was known when the call was sent.
    pub(crate) born: Option<u64>,
}

impl Callee {
    /// Names the run that the registry lists now.
    pub(crate) fn of(shared: &Shared, endpoint: &EndpointId) -> Self {
        let directory = shared.directory.borrow();
        Self {
            endpoint: endpoint.clone(),
            born: directory.get(endpoint).and_then(|e| e.started_ms),
        }
    }
}

/// Heeds what the head of an answer asks for.
pub(crate) fn heed(shared: &Rc<Shared>, callee: &Callee, head: &AnswerHead) {
    if head.standing == Standing::Leaves {
        on_leaving(shared, callee);
    }
    match &head.pause {
        Pause::None => {}
        Pause::For(wait) => on_pause(shared, callee, *wait),
        Pause::Unreadable(text) => emit!(shared, warn, EndpointPaused;
            "endpoint" => &*callee.endpoint, "unreadable" => &**text),
    }
}

/// Notes that an endpoint says that it leaves, and tells the holder of its zone.
pub(crate) fn on_leaving(shared: &Rc<Shared>, callee: &Callee) {
    let now = Shared::now();
    let news = {
        let mut directory = shared.directory.borrow_mut();
        directory.on_draining(now, &callee.endpoint, callee.born)
    };
    let Some(endpoint) = news else {
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
    tell_holder(shared, &endpoint);
}

/// Tells the holder of an endpoint's zone that the endpoint leaves; the holder may not know it from
/// the registry.
pub(crate) fn tell_holder(shared: &Shared, endpoint: &Endpoint) {
    if let Some(session) = shared.session(&endpoint.zone) {
        session.send(&ToHolder::Leaving {
            endpoint: endpoint.id.clone(),
            born: endpoint.started_ms,
        });
    }
}

fn on_pause(shared: &Shared, callee: &Callee, wait: Duration) {
    let now = Shared::now();
    let until = {
        let mut pauses = shared.pauses.borrow_mut();
        pauses.on_answer(now, &callee.endpoint, callee.born, wait)
    };
    emit!(shared, info, EndpointPaused; "endpoint" => &*callee.endpoint,
        "asked_ms" => millis(wait), "ms" => millis(until.saturating_duration_since(now)));
}

/// Why nothing may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bar {
    /// It leaves.
    Leaves,
    /// It asked for a pause.
    Paused,
}

impl Bar {
    /// Says why in a log line.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Leaves => "the endpoint leaves",
            Self::Paused => "the endpoint asked for a pause",
        }
    }
}

impl Shared {
    /// Tells why this instance may send nothing to an endpoint.
    pub(crate) fn bar(&self, endpoint: &EndpointId) -> Option<Bar> {
        let directory = self.directory.borrow();
        let known = directory.get(endpoint)?;
        if !known.is_ready() {
            return Some(Bar::Leaves);
        }
        self.is_paused(known).then_some(Bar::Paused)
    }

    /// Tells whether an endpoint asked this instance to send nothing yet.
    pub(crate) fn is_paused(&self, endpoint: &Endpoint) -> bool {
        let pauses = self.pauses.borrow();
        pauses.paused_until(Self::now(), endpoint).is_some()
    }

    /// Returns the endpoints that a request must not go to: those that it avoids, and those that
    /// asked this instance for a pause.
    pub(crate) fn avoided(&self, own: &[EndpointId]) -> Vec<EndpointId> {
        let pauses = self.pauses.borrow();
        let directory = self.directory.borrow();
        let is_current =
            |id: &EndpointId, born| directory.get(id).is_some_and(|e| e.started_ms == born);
        let runs = pauses.paused_incarnations(Self::now());
        let waiting = runs.filter(|(id, born)| is_current(id, *born));
        let mut avoided = own.to_vec();
        avoided.extend(waiting.map(|(id, _)| id.clone()));
        avoided
    }
}
