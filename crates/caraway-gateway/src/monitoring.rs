//! Answers readiness checks of the platform and serves the metrics.

use std::rc::Rc;

use caraway_http::Payload;
use caraway_platform::{Topic, is_ready_check};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{event::emit, shared::Shared};

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Answers a readiness check of the platform.
pub(crate) fn readiness(shared: &Rc<Shared>, request: &Request<Incoming>) -> Response<Payload> {
    let mut response = Response::new(Payload::empty());
    let is_check = is_ready_check(request.method(), request.uri().path());
    *response.status_mut() = if !is_check {
        StatusCode::NOT_FOUND
    } else if update_readiness(shared) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

/// Answers a request for the metrics.
pub(crate) fn metrics(shared: &Rc<Shared>) -> Response<Payload> {
    match shared.metrics.render(shared.levels()) {
        Ok(text) => {
            let mut response = Response::new(Payload::whole(text.into()));
            let value = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, value);
            response
        }
        Err(e) => {
            let mut response = Response::new(Payload::whole(e.to_string().into()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

/// Updates whether this instance is ready for new connections, and logs a change. Returns the new
/// state.
fn update_readiness(shared: &Rc<Shared>) -> bool {
    let has_config = shared.routing.borrow().is_some();
    let has_endpoints = !shared.directory.borrow().is_empty();
    let is_draining = shared.is_draining();
    // Otherwise a starting instance would send requests that are in quarantine.
    let has_quarantines = shared.topics.borrow().is_read_or_failing(Topic::Shared);
    let ready = has_config && has_endpoints && has_quarantines && !is_draining;
    if shared.is_ready.replace(ready) != ready {
        emit!(shared, info, ReadinessChanged; "ready" => ready, "has_config" => has_config,
            "has_endpoints" => has_endpoints, "has_quarantines" => has_quarantines,
            "leaving" => is_draining);
    }
    ready
}
