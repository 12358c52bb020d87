//! The control port's HTTP routes.
//!
//! - `POST /control/faults` takes [`FaultRequest`].
//! - `POST /control/members` takes [`ListChange`].
//! - `GET /control/ledger/{target}` answers with what the target did.
//! - `GET /control/addresses` answers with the addresses by id.

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

/// Replaces the faults of one stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// Id of the stand-in, or `log`, `list` or `store`.
    pub target: Arc<str>,
    /// Its faults; what is left out is off.
    pub faults: Value,
}

/// Changes the members of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListChange {
    /// Members to add or replace.
    pub set: Vec<ListEntry>,
    /// Members to mark as leaving.
    pub leaving: Vec<Arc<str>>,
    /// Members to drop.
    pub remove: Vec<Arc<str>>,
}

type Shared = State<Arc<Weak<Components>>>;

/// Adds the control port's routes.
pub(crate) fn add_routes(config: &mut ServiceConfig) {
    config
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/members", web::post().to(change_members))
        .route("/control/ledger/{target}", web::get().to(ledger))
        .route("/control/addresses", web::get().to(addresses));
}

async fn set_faults(shared: Shared, body: Bytes) -> HttpResponse {
    let result = with_components(&shared, |components| {
        components.set_faults(parse_json(&body)?)
    });
    response(result)
}

async fn change_members(shared: Shared, body: Bytes) -> HttpResponse {
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

async fn ledger(shared: Shared, target: Path<String>) -> HttpResponse {
    let ledger = shared
        .upgrade()
        .and_then(|components| components.ledger(&target));
    match ledger {
        Some(ledger) => HttpResponse::Ok().json(&ledger),
        None => HttpResponse::NotFound().body("no ledger of this target"),
    }
}

async fn addresses(shared: Shared) -> HttpResponse {
    let addresses = shared.upgrade().map(|components| components.addresses());
    HttpResponse::Ok().json(&addresses)
}

/// Calls `f` unless the stand-ins are stopping.
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

fn response(result: Result<(), Arc<str>>) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(problem) => HttpResponse::BadRequest().body(problem.to_string()),
    }
}
