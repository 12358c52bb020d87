//! What operators and the platform's balancer ask.

use std::sync::{Arc, atomic::Ordering};

use caraway_types::{InstanceId, Offset, ZoneId};
use ntex::web::{HttpResponse, types::State};
use serde::Serialize;
use tokio::sync::oneshot;

use super::gate::Gate;
use crate::burn::BurnMessage;

/// Answers `GET /admin/status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    /// This instance.
    instance: InstanceId,
    /// Its availability zone.
    zone: ZoneId,
    /// Its incarnation.
    incarnation: u64,
    /// Offset after the last record in force.
    offset: Offset,
    /// Digest of the configuration in force, in hexadecimal.
    digest: String,
    /// Requests in flight.
    in_flight: usize,
    /// Whether it is leaving.
    leaving: bool,
}

/// `GET /healthz`: the process answers.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok")
}

/// `GET /readyz`: the instance takes requests.
pub(crate) async fn readyz(gate: State<Gate>) -> HttpResponse {
    let leaving = gate.shared.leaving.load(Ordering::Acquire);
    let empty = gate.shared.current_config().next() == 0;
    let held = gate.shared.ready.load(Ordering::Acquire);
    let why = match (leaving, empty, held) {
        (true, ..) => "leaving",
        (_, true, _) => "no configuration yet",
        (.., false) => "a replica has no holder yet",
        _ => return HttpResponse::Ok().body("ready"),
    };
    HttpResponse::ServiceUnavailable().body(why)
}

/// `GET /admin/burn`: the service-level counts since this instance's start.
pub(crate) async fn burn(gate: State<Gate>) -> HttpResponse {
    let (reply, answer) = oneshot::channel();
    if gate
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

/// `GET /metrics`: every metric in the text format that scrapers read.
pub(crate) async fn metrics(gate: State<Gate>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(gate.shared.metrics.text())
}

/// `GET /admin/status`.
pub(crate) async fn status(gate: State<Gate>) -> HttpResponse {
    let shared = &gate.shared;
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
