//! Builds HTTP responses from refusals and from streams of events.

use std::{convert::Infallible, time::Duration};

use caraway_types::{Reason, Refusal, RequestId};
use futures_util::stream::poll_fn;
use ntex::{http::StatusCode, util::Bytes, web::HttpResponse};
use serde::Serialize;
use tokio::sync::mpsc::Receiver;

use super::{api::ErrorBody, request::REQUEST_HEADER};

/// Header that tells whether a refused request certainly did not run: `not_run` or `in_doubt`.
const CERTAINTY_HEADER: &str = "x-certainty";

/// Returns the response for a refusal; `id` is `None` if the request's id is not known.
pub(crate) fn refusal_response(id: Option<&RequestId>, refusal: Refusal) -> HttpResponse {
    let mut response = HttpResponse::build(status_code(refusal.reason));
    if let Some(delay) = refusal.retry_after {
        response.header("retry-after", round_up_to_seconds(delay.get()).to_string());
    }
    if let Some(id) = id {
        response.header(REQUEST_HEADER, &**id);
    }
    let certainty = match refusal.certainty {
        caraway_types::Certainty::NotRun => "not_run",
        caraway_types::Certainty::InDoubt => "in_doubt",
    };
    response.header(CERTAINTY_HEADER, certainty);
    response.json(&ErrorBody {
        error: refusal,
        id: id.cloned(),
    })
}

/// Returns a response that sends encoded server-sent events as they arrive.
pub(crate) fn event_stream(id: &RequestId, mut events: Receiver<Bytes>) -> HttpResponse {
    let body = poll_fn(move |cx| {
        events
            .poll_recv(cx)
            .map(|event| event.map(Ok::<_, Infallible>))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .header(REQUEST_HEADER, &**id)
        .streaming(body)
}

/// Encodes `data` as JSON in one server-sent event.
pub(crate) fn encode_event(data: &impl Serialize) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    if serde_json::to_writer(&mut bytes, data).is_err() {
        return Bytes::new();
    }
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}

/// Converts to whole seconds, rounded up so that no caller retries too early.
fn round_up_to_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}

fn status_code(reason: Reason) -> StatusCode {
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
        | Reason::LogUnavailable
        | Reason::Quarantined
        | Reason::NotResumable => StatusCode::SERVICE_UNAVAILABLE,
    }
}
