//! Handlers for operators and for the health checks of the platform's load balancer.

use std::sync::{Arc, atomic::Ordering};

use caraway_types::{InstanceId, Offset, ZoneId};
use ntex::web::{HttpResponse, types::State};
use serde::Serialize;
use tokio::sync::oneshot;

use super::app_state::AppState;
use crate::burn::BurnMessage;

/// Response body of `GET /admin/status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    /// Id of this instance.
    instance: InstanceId,
    /// Availability zone of this instance.
    zone: ZoneId,
    /// Incarnation, which grows with each start of the instance.
    incarnation: u64,
    /// Log offset after the last applied configuration record.
    offset: Offset,
    /// Digest of the current configuration, in hexadecimal.
    digest: String,
    /// Number of requests in flight.
    in_flight: usize,
    /// Whether the instance is stopping and refuses new requests.
    leaving: bool,
}

/// Handles `GET /healthz`: succeeds while the process runs.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok")
}

/// Handles `GET /readyz`: succeeds if the instance accepts requests, and otherwise says why not.
pub(crate) async fn readyz(app: State<AppState>) -> HttpResponse {
    let leaving = app.shared.leaving.load(Ordering::Acquire);
    let has_no_config = app.shared.current_config().next() == 0;
    let has_holders = app.shared.ready.load(Ordering::Acquire);
    let reason = match (leaving, has_no_config, has_holders) {
        (true, ..) => "leaving",
        (_, true, _) => "no configuration yet",
        (.., false) => "a replica has no holder yet",
        _ => return HttpResponse::Ok().body("ready"),
    };
    HttpResponse::ServiceUnavailable().body(reason)
}

/// Handles `GET /admin/burn`: returns the service-level counts since the start of this instance.
pub(crate) async fn burn(app: State<AppState>) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    if app
        .shared
        .rings
        .burn
        .push(BurnMessage::SnapshotRequest(reply))
        .is_err()
    {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match answer.await {
        Ok(snapshot) => HttpResponse::Ok().json(&snapshot),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Handles `GET /metrics`: returns all metrics in the Prometheus text format.
pub(crate) async fn metrics(app: State<AppState>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(app.shared.metrics.text())
}

/// Handles `GET /admin/status`.
pub(crate) async fn status(app: State<AppState>) -> HttpResponse {
    let shared = &app.shared;
    let state = shared.current_config();
    HttpResponse::Ok().json(&Status {
        instance: Arc::clone(&shared.settings.instance),
        zone: Arc::clone(&shared.settings.zone),
        incarnation: shared.incarnation,
        offset: state.next(),
        digest: format!("{:016x}", state.digest()),
        in_flight: shared.in_flight.load(Ordering::Acquire),
        leaving: shared.leaving.load(Ordering::Acquire),
    })
}
