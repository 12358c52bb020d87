//! At which software version a stream began that a caller takes up, by what this instance knows, the store and
//! the versions that served.

use std::{rc::Rc, time::Duration};

use caraway_platform::{StoreError, Topic};
use caraway_types::{Position, Reason, SoftwareVersion};
use tokio::time::{sleep, timeout};

use crate::{
    catch_up::catch_up,
    event::emit,
    executor::millis,
    request::{Call, RefusalResponse},
    shared::Shared,
    stream_origins::{decode_software, is_key, serves, takes_up},
    topics,
    version_histories::{may_lack_records, needs_record, unrecorded_origin},
};

/// Longest time for which a request that takes a stream up waits for the record of that stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the store is read again for a stream that is not found: its origin may be in a
/// batch that is not appended yet.
const LOOKUP_PAUSE: Duration = Duration::from_millis(100);
/// Number of times that the store is read again while other instances write what it lacks.
const COMPLETION_LOOKUPS: u32 = 4;
/// `Retry-After` of a request whose stream's origin can't be found while the store does not answer or
/// lacks records.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Where the origin of a stream was looked for in vain, for log lines and refusals.
const STORE_SILENT: &str = "the store does not answer";
const RECORD_MISSING: &str = "the store may lack its record";

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
        let is_pending = source == RECORD_MISSING && shared.streams.is_being_completed();
        return Err(if source == STORE_SILENT || is_pending {
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
    if !is_key(request) && needs_record(shared, call) {
        return Ok((None, "several versions served, and it can have no record"));
    }
    Ok(match unrecorded_origin(shared, call) {
        Some(software) => (Some(software), "the versions that served"),
        None if may_lack_records(shared, call) => (None, RECORD_MISSING),
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
    let mut lookups = 0;
    let max_lookups = || {
        if state.is_being_completed() {
            COMPLETION_LOOKUPS
        } else {
            1
        }
    };
    while state.known(request).is_none() && lookups < max_lookups() {
        sleep(LOOKUP_PAUSE).await;
        read_origins(shared).await?;
        lookups += 1;
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
        topics::check_era(shared);
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
