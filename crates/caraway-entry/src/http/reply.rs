//! Turns refusals and answers into HTTP.

use std::{convert::Infallible, time::Duration};

use caraway_types::{Reason, Refusal, RequestId};
use futures_util::stream::poll_fn;
use ntex::{http::StatusCode, util::Bytes, web::HttpResponse};
use serde::Serialize;
use tokio::sync::mpsc::Receiver;

use super::{ask::REQUEST_HEADER, caller::CallerError};

/// Header that says whether a refused request may have run.
const CERTAINTY_HEADER: &str = "x-certainty";

/// Answers with a refusal.
pub(crate) fn refuse(id: Option<&RequestId>, refusal: Refusal) -> HttpResponse {
    let mut response = HttpResponse::build(status(refusal.reason));
    if let Some(wait) = refusal.retry_after {
        response.header("retry-after", seconds(wait.get()).to_string());
    }
    if let Some(id) = id {
        response.header(REQUEST_HEADER, &**id);
    }
    let certainty = match refusal.certainty {
        caraway_types::Certainty::NotRun => "not_run",
        caraway_types::Certainty::InDoubt => "in_doubt",
    };
    response.header(CERTAINTY_HEADER, certainty);
    response.json(&CallerError {
        error: refusal,
        id: id.cloned(),
    })
}

/// Answers with server-sent events, as they arrive.
pub(crate) fn events(id: &RequestId, mut parts: Receiver<Bytes>) -> HttpResponse {
    let body = poll_fn(move |cx| {
        parts
            .poll_recv(cx)
            .map(|part| part.map(Ok::<_, Infallible>))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header(REQUEST_HEADER, &**id)
        .streaming(body)
}

/// Writes one server-sent event.
pub(crate) fn event(data: &impl Serialize) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    if serde_json::to_writer(&mut bytes, data).is_err() {
        return Bytes::new();
    }
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Rounds up, so that nobody comes back too early.
fn seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::UnknownAccount => StatusCode::UNAUTHORIZED,
        Reason::UnknownAdapter | Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::OverLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::OutcomeUnknown => StatusCode::CONFLICT,
        Reason::EndpointFailed => StatusCode::BAD_GATEWAY,
        Reason::Stalled => StatusCode::GATEWAY_TIMEOUT,
        Reason::QueueFull
        | Reason::Deadline
        | Reason::LoadFailed
        | Reason::NoEndpoint
        | Reason::Leaving
        | Reason::LogUnavailable => StatusCode::SERVICE_UNAVAILABLE,
    }
}
