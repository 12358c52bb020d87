//! The log's HTTP routes.

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

use super::{AppendEnd, Log, lock};
use crate::drop_io::drop_connection;

/// Longest accepted append, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Which records to read.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct Range {
    from: Offset,
    max: usize,
}

impl Default for Range {
    fn default() -> Self {
        Self {
            from: 0,
            max: usize::MAX,
        }
    }
}

/// Adds the log's routes.
pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .state(web::types::PayloadConfig::default().limit(BODY_LIMIT))
        .route("/v1/streams/{stream}/append", web::post().to(append))
        .route("/v1/streams/{stream}/read", web::get().to(read));
}

async fn append(
    log: State<Arc<Mutex<Log>>>,
    request: HttpRequest,
    stream: Path<String>,
    body: Bytes,
) -> HttpResponse {
    let records = match serde_json::from_slice::<Append>(&body) {
        Ok(records) => records,
        Err(error) => return HttpResponse::BadRequest().body(error.to_string()),
    };
    delay(&log).await;
    let now = Instant::now().into_std();
    let end = lock(&log).append(&stream, &records, now);
    match end {
        AppendEnd::Done(appended) => HttpResponse::Ok().json(&appended),
        AppendEnd::Lost => drop_connection(&request),
        AppendEnd::Throttled => HttpResponse::TooManyRequests().finish(),
        AppendEnd::Down => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn read(
    log: State<Arc<Mutex<Log>>>,
    stream: Path<String>,
    range: Query<Range>,
) -> HttpResponse {
    delay(&log).await;
    let now = Instant::now().into_std();
    let mut log = lock(&log);
    if log.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let max = range.max.min(log.settings.page_limit);
    HttpResponse::Ok().json(&log.read(&stream, range.from, max, now))
}

/// Waits as long as the faults ask.
async fn delay(log: &Mutex<Log>) {
    let slow = lock(log).faults.slow.get();
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
}
