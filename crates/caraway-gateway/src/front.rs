//! The addresses that the platform and its callers use: requests, readiness, metrics.

use std::rc::Rc;

use caraway_http::Payload;
use caraway_platform::is_ready_check;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{event::emit, shared::Shared};

/// Content type of metrics in the text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers the platform's question for readiness.
pub(crate) fn ready(shared: &Rc<Shared>, request: &Request<Incoming>) -> Response<Payload> {
    let mut response = Response::new(Payload::empty());
    let asked = is_ready_check(request.method(), request.uri().path());
    *response.status_mut() = if !asked {
        StatusCode::NOT_FOUND
    } else if is_ready(shared) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    response
}

/// Writes the metrics.
pub(crate) fn metrics(shared: &Rc<Shared>) -> Response<Payload> {
    match shared.metrics.text(shared.levels()) {
        Ok(text) => {
            let mut response = Response::new(Payload::whole(text.into()));
            let value = HeaderValue::from_static(METRICS_TYPE);
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

/// Tells whether the instance takes new connections, and logs a change.
fn is_ready(shared: &Rc<Shared>) -> bool {
    let has_config = shared.routing.borrow().is_some();
    let has_endpoints = !shared.directory.borrow().is_empty();
    let is_leaving = shared.is_draining();
    let ready = has_config && has_endpoints && !is_leaving;
    if shared.is_ready.replace(ready) != ready {
        emit!(shared, info, Readiness; "ready" => ready, "has_config" => has_config,
            "has_endpoints" => has_endpoints, "leaving" => is_leaving);
    }
    ready
}
