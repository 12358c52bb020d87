//! HTTP routes of the control port.
//!
//! - `POST /control/faults` replaces the faults of one stand-in, with a [`FaultRequest`].
//! - `POST /control/members` changes the instance list, with a [`ListChange`].
//! - `GET /control/ledger/{target}` returns the ledger of an engine, a service or the store.
//! - `GET /control/addresses` returns the addresses by id.

use std::sync::{Arc, Weak};

use caraway_wire::list::ListEntry;
use ntex::{
    util::Bytes,
    web::{
        self, HttpResponse, ServiceConfig,
        types::{Path, State},
    },
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use super::Components;

/// A request to replace the faults of one stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// Id of an engine, a service or a relay, or `log`, `list` or `store`.
    pub target: Arc<str>,
    /// The faults, such as [`EngineFaults`](crate::EngineFaults); faults left out are off.
    pub faults: Value,
}

/// A change of the instance list, applied in the order of the fields.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListChange {
    /// Members to add, or to replace by id.
    pub set: Vec<ListEntry>,
    /// Ids of members to mark as leaving.
    pub leaving: Vec<Arc<str>>,
    /// Ids of members to remove.
    pub remove: Vec<Arc<str>>,
}

type SharedComponents = State<Arc<Weak<Components>>>;

/// Registers the routes of the control port.
pub(crate) fn add_routes(config: &mut ServiceConfig) {
    config
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/members", web::post().to(change_members))
        .route("/control/ledger/{target}", web::get().to(ledger))
        .route("/control/addresses", web::get().to(addresses));
}

async fn set_faults(shared: SharedComponents, body: Bytes) -> HttpResponse {
    let result = with_components(&shared, |components| {
        components.set_faults(parse_json(&body)?)
    });
    response(result)
}

async fn change_members(shared: SharedComponents, body: Bytes) -> HttpResponse {
    let result = with_components(&shared, |components| {
        let change: ListChange = parse_json(&body)?;
        change.set.into_iter().for_each(|m| components.list.set(m));
        change
            .leaving
            .iter()
            .for_each(|id| components.list.mark_leaving(id));
        change
            .remove
            .iter()
            .for_each(|id| components.list.remove(id));
        Ok(())
    });
    response(result)
}

async fn ledger(shared: SharedComponents, target: Path<String>) -> HttpResponse {
    let ledger = shared
        .upgrade()
        .and_then(|components| components.ledger(&target));
    match ledger {
        Some(ledger) => HttpResponse::Ok().json(&ledger),
        None => HttpResponse::NotFound().body("no ledger of this target"),
    }
}

async fn addresses(shared: SharedComponents) -> HttpResponse {
    let addresses = shared.upgrade().map(|components| components.addresses());
    HttpResponse::Ok().json(&addresses)
}

/// Calls `f` with the stand-ins; fails if they have been dropped.
fn with_components(
    shared: &Weak<Components>,
    f: impl FnOnce(&Components) -> Result<(), Arc<str>>,
) -> Result<(), Arc<str>> {
    let components = shared.upgrade().ok_or("stopping")?;
    f(&components)
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Arc<str>> {
    serde_json::from_slice(body).map_err(|e| e.to_string().into())
}

/// Returns status 200, or status 400 with the problem as its body.
fn response(result: Result<(), Arc<str>>) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(problem) => HttpResponse::BadRequest().body(problem.to_string()),
    }
}
