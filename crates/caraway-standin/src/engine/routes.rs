//! HTTP routes of the engine.

use std::{io, sync::Arc, task::Poll};

use caraway_types::FencingToken;
use caraway_wire::engine::{
    CancelRequest, CompletionRequest, DONE, EngineError, EngineErrorKind, FENCING_TOKEN_HEADER,
    LoadRequest, UnloadRequest,
};
use futures_util::{Stream, stream};
use ntex::{
    http::StatusCode,
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, ServiceConfig, types::State},
};
use serde::de::DeserializeOwned;
use tokio::{sync::mpsc::UnboundedReceiver, time::Instant};

use super::{Shared, loads::LoadProgress, orders::LoadStart, state::engine_error};

type SharedEngine = State<Arc<Shared>>;

/// Registers the engine's routes.
pub(crate) fn add_routes(config: &mut ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(start_completion))
        .route("/v1/completions/cancel", web::post().to(cancel))
        .route("/v1/load_lora_adapter", web::post().to(load))
        .route("/v1/unload_lora_adapter", web::post().to(unload))
        .route("/load", web::get().to(report));
}

async fn start_completion(engine: SharedEngine, body: Bytes) -> HttpResponse {
    let request = match parse_json::<CompletionRequest>(&body) {
        Ok(request) => request,
        Err(error) => return error_response(&error),
    };
    match engine.with(|s| s.submit(request)) {
        Ok(events) => {
            engine.notify_work();
            HttpResponse::Ok()
                .content_type("text/event-stream")
                .streaming(Box::pin(stream_until_done(events)))
        }
        Err(error) => error_response(&error),
    }
}

async fn cancel(engine: SharedEngine, body: Bytes) -> HttpResponse {
    match parse_json::<CancelRequest>(&body) {
        Ok(request) => {
            engine.with(|s| s.cancel(&request.request_id));
            HttpResponse::Ok().finish()
        }
        Err(error) => error_response(&error),
    }
}

async fn load(engine: SharedEngine, request: HttpRequest, body: Bytes) -> HttpResponse {
    let accepted = parse_order::<LoadRequest>(&request, &body).and_then(|(order, fence)| {
        let start = engine.with(|s| s.begin_load(&order, fence))?;
        Ok((order, start))
    });
    let progress = match accepted {
        Ok((_, LoadStart::Existing(progress))) => progress,
        Ok((order, LoadStart::Fetch { serial, progress })) => {
            ntex::rt::spawn(fetch_weights(Arc::clone(&engine), order, serial));
            progress
        }
        Err(error) => return error_response(&error),
    };
    if wait_for_load(progress).await {
        HttpResponse::Ok().finish()
    } else {
        let message = "the weight store failed";
        error_response(&engine_error(EngineErrorKind::LoadFailed, message))
    }
}

/// Waits until a load completes or fails; returns whether it completed.
async fn wait_for_load(mut progress: LoadProgress) -> bool {
    progress.wait_for(|ready| *ready).await.is_ok()
}

/// Simulates fetching the weights of a load from the store and then completes or fails the load.
///
/// Runs as a task of its own, so it continues when the caller disconnects.
async fn fetch_weights(engine: Arc<Shared>, order: LoadRequest, serial: u64) {
    let store = engine.with(|s| s.settings.store.clone());
    let mut fetched = true;
    if let Some(store) = store {
        match store.begin_load(Instant::now().into_std(), &order.lora_path) {
            Ok(time) => {
                tokio::time::sleep(time).await;
                store.end_load();
            }
            Err(_) => fetched = false,
        }
    }
    engine.with(|s| s.end_load(&order.lora_name, serial, fetched));
}

async fn unload(engine: SharedEngine, request: HttpRequest, body: Bytes) -> HttpResponse {
    let result = parse_order::<UnloadRequest>(&request, &body)
        .and_then(|(order, fence)| engine.with(|s| s.unload(&order.lora_name, fence)));
    match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(error) => error_response(&error),
    }
}

async fn report(engine: SharedEngine) -> HttpResponse {
    let now = Instant::now().into_std();
    let report = engine.with(|s| {
        if s.faults.fail_reports > 0 {
            s.faults.fail_reports -= 1;
            return None;
        }
        Some(s.delayed_report(now))
    });
    match report {
        Some(report) => HttpResponse::Ok().json(&report),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Forwards the events up to [`DONE`]; a stream that ends before it ends with an error, which
/// aborts the response.
fn stream_until_done(
    mut events: UnboundedReceiver<Bytes>,
) -> impl Stream<Item = io::Result<Bytes>> {
    let done_event = format!("data: {DONE}");
    let mut ended = false;
    stream::poll_fn(move |context| {
        if ended {
            return Poll::Ready(None);
        }
        events.poll_recv(context).map(|event| {
            ended = event
                .as_ref()
                .is_none_or(|e| e.starts_with(done_event.as_bytes()));
            Some(event.ok_or_else(|| io::ErrorKind::ConnectionAborted.into()))
        })
    })
}

/// Parses the body of a load or unload order and its fencing token.
fn parse_order<T: DeserializeOwned>(
    request: &HttpRequest,
    body: &[u8],
) -> Result<(T, Option<FencingToken>), EngineError> {
    Ok((parse_json(body)?, parse_fence(request)?))
}

/// Returns the fencing token of the header, or `None` without the header.
fn parse_fence(request: &HttpRequest) -> Result<Option<FencingToken>, EngineError> {
    let Some(value) = request.headers().get(FENCING_TOKEN_HEADER) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    let message = format!("{FENCING_TOKEN_HEADER}: expected a decimal number");
    number
        .map(Some)
        .ok_or_else(|| engine_error(EngineErrorKind::BadRequest, &message))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, EngineError> {
    serde_json::from_slice(body)
        .map_err(|e| engine_error(EngineErrorKind::BadRequest, &e.to_string()))
}

/// Returns the response with the status for this kind of error and the error as JSON.
fn error_response(error: &EngineError) -> HttpResponse {
    let status = match error.error {
        EngineErrorKind::BadRequest => StatusCode::BAD_REQUEST,
        EngineErrorKind::UnknownModel => StatusCode::NOT_FOUND,
        EngineErrorKind::SlotsFull => StatusCode::CONFLICT,
        EngineErrorKind::StaleFence => StatusCode::PRECONDITION_FAILED,
        EngineErrorKind::LoadFailed => StatusCode::BAD_GATEWAY,
        EngineErrorKind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        EngineErrorKind::NotResumable => StatusCode::GONE,
    };
    HttpResponse::build(status).json(error)
}
