//! The control port's HTTP routes.
//!
//! - `POST /control/faults` takes [`FaultOrder`].
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

use super::Parts;

/// Replaces the faults of one stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
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

type Shared = State<Arc<Weak<Parts>>>;

/// Adds the control port's routes.
pub(crate) fn routes(config: &mut ServiceConfig) {
    config
        .route("/control/faults", web::post().to(faults))
        .route("/control/members", web::post().to(members))
        .route("/control/ledger/{target}", web::get().to(ledger))
        .route("/control/addresses", web::get().to(addresses));
}

async fn faults(shared: Shared, body: Bytes) -> HttpResponse {
    let result = with(&shared, |parts| parts.set_faults(parse(&body)?));
    finish(result)
}

async fn members(shared: Shared, body: Bytes) -> HttpResponse {
    let result = with(&shared, |parts| {
        let change: ListChange = parse(&body)?;
        change.set.into_iter().for_each(|m| parts.list.set(m));
        change
            .leaving
            .iter()
            .for_each(|id| parts.list.mark_leaving(id));
        change.remove.iter().for_each(|id| parts.list.remove(id));
        Ok(())
    });
    finish(result)
}

async fn ledger(shared: Shared, target: Path<String>) -> HttpResponse {
    let ledger = shared.upgrade().and_then(|parts| parts.ledger(&target));
    match ledger {
        Some(ledger) => HttpResponse::Ok().json(&ledger),
        None => HttpResponse::NotFound().body("no ledger of this target"),
    }
}

async fn addresses(shared: Shared) -> HttpResponse {
    let addresses = shared.upgrade().map(|parts| parts.addresses());
    HttpResponse::Ok().json(&addresses)
}

/// Calls `f` unless the stand-ins are stopping.
fn with(
    shared: &Weak<Parts>,
    f: impl FnOnce(&Parts) -> Result<(), Arc<str>>,
) -> Result<(), Arc<str>> {
    let parts = shared.upgrade().ok_or("stopping")?;
    f(&parts)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Arc<str>> {
    serde_json::from_slice(body).map_err(|e| e.to_string().into())
}

fn finish(result: Result<(), Arc<str>>) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::Ok().finish(),
        Err(problem) => HttpResponse::BadRequest().body(problem.to_string()),
    }
}
