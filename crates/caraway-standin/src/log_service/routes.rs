//! HTTP routes of the log.

use std::sync::{Arc, Mutex};

use caraway_types::Offset;
use caraway_wire::log::Append;
use ntex::{
    util::Bytes,
    web::{
        self, HttpRequest, HttpResponse, ServiceConfig,
        types::{Path, Query, State},
    },
};
use serde::Deserialize;
use tokio::time::Instant;

use super::{AppendOutcome, LogState, lock};
use crate::disconnect::abort_connection;

/// Maximum size of the body of an append, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Query of a read: the first offset and the maximum number of records.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct ReadQuery {
    from: Offset,
    max: usize,
}

impl Default for ReadQuery {
    fn default() -> Self {
        Self {
            from: 0,
            max: usize::MAX,
        }
    }
}

/// Registers the routes of the log.
pub(crate) fn add_routes(config: &mut ServiceConfig) {
    config
        .state(web::types::PayloadConfig::default().limit(MAX_BODY_BYTES))
        .route("/v1/streams/{stream}/append", web::post().to(append))
        .route("/v1/streams/{stream}/read", web::get().to(read));
}

async fn append(
    log: State<Arc<Mutex<LogState>>>,
    request: HttpRequest,
    stream: Path<String>,
    body: Bytes,
) -> HttpResponse {
    let records = match serde_json::from_slice::<Append>(&body) {
        Ok(records) => records,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    apply_delay(&log).await;
    let now = Instant::now().into_std();
    let outcome = lock(&log).append(&stream, &records, now);
    match outcome {
        AppendOutcome::Appended(appended) => HttpResponse::Ok().json(&appended),
        AppendOutcome::Lost => abort_connection(&request),
        AppendOutcome::Throttled => HttpResponse::TooManyRequests().finish(),
        AppendOutcome::Unavailable => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn read(
    log: State<Arc<Mutex<LogState>>>,
    stream: Path<String>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    apply_delay(&log).await;
    let now = Instant::now().into_std();
    let mut log = lock(&log);
    if log.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let max = query.max.min(log.settings.page_limit);
    HttpResponse::Ok().json(&log.read(&stream, query.from, max, now))
}

/// Waits for the delay that the active faults add.
async fn apply_delay(log: &Mutex<LogState>) {
    let delay = lock(log).faults.slow.get();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}
