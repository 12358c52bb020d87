//! [`collect`] gathers the sources of a report.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use caraway_burn::{Snapshot, Sources, UnixSeconds};
use caraway_wire::{
    CallError, HttpClient, ListClient, LogClient,
    list::{ListEntry, Role},
    log::BURN_STREAM,
};

/// Most records read at once.
const PAGE_RECORDS: u32 = 1000;

/// Where to ask.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    /// The platform's list.
    pub list: SocketAddr,
    /// The platform's log.
    pub log: SocketAddr,
    /// Most time for each call.
    pub limit: Duration,
}

/// Asks every listed instance and reads the log; what fails is noted in the sources.
///
/// # Errors
///
/// Returns a [`CallError`] when the list can't be read, as then no instance is known.
pub async fn collect(places: Places) -> Result<Sources, CallError> {
    let http = HttpClient::new().await?;
    let listing = ListClient::new(http.clone(), places.list)
        .fetch(places.limit)
        .await?;
    let mut sources = Sources::default();
    let entries = listing.members.iter().filter(|m| m.role == Role::Entry);
    let asked: Vec<_> = entries
        .map(|m| ntex::rt::spawn(ask(http.clone(), m.clone(), places.limit)))
        .collect();
    for answer in asked {
        match answer.await {
            Ok(Ok(snapshot)) => sources.snapshots.push(snapshot),
            Ok(Err((entry, error))) => {
                sources
                    .unreachable
                    .insert(entry.id, error.to_string().into());
            }
            Err(_) => {}
        }
    }
    let log = LogClient::new(http, places.log, places.limit);
    match read_log(&log).await {
        Ok(records) => sources.records = records,
        Err(error) => sources.log_error = Some(error.to_string().into()),
    }
    Ok(sources)
}

/// Returns the time as seconds of the Unix epoch.
#[must_use]
pub fn unix_now() -> UnixSeconds {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}

async fn ask(
    http: HttpClient,
    entry: ListEntry,
    limit: Duration,
) -> Result<Snapshot, (ListEntry, CallError)> {
    let answer = http.get_json(entry.addr, "/admin/burn", limit).await;
    answer.map_err(|error| (entry, error))
}

async fn read_log(log: &LogClient) -> Result<Vec<Arc<str>>, CallError> {
    let mut records = Vec::new();
    let mut from = 0;
    loop {
        let page = log.read(BURN_STREAM, from, PAGE_RECORDS).await?;
        let Some(last) = page.records.last() else {
            return Ok(records);
        };
        from = last.offset + 1;
        records.extend(page.records.into_iter().map(|entry| entry.data));
    }
}
