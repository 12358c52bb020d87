//! Which versions of endpoints' software serve and have served lately, as far as this instance knows.
//!
//! Instances derive it from the registry and share what others can't see there any more.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use caraway_platform::{Record, Topic, versions_key};
use caraway_routes::Endpoint;
use caraway_streams::{HistoryRecord, VersionHistory};
use caraway_types::{EndpointId, SoftwareVersion};
use tokio::time::sleep;

use crate::{apply::RecordSource, event::emit, executor::millis, request::Call, shared::Shared};

/// Multiple of a route's timeout that a stream lasts at most, from its first request to the end of the
/// last one that takes it up.
const LIFE_TIMEOUTS: u32 = 2;
/// Delay of a shared history for each instance, so that few instances share the same.
const HISTORY_DELAY: Duration = Duration::from_millis(20);
/// Pause after a history could not be shared.
const HISTORY_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Number of attempts to share a history.
const MAX_HISTORY_APPENDS: u32 = 20;
/// Number of endpoints beyond which the software versions of those that have left are forgotten.
const MAX_ENDPOINTS: usize = 4096;

/// What this instance knows of the software versions of services.
#[derive(Debug, Default)]
pub(crate) struct VersionState {
    pub(crate) history: RefCell<VersionHistory>,
    /// Whether endpoints have changed since the history was updated.
    pub(crate) is_outdated: Cell<bool>,
    /// Software versions of endpoints by id, also of those that have left.
    last_software: RefCell<HashMap<EndpointId, SoftwareVersion>>,
    /// Histories that are to be shared unless another instance shares the same first.
    unshared: RefCell<HashMap<Arc<str>, HistoryRecord>>,
}

/// Records the software version of an endpoint that has joined or restarted.
pub(crate) fn on_endpoint_started(shared: &Shared, endpoint: &Endpoint) {
    let state = &shared.versions;
    state.is_outdated.set(true);
    if !endpoint.is_engine {
        return;
    }
    let mut known = state.last_software.borrow_mut();
    if known.len() >= MAX_ENDPOINTS {
        let directory = shared.directory.borrow();
        known.retain(|id, _| directory.get(id).is_some());
    }
    let former = known.insert(endpoint.id.clone(), endpoint.software.clone());
    if former.is_some_and(|f| f != endpoint.software) {
        let mut history = state.history.borrow_mut();
        history.set_replaced(&endpoint.service, Shared::unix_ms());
    }
}

/// Returns how long the streams of a request's route last at most, in milliseconds.
fn life_ms(call: &Call) -> u64 {
    millis(call.route.timeout * LIFE_TIMEOUTS)
}

/// Returns whether the origin of a stream that begins now has to be recorded.
pub(crate) fn needs_record(shared: &Rc<Shared>, call: &Call) -> bool {
    update_if_outdated(shared);
    let history = shared.versions.history.borrow();
    history.needs_record(Shared::unix_ms(), &call.service, life_ms(call))
}

/// Returns whether an endpoint of a request's service restarted lately with another version under its id.
pub(crate) fn was_replaced(shared: &Shared, call: &Call) -> bool {
    let history = shared.versions.history.borrow();
    history.was_replaced(Shared::unix_ms(), &call.service, life_ms(call))
}

/// Returns the version at which a stream of a request's service began that has no record, if it is known.
pub(crate) fn unrecorded_origin(shared: &Shared, call: &Call) -> Option<SoftwareVersion> {
    let history = shared.versions.history.borrow();
    let origin = history.unrecorded_origin(Shared::unix_ms(), &call.service, life_ms(call));
    origin.known()
}

/// Returns the version of which instances of all builds take a stream without a record to be, if there is
/// one.
pub(crate) fn former_version(shared: &Shared, call: &Call) -> Option<SoftwareVersion> {
    let history = shared.versions.history.borrow();
    let origin = history.former_version(Shared::unix_ms(), &call.service, life_ms(call));
    origin.known()
}

/// Returns whether the store may have lost the record of a stream of a request's service.
pub(crate) fn may_lack_records(shared: &Shared, call: &Call) -> bool {
    let history = shared.versions.history.borrow();
    history.may_lack_records(Shared::unix_ms(), &call.service, life_ms(call))
}

/// Shares the histories again, as the store may have lost them and the records of streams.
pub(crate) fn on_store_restored(shared: &Rc<Shared>) {
    let histories = shared.versions.history.borrow().records();
    for history in histories {
        set_records_lost(shared, &history.service, Shared::unix_ms());
        share_history_of(shared, &history.service);
    }
}

/// Records that streams of a service that began before `at_ms` may lack their records; returns whether other
/// instances have to know.
pub(crate) fn set_records_lost(shared: &Shared, service: &Arc<str>, at_ms: u64) -> bool {
    let mut history = shared.versions.history.borrow_mut();
    history.set_records_lost(service, at_ms)
}

/// Shares the history of a service unless it has had one version only.
pub(crate) fn share_history_of(shared: &Rc<Shared>, service: &Arc<str>) {
    let history = shared.versions.history.borrow().record_of(service);
    if let Some(history) = history {
        share_history(shared, history);
    }
}

/// Applies a history that an instance has shared.
pub(crate) fn on_history(shared: &Rc<Shared>, record: &Record, source: RecordSource) -> bool {
    let value = record.value.as_deref().unwrap_or_default();
    let history = match serde_json::from_slice::<HistoryRecord>(value) {
        Ok(history) => history,
        Err(e) => {
            emit!(shared, warn, ConfigFinding; "key" => &*record.key, "offset" => record.offset,
                "finding" => %e);
            return false;
        }
    };
    let state = &shared.versions;
    let is_same = {
        let unshared = state.unshared.borrow();
        unshared.get(&history.service).is_some_and(|u| {
            let is_replaced = u.replaced <= history.replaced;
            names(u) == names(&history) && is_replaced && history.states_loss_of(u)
        })
    };
    if is_same {
        state.unshared.borrow_mut().remove(&history.service);
    }
    emit!(shared, info, VersionsChanged; "service" => &*history.service,
        "versions" => describe(&history), "source" => format!("{source:?}"));
    state.history.borrow_mut().adopt(&history);
    state.is_outdated.set(true);
    true
}

/// Returns the versions of a history, and which of them have left.
fn names(history: &HistoryRecord) -> Vec<(SoftwareVersion, bool)> {
    let versions = history.versions.iter();
    versions
        .map(|v| (v.software.clone(), v.until.is_some()))
        .collect()
}

fn describe(history: &HistoryRecord) -> String {
    let versions = history.versions.iter().map(|v| {
        let (since, until) = (v.since.unwrap_or(0), v.until);
        until.map_or_else(
            || format!("{} since {since}", v.software),
            |until| format!("{} from {since} to {until}", v.software),
        )
    });
    versions.collect::<Vec<_>>().join(", ")
}

/// Updates the histories if endpoints have changed since they were updated last.
fn update_if_outdated(shared: &Rc<Shared>) {
    if shared.versions.is_outdated.get() {
        update_histories(shared);
    }
}

/// Updates the histories of all services by the endpoints in the registry, and shares what other
/// instances have to know.
pub(crate) fn update_histories(shared: &Rc<Shared>) {
    let state = &shared.versions;
    let is_ready = {
        let topics = shared.topics.borrow();
        topics.is_read(Topic::Shared) && topics.is_read(Topic::Endpoints)
    };
    if !is_ready {
        return;
    }
    state.is_outdated.set(false);
    let mut present: BTreeMap<Arc<str>, BTreeMap<SoftwareVersion, Option<u64>>> = BTreeMap::new();
    for endpoint in shared.directory.borrow().all().filter(|e| e.is_engine) {
        let versions = present.entry(endpoint.service.clone()).or_default();
        let started = versions.entry(endpoint.software.clone()).or_default();
        *started = match (*started, endpoint.started_ms) {
            (Some(earliest), Some(started)) => Some(earliest.min(started)),
            (known, started) => known.or(started),
        };
    }
    for (service, versions) in present {
        let changed = {
            let mut history = state.history.borrow_mut();
            history.update(Shared::unix_ms(), &service, &versions)
        };
        if let Some(changed) = changed {
            emit!(shared, info, VersionsChanged; "service" => &*service,
                "versions" => describe(&changed), "source" => "the registry");
            share_history(shared, changed);
        }
    }
}

/// Shares a history after a random delay, unless another instance does.
fn share_history(shared: &Rc<Shared>, history: HistoryRecord) {
    let service = history.service.clone();
    let is_scheduled = {
        let mut unshared = shared.versions.unshared.borrow_mut();
        unshared.insert(service.clone(), history).is_some()
    };
    if is_scheduled {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        for _ in 0..MAX_HISTORY_APPENDS {
            sleep(shared.random_delay(HISTORY_DELAY)).await;
            let unshared = shared.versions.unshared.borrow().get(&service).cloned();
            let Some(history) = unshared else {
                return;
            };
            let value =
                serde_json::to_vec(&history).expect("a history has only strings and numbers");
            let key = versions_key(&service);
            let Err(error) = shared.store.append(Topic::Shared, &key, &value).await else {
                break;
            };
            emit!(shared, warn, EvidenceLost; "key" => &*key, "error" => %error);
            sleep(HISTORY_RETRY_PAUSE).await;
        }
        shared.versions.unshared.borrow_mut().remove(&service);
    });
}
