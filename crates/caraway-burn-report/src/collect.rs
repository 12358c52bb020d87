//! [`collect()`]: gathers the data for a report from the instances and the log.

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

/// Maximum number of records in one read of the log.
const PAGE_RECORDS: u32 = 1000;

/// Addresses from which the data is collected.
#[derive(Clone, Copy, Debug)]
pub struct CollectOptions {
    /// Address of the platform's list of instances.
    pub list: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Timeout of each request.
    pub timeout: Duration,
}

/// Requests the counts of every listed instance and reads the records of the log.
///
/// An instance that does not respond and a log that can't be read are recorded in the sources.
///
/// # Errors
///
/// Returns a [`CallError`] if the list can't be read, because then no instance is known.
pub async fn collect(options: CollectOptions) -> Result<Sources, CallError> {
    let http = HttpClient::new().await?;
    let listing = ListClient::new(http.clone(), options.list)
        .fetch(options.timeout)
        .await?;
    let mut sources = Sources::default();
    let entries = listing.members.iter().filter(|m| m.role == Role::Entry);
    let tasks: Vec<_> = entries
        .map(|m| ntex::rt::spawn(fetch_snapshot(http.clone(), m.clone(), options.timeout)))
        .collect();
    for task in tasks {
        match task.await {
            Ok(Ok(snapshot)) => sources.snapshots.push(snapshot),
            Ok(Err((entry, error))) => {
                sources
                    .unreachable
                    .insert(entry.id, error.to_string().into());
            }
            Err(_) => {}
        }
    }
    let log = LogClient::new(http, options.log, options.timeout);
    match read_log(&log).await {
        Ok(records) => sources.records = records,
        Err(error) => sources.log_error = Some(error.to_string().into()),
    }
    Ok(sources)
}

/// Returns the current time, in seconds since the Unix epoch; 0 if the clock is before it.
#[must_use]
pub fn unix_now() -> UnixSeconds {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}

/// Requests the counts of one instance; returns the instance along with an error.
async fn fetch_snapshot(
    http: HttpClient,
    entry: ListEntry,
    timeout: Duration,
) -> Result<Snapshot, (ListEntry, CallError)> {
    let response = http.get_json(entry.addr, "/admin/burn", timeout).await;
    response.map_err(|error| (entry, error))
}

/// Reads all records of the burn stream that the log retains.
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
