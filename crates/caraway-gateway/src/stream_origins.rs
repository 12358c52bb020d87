//! At which software version the streams of callers began, as they may go on only there.
//!
//! While a service has had one version only, nothing is recorded. While streams may have begun at one of
//! several, each is recorded: instances send what they begin to the holder of their zone, which appends
//! it to a topic of the platform's store, a batch at a time, and copies it to other instances, which
//! write it again if the store loses it. An instance at which a caller takes a stream up that it does
//! not know reads that topic.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use caraway_platform::{MAX_KEY_BYTES, Record, StoreError, Topic};
use caraway_streams::StreamOrigins;
use caraway_types::{EndpointId, Position, RequestId, SoftwareVersion};
use tokio::{
    sync::{Mutex, oneshot},
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    catch_up::catch_up,
    endpoint_signals::EndpointIncarnation,
    event::emit,
    frame::{FromHolder, RecordsFrame, ToHolder},
    request::Call,
    shared::Shared,
    topics,
    version_histories::{
        former_version, needs_record, set_records_lost, share_history_of, was_replaced,
    },
};

/// Label of frames with the origins of streams, from an instance to the holder of its zone.
pub(crate) const ORIGINS_LABEL: &str = "stream-origins";
/// Label of frames with copies of origins, from the holder of a zone to other instances.
pub(crate) const ORIGIN_COPIES_LABEL: &str = "stream-origin-copies";
/// Label of frames with services whose streams may lack their records, and since when, in Unix milliseconds.
pub(crate) const UNSTORED_LABEL: &str = "streams-unstored";
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
/// Time in which instances write the origins that the store is known to lack.
const COMPLETION_TIME: Duration = Duration::from_secs(2);

/// What this instance knows of the software versions at which streams began.
#[derive(Debug, Default)]
pub(crate) struct StreamState {
    pub(crate) origins: RefCell<StreamOrigins>,
    /// Those of them that this instance has not learned from the store.
    first_hand: RefCell<StreamOrigins>,
    /// Origins that are to be sent to the instances that keep copies.
    uncopied: RefCell<Vec<Record>>,
    /// Origins that are to be appended to the store.
    pending: RefCell<VecDeque<PendingOrigin>>,
    is_flush_scheduled: Cell<bool>,
    /// When the store last failed to take origins; `None` after it has taken some.
    unstored_at: Cell<Option<Instant>>,
    /// The next position in the topic of origins.
    pub(crate) next: Cell<Position>,
    /// Held while the topic is read, so that concurrent lookups share a read.
    pub(crate) reading: Mutex<()>,
    /// When this instance last learned that the store lacks origins which others may be writing.
    unstored_seen: Cell<Option<Instant>>,
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
    pub(crate) fn known(&self, request: &str) -> Option<SoftwareVersion> {
        self.origins.borrow().get(request).cloned()
    }

    /// Records an origin that does not come from the store.
    fn insert_first_hand(&self, request: &RequestId, software: &SoftwareVersion) {
        for origins in [&self.origins, &self.first_hand] {
            origins.borrow_mut().insert(request, software);
        }
    }

    /// Returns whether other instances may be writing what the store lacks.
    pub(crate) fn is_being_completed(&self) -> bool {
        let unstored_seen = self.unstored_seen.get();
        unstored_seen.is_some_and(|at| at.elapsed() < COMPLETION_TIME)
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

/// Returns whether a request takes up a stream that broke off at its caller.
pub(crate) fn takes_up(call: &Call) -> bool {
    call.head.resumes.is_some() || call.head.resume_after.is_some()
}

/// Returns whether the id of a request is a key of the store. The stream of another request has no
/// record and goes on only where it is known.
pub(crate) fn is_key(request: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&request.len())
}

/// Records at which version the stream of a request began, if that does not follow from the history
/// of its service. Where the history says that the stream began at another version, waits until the store
/// has its origin.
///
/// Returns whether the first event may go to the caller: not if the store has rejected the origin and the
/// stream can begin at the other version instead.
pub(crate) async fn on_first_event(shared: &Rc<Shared>, call: &Call, start: &StreamStart) -> bool {
    let software = &start.software;
    if takes_up(call)
        || !call.route.resumable
        || !is_key(&call.head.id)
        || !needs_record(shared, call)
    {
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
        if !matches!(stored, Ok(Ok(Stored::Yes))) {
            on_unstored(shared, &call.service);
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

/// Lets all instances know, before the caller gets the first event of a stream of another version than the
/// former one, that its origin is not in the store.
fn on_unstored(shared: &Rc<Shared>, service: &Arc<str>) {
    let at_ms = Shared::unix_ms();
    if !set_records_lost(shared, service, at_ms) {
        return;
    }
    shared.streams.unstored_seen.set(Some(Instant::now()));
    let record = Record {
        offset: 0,
        key: service.clone(),
        value: Some(at_ms.to_string().into()),
    };
    topics::send_to_peers(shared, UNSTORED_LABEL, record);
    share_history_of(shared, service);
}

/// Handles notices of other instances that streams of a service may lack their records.
pub(crate) fn on_peer_unstored(shared: &Shared, frame: &RecordsFrame) {
    let holds = !shared.held_zones.borrow().is_empty();
    for record in &frame.records {
        let text = std::str::from_utf8(record.value.as_deref().unwrap_or_default());
        let Some(at_ms) = text.ok().and_then(|t| t.parse().ok()) else {
            emit!(shared, warn, FrameSkipped; "kind" => UNSTORED_LABEL,
                "problem" => "no time in Unix milliseconds", "service" => &*record.key);
            continue;
        };
        if set_records_lost(shared, &record.key, at_ms) {
            shared.streams.unstored_seen.set(Some(Instant::now()));
            if holds {
                topics::send_to_peers(shared, UNSTORED_LABEL, record.clone());
            }
        }
    }
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
fn record_in_zone(shared: &Rc<Shared>, request: &RequestId, software: &SoftwareVersion) -> bool {
    record_first_hand(shared, request, software);
    let own_zone = &shared.site.zone;
    shared.held_zone(own_zone).is_none()
        && shared.session(own_zone).is_some_and(|session| {
            let record = origin_record(request, software);
            let frame = RecordsFrame::unstored(ORIGINS_LABEL, vec![record]);
            session.send(&ToHolder::Records(frame))
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

fn origin_record(request: &RequestId, software: &SoftwareVersion) -> Record {
    Record {
        offset: 0,
        key: request.clone(),
        value: Some(software.as_bytes().to_vec().into()),
    }
}

/// Handles the origins of streams that another instance of the zone has begun.
pub(crate) fn on_peer_origins(shared: &Rc<Shared>, frame: &RecordsFrame) {
    for record in &frame.records {
        if let Some(software) = decode_software(record) {
            record_first_hand(shared, &record.key, &software);
            append_later(shared, &record.key, &software, None);
        }
    }
}

/// Handles the origins of streams that the holder of a zone appends to the store.
pub(crate) fn on_origin_copies(shared: &Shared, frame: &RecordsFrame) {
    for record in &frame.records {
        if let Some(software) = decode_software(record) {
            shared.streams.insert_first_hand(&record.key, &software);
        }
    }
}

/// Records an origin that does not come from the store. As the holder of a zone, this instance sends it with
/// the next batch to those that keep copies.
fn record_first_hand(shared: &Rc<Shared>, request: &RequestId, software: &SoftwareVersion) {
    let state = &shared.streams;
    state.insert_first_hand(request, software);
    if shared.held_zones.borrow().is_empty() {
        return;
    }
    let mut uncopied = state.uncopied.borrow_mut();
    uncopied.push(origin_record(request, software));
    if uncopied.len() > 1 {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        sleep(BATCH_TIME).await;
        let records = shared.streams.uncopied.take();
        let frame = FromHolder::Records(RecordsFrame::unstored(ORIGIN_COPIES_LABEL, records));
        for held in shared.held_zones() {
            held.send_to_backups(&frame);
        }
    });
}

pub(crate) fn decode_software(record: &Record) -> Option<SoftwareVersion> {
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

/// Returns whether an endpoint of a request's service with this software version is ready.
pub(crate) fn serves(shared: &Shared, call: &Call, software: &SoftwareVersion) -> bool {
    let directory = shared.directory.borrow();
    let mut endpoints = directory.of_service(&call.service);
    endpoints.any(|e| e.is_ready() && e.software == *software)
}

/// Writes origins again, as the store may have lost them: as a holder all that are known, else those that
/// this instance has not learned from the store.
pub(crate) fn on_store_restored(shared: &Rc<Shared>) {
    let state = &shared.streams;
    state.unstored_seen.set(Some(Instant::now()));
    let origins: Vec<(RequestId, SoftwareVersion)> = {
        let holds = !shared.held_zones.borrow().is_empty();
        let origins = if holds {
            state.origins.borrow()
        } else {
            state.first_hand.borrow()
        };
        let newest = origins.newest(MAX_PENDING.saturating_sub(state.pending.borrow().len()));
        newest.map(|(r, s)| (r.clone(), s.clone())).collect()
    };
    for (request, software) in &origins {
        append_later(shared, request, software, None);
    }
}
