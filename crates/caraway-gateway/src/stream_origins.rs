//! At which software version the streams of callers began, as they may go on only there.
//!
//! While a service has had one version only, nothing is recorded. While streams may have begun at one of
//! several, each is recorded: instances send what they begin to the holder of their zone, which appends
//! it to a topic of the platform's store, a batch at a time. An instance at which a caller takes a
//! stream up that it does not know reads that topic.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use caraway_platform::{MAX_KEY_BYTES, Record, StoreError, Topic, versions_key};
use caraway_routes::Endpoint;
use caraway_streams::{HistoryRecord, StreamOrigins, VersionHistory};
use caraway_types::{EndpointId, Position, Reason, RequestId, SoftwareVersion};
use tokio::{
    sync::{Mutex, oneshot},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    apply::RecordSource,
    catch_up::catch_up,
    endpoint_signals::EndpointIncarnation,
    event::emit,
    executor::millis,
    frame::{RecordsFrame, ToHolder},
    request::{Call, RefusalResponse},
    shared::Shared,
};

/// Label of frames with the origins of streams, from an instance to the holder of its zone.
pub(crate) const ORIGINS_LABEL: &str = "stream-origins";
/// Time in which the origins of streams are collected before they are appended to the store.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Number of origins that wait to be appended; beyond it the oldest are dropped.
const MAX_PENDING: usize = 4096;
/// Longest time for which the first event of a stream waits until its origin is in the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after the store did not take origins, before they are appended again.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a stream may begin at the new version again, to see whether the store takes its origin.
const STORE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time from the start of an endpoint until instances can read its registry entry.
const ENTRY_LAG: Duration = Duration::from_secs(2);
/// Number of endpoints beyond which the software versions of those that have left are forgotten.
const MAX_ENDPOINTS: usize = 4096;
/// Multiple of a route's timeout that a stream lasts at most, from its first request to the end of the
/// last one that takes it up.
const LIFE_TIMEOUTS: u32 = 2;
/// Longest time for which a request that takes a stream up waits for the record of that stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the store is read again for a stream that is not found: its origin may be in a
/// batch that is not appended yet.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);
/// Delay of a shared history for each instance, so that few instances share the same.
const HISTORY_DELAY: Duration = Duration::from_millis(20);
/// Pause after a history could not be shared.
const HISTORY_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Number of attempts to share a history.
const MAX_HISTORY_APPENDS: u32 = 20;
/// `Retry-After` of a request whose stream's origin can't be found while the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Where the origin of a stream was looked for in vain, for log lines and refusals.
const STORE_SILENT: &str = "the store does not answer";

/// What this instance knows of the software versions of services and of the streams begun there.
#[derive(Debug, Default)]
pub(crate) struct StreamState {
    history: RefCell<VersionHistory>,
    origins: RefCell<StreamOrigins>,
    /// Origins that are to be appended to the store.
    pending: RefCell<VecDeque<PendingOrigin>>,
    is_flush_scheduled: Cell<bool>,
    /// When the store last failed to take origins; `None` after it has taken some.
    unstored_at: Cell<Option<Instant>>,
    /// The next position in the topic of origins.
    next: Cell<Position>,
    /// Held while the topic is read, so that concurrent lookups share a read.
    reading: Mutex<()>,
    /// Whether endpoints have changed since the history was updated.
    pub(crate) is_outdated: Cell<bool>,
    /// Software versions of endpoints by id, also of those that have left.
    last_software: RefCell<HashMap<EndpointId, SoftwareVersion>>,
    /// Histories that are to be shared unless another instance shares the same first.
    unshared: RefCell<HashMap<Arc<str>, HistoryRecord>>,
}

/// An origin that is to be appended to the store.
#[derive(Debug)]
struct PendingOrigin {
    request: RequestId,
    software: SoftwareVersion,
    /// Told whether the store has taken or has rejected it.
    stored: Option<oneshot::Sender<Stored>>,
}

/// Where a stream began.
#[derive(Clone, Debug)]
pub(crate) struct StreamStart {
    /// The incarnation that the registry listed when the request was sent.
    pub(crate) incarnation: EndpointIncarnation,
    /// Its software version.
    pub(crate) software: SoftwareVersion,
    /// When the connection was opened.
    pub(crate) opened_at: Instant,
}

impl StreamStart {
    /// Returns whether the connection is so new that the endpoint may have restarted before it was opened,
    /// without the registry having listed the new incarnation.
    fn is_recent(&self) -> bool {
        self.opened_at.elapsed() < ENTRY_LAG
    }

    /// Returns whether another incarnation than the listed one may have begun the stream.
    pub(crate) fn is_in_doubt(&self, shared: &Shared, call: &Call) -> bool {
        self.is_recent() && was_replaced(shared, call)
    }

    /// Returns whether the registry still lists the incarnation.
    fn is_listed(&self, shared: &Shared) -> bool {
        let listed = EndpointIncarnation::registered(shared, &self.incarnation.endpoint);
        listed.started_ms == self.incarnation.started_ms
    }
}

/// Whether an origin is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stored {
    Yes,
    /// It is not, and will not be.
    Rejected,
}

impl StreamState {
    /// Returns the version at which the stream of a request began, if this instance knows it.
    fn known(&self, request: &str) -> Option<SoftwareVersion> {
        self.origins.borrow().get(request).cloned()
    }
}

impl Shared {
    /// Returns the endpoints of a service whose software has another version.
    pub(crate) fn endpoints_of_other_versions(
        &self,
        service: &str,
        software: &SoftwareVersion,
    ) -> Vec<EndpointId> {
        let directory = self.directory.borrow();
        let others = directory
            .of_service(service)
            .filter(|e| e.software != *software);
        others.map(|e| e.id.clone()).collect()
    }
}

/// Records the software version of an endpoint that has joined or restarted.
pub(crate) fn on_endpoint_started(shared: &Shared, endpoint: &Endpoint) {
    let state = &shared.streams;
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

/// Returns whether a request takes up a stream that broke off at its caller.
fn takes_up(call: &Call) -> bool {
    call.head.resumes.is_some() || call.head.resume_after.is_some()
}

/// Records at which version the stream of a request began, if that does not follow from the history
/// of its service. Where the history says that the stream began at another version, waits until the store
/// has its origin.
///
/// Returns whether the first event may go to the caller: not if the store has rejected the origin and the
/// stream can begin at the other version instead.
pub(crate) async fn on_first_event(shared: &Rc<Shared>, call: &Call, start: &StreamStart) -> bool {
    let software = &start.software;
    // A longer id is no key of the store; that stream goes on only where it is known.
    let has_key = (1..=MAX_KEY_BYTES).contains(&call.head.id.len());
    if takes_up(call) || !call.route.resumable || !has_key || !needs_record(shared, call) {
        return true;
    }
    let request = &call.head.id;
    let former = former_version(shared, call).filter(|former| former != software);
    if let Some(former) = &former {
        let (sender, stored) = oneshot::channel();
        append_later(shared, request, software, Some(sender));
        // After the timeout the store may still take the origin, so the stream stays where it is.
        let stored = timeout(STORE_TIMEOUT, stored).await;
        if matches!(stored, Ok(Ok(Stored::Rejected))) && serves(shared, call, former) {
            return false;
        }
    }
    // A missing record means the former version to other builds, so only a stream of that can wait for it.
    if former.is_none() && start.is_in_doubt(shared, call) {
        tokio::task::spawn_local(record_when_proven(
            shared.clone(),
            request.clone(),
            start.clone(),
        ));
        return true;
    }
    if !record_in_zone(shared, request, software) && former.is_none() {
        append_later(shared, request, software, None);
    }
    true
}

/// Records the origin of a stream once the registry proves which incarnation of the endpoint began it.
async fn record_when_proven(shared: Rc<Shared>, request: RequestId, start: StreamStart) {
    sleep_until(start.opened_at + ENTRY_LAG).await;
    let why = match catch_up(&shared).await {
        Ok(()) if start.is_listed(&shared) => {
            if !record_in_zone(&shared, &request, &start.software) {
                append_later(&shared, &request, &start.software, None);
            }
            return;
        }
        Ok(()) => "its endpoint has restarted".to_owned(),
        Err(e) => e.to_string(),
    };
    emit!(shared, warn, OriginsLost; "streams" => 1, "request" => &*request, "error" => why);
}

/// Records an origin here and at the holder of the zone, which appends it to the store; returns whether
/// that got it.
fn record_in_zone(shared: &Shared, request: &RequestId, software: &SoftwareVersion) -> bool {
    let mut origins = shared.streams.origins.borrow_mut();
    origins.insert(request, software);
    let own_zone = &shared.site.zone;
    shared.held_zone(own_zone).is_none()
        && shared.session(own_zone).is_some_and(|session| {
            session.send(&ToHolder::Records(origin_frame(request, software)))
        })
}

/// Returns the only version at which the stream of a request may begin now: while the store does not take
/// origins, a stream without a record would be taken for one of the former version. `None` if any version
/// will do.
pub(crate) fn required_version(shared: &Rc<Shared>, call: &Call) -> Option<SoftwareVersion> {
    let unstored_at = shared.streams.unstored_at.get()?;
    let is_exempt = takes_up(call) || !call.route.resumable;
    if is_exempt || unstored_at.elapsed() >= STORE_PROBE_INTERVAL || !needs_record(shared, call) {
        return None;
    }
    former_version(shared, call).filter(|former| serves(shared, call, former))
}

/// Returns whether the origin of a stream that begins now has to be recorded.
fn needs_record(shared: &Rc<Shared>, call: &Call) -> bool {
    update_if_outdated(shared);
    let history = shared.streams.history.borrow();
    history.needs_record(Shared::unix_ms(), &call.service, life_ms(call))
}

/// Returns whether an endpoint of a request's service restarted lately with another version under its id.
fn was_replaced(shared: &Shared, call: &Call) -> bool {
    let history = shared.streams.history.borrow();
    history.was_replaced(Shared::unix_ms(), &call.service, life_ms(call))
}

/// Returns the version at which a stream of a request's service began that has no record, if it is known.
fn unrecorded_origin(shared: &Shared, call: &Call) -> Option<SoftwareVersion> {
    let history = shared.streams.history.borrow();
    let origin = history.unrecorded_origin(Shared::unix_ms(), &call.service, life_ms(call));
    origin.known()
}

/// Returns the version of which instances of all builds take a stream without a record to be, if there is
/// one.
fn former_version(shared: &Shared, call: &Call) -> Option<SoftwareVersion> {
    let history = shared.streams.history.borrow();
    let origin = history.former_version(Shared::unix_ms(), &call.service, life_ms(call));
    origin.known()
}

fn origin_frame(request: &RequestId, software: &SoftwareVersion) -> RecordsFrame {
    let record = Record {
        offset: 0,
        key: request.clone(),
        value: Some(software.as_bytes().to_vec().into()),
    };
    RecordsFrame::of_record(ORIGINS_LABEL, record)
}

/// Handles the origins of streams that another instance of the zone has begun.
pub(crate) fn on_peer_origins(shared: &Rc<Shared>, frame: &RecordsFrame) {
    for record in &frame.records {
        if let Some(software) = decode_software(record) {
            let state = &shared.streams;
            state.origins.borrow_mut().insert(&record.key, &software);
            append_later(shared, &record.key, &software, None);
        }
    }
}

fn decode_software(record: &Record) -> Option<SoftwareVersion> {
    let text = std::str::from_utf8(record.value.as_deref()?).ok()?;
    Some(text.into())
}

/// Appends an origin to the store with the next batch, and then tells `stored`.
fn append_later(
    shared: &Rc<Shared>,
    request: &RequestId,
    software: &SoftwareVersion,
    stored: Option<oneshot::Sender<Stored>>,
) {
    let state = &shared.streams;
    {
        let mut pending = state.pending.borrow_mut();
        if pending.len() >= MAX_PENDING {
            pending.pop_front();
        }
        pending.push_back(PendingOrigin {
            request: request.clone(),
            software: software.clone(),
            stored,
        });
    }
    if state.is_flush_scheduled.replace(true) {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(BATCH_TIME).await;
            let batch = std::mem::take(&mut *shared.streams.pending.borrow_mut());
            if batch.is_empty() {
                shared.streams.is_flush_scheduled.set(false);
                return;
            }
            if !append_batch(&shared, batch).await {
                sleep(STORE_RETRY_PAUSE).await;
            }
        }
    });
}

/// Appends origins to the store. If that fails, they are pending again, except those whose streams begin
/// at another version instead. Returns whether the store has them.
async fn append_batch(shared: &Rc<Shared>, batch: VecDeque<PendingOrigin>) -> bool {
    let records = batch
        .iter()
        .map(|o| (o.request.clone(), o.software.clone()));
    let records: Vec<(Arc<str>, Arc<str>)> = records.collect();
    let result = shared.store.append_all(Topic::Streams, &records).await;
    shared
        .metrics
        .record_store_call(Topic::Streams.label(), result.is_ok());
    let state = &shared.streams;
    let Err(error) = result else {
        state.unstored_at.set(None);
        for stored in batch.into_iter().filter_map(|o| o.stored) {
            // The caller may have disconnected.
            stored.send(Stored::Yes).ok();
        }
        return true;
    };
    state.unstored_at.set(Some(Instant::now()));
    emit!(shared, warn, OriginsLost; "streams" => batch.len(), "error" => %error);
    let is_rejected = matches!(error, StoreError::Unavailable(_) | StoreError::Refused(_));
    let mut pending = state.pending.borrow_mut();
    for mut origin in batch.into_iter().rev() {
        let stored = origin.stored.take_if(|_| is_rejected);
        let is_withdrawn = stored.is_some_and(|s| s.send(Stored::Rejected).is_ok());
        if !is_withdrawn && pending.len() < MAX_PENDING {
            pending.push_front(origin);
        }
    }
    false
}

/// Returns the version at which the stream began that a request takes up; `None` if the request takes
/// none up.
///
/// # Errors
///
/// Returns the refusal of a request whose stream can't go on: its version is not known, or no endpoint
/// has it any more.
pub(crate) async fn find_origin(
    shared: &Rc<Shared>,
    call: &Call,
) -> Result<Option<SoftwareVersion>, RefusalResponse> {
    if !takes_up(call) || !call.route.resumable {
        return Ok(None);
    }
    let lookup = look_up(shared, call).await;
    let (software, source) = lookup.unwrap_or((None, STORE_SILENT));
    emit!(shared, info, StreamTakenUp; "request" => &*call.head.id,
        "resumes" => call.head.resumes.as_deref(), "software" => software.as_deref(),
        "source" => source, "caught_up_ms" => shared.catch_up.age().map(millis),
        "ms" => millis(call.arrived_at.elapsed()));
    let Some(software) = software else {
        let detail = format!("the software version that began the stream is not known: {source}");
        let refusal = RefusalResponse::not_run(Reason::NotResumable, &detail);
        return Err(if source == STORE_SILENT {
            refusal.with_retry_after(STORE_RETRY_AFTER)
        } else {
            refusal
        });
    };
    if !serves(shared, call, &software) {
        let detail = format!("no endpoint of the software version {software} is left");
        return Err(RefusalResponse::not_run(Reason::NotResumable, &detail));
    }
    Ok(Some(software))
}

/// Returns whether an endpoint of a request's service with this software version is ready.
fn serves(shared: &Shared, call: &Call, software: &SoftwareVersion) -> bool {
    let directory = shared.directory.borrow();
    let mut endpoints = directory.of_service(&call.service);
    endpoints.any(|e| e.is_ready() && e.software == *software)
}

/// Returns the version at which a stream began, if it is known, and where that was learned.
///
/// # Errors
///
/// Returns an error if the store does not answer and the answer depends on it.
async fn look_up(
    shared: &Rc<Shared>,
    call: &Call,
) -> Result<(Option<SoftwareVersion>, &'static str), StoreError> {
    let request = call.head.resumes.as_deref().unwrap_or_default();
    if let Some(software) = shared.streams.known(request) {
        return Ok((Some(software), "this instance"));
    }
    // A version may have joined without this instance having heard of it.
    catch_up(shared).await?;
    let lookup = timeout(LOOKUP_TIMEOUT, look_up_record(shared, call, request));
    let timed_out = |_| Err(StoreError::Unanswered("timed out".into()));
    if let Some(software) = lookup.await.unwrap_or_else(timed_out)? {
        return Ok((Some(software), "the store"));
    }
    Ok(match unrecorded_origin(shared, call) {
        Some(software) => (Some(software), "the versions that served"),
        None => (None, "several versions served, and it is not recorded"),
    })
}

/// Looks for the record of a stream in the store if the history of its service leaves its version open.
async fn look_up_record(
    shared: &Rc<Shared>,
    call: &Call,
    request: &str,
) -> Result<Option<SoftwareVersion>, StoreError> {
    let state = &shared.streams;
    if !needs_record(shared, call) {
        return Ok(None);
    }
    read_origins(shared).await?;
    if state.known(request).is_none() {
        sleep(LOOKUP_PAUSE).await;
        read_origins(shared).await?;
    }
    Ok(state.known(request))
}

/// Reads the topic of origins to its end.
async fn read_origins(shared: &Rc<Shared>) -> Result<(), StoreError> {
    let state = &shared.streams;
    let from = state.next.get();
    let _reading = state.reading.lock().await;
    // Another lookup may have read on meanwhile.
    if state.next.get() > from {
        return Ok(());
    }
    loop {
        let next = state.next.get();
        let read = shared
            .store
            .read(Topic::Streams, next, Duration::ZERO)
            .await;
        shared
            .metrics
            .record_store_call(Topic::Streams.label(), read.is_ok());
        let log = match read {
            Ok(log) => log,
            Err(StoreError::Trimmed(Some(first))) if first > next.offset => {
                state.next.set(next.at(first));
                continue;
            }
            Err(StoreError::OtherEra) if next.era < shared.store.era() => {
                state.next.set(Position {
                    era: shared.store.era(),
                    offset: 0,
                });
                continue;
            }
            Err(e) => return Err(e),
        };
        if log.next == next {
            return Ok(());
        }
        state.next.set(log.next);
        let mut origins = state.origins.borrow_mut();
        for record in &log.records {
            if let Some(software) = decode_software(record) {
                origins.insert(&record.key, &software);
            }
        }
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
    let state = &shared.streams;
    let is_same = {
        let unshared = state.unshared.borrow();
        unshared
            .get(&history.service)
            .is_some_and(|u| names(u) == names(&history))
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

/// Shares the histories again, as the store may have lost them, and as the holder of the own zone the
/// origins of its streams.
pub(crate) fn on_store_restored(shared: &Rc<Shared>) {
    let histories = shared.streams.history.borrow().records();
    for history in histories {
        share_history(shared, history);
    }
    if shared.held_zone(&shared.site.zone).is_none() {
        return;
    }
    let origins: Vec<(RequestId, SoftwareVersion)> = {
        let origins = shared.streams.origins.borrow();
        let newest = origins.newest(MAX_PENDING);
        newest.map(|(r, s)| (r.clone(), s.clone())).collect()
    };
    for (request, software) in &origins {
        append_later(shared, request, software, None);
    }
}

/// Updates the histories if endpoints have changed since they were updated last.
fn update_if_outdated(shared: &Rc<Shared>) {
    if shared.streams.is_outdated.get() {
        update_histories(shared);
    }
}

/// Updates the histories of all services by the endpoints in the registry, and shares what other
/// instances have to know.
pub(crate) fn update_histories(shared: &Rc<Shared>) {
    let state = &shared.streams;
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
        let mut unshared = shared.streams.unshared.borrow_mut();
        unshared.insert(service.clone(), history).is_some()
    };
    if is_scheduled {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        for _ in 0..MAX_HISTORY_APPENDS {
            sleep(shared.random_delay(HISTORY_DELAY)).await;
            let unshared = shared.streams.unshared.borrow().get(&service).cloned();
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
        shared.streams.unshared.borrow_mut().remove(&service);
    });
}
