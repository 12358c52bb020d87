//! [`InstanceClient`]: queries the live instances for the configuration that they have in force.

use std::{
    fmt::{self, Write as _},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Result;
use caraway_types::{InstanceId, Offset, ZoneId};
use caraway_wire::{
    HttpClient, ListClient,
    list::{ListEntry, Role},
};
use serde::{Deserialize, Serialize};

use crate::{exit::Exit, report::Report};

/// Timeout of a request to the list or to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two queries of all instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Clients of the platform's list and of the instances that it lists.
pub(crate) struct InstanceClient {
    http: HttpClient,
    list: ListClient,
}

/// The configuration that one instance has in force.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct InstanceStatus {
    /// Id of the instance.
    pub(crate) instance: InstanceId,
    /// Availability zone of the instance.
    pub(crate) zone: ZoneId,
    /// Offset after the last record that the instance has folded; `None` if it did not respond.
    pub(crate) offset: Option<Offset>,
    /// Digest of the configuration, in hexadecimal; `None` if the instance did not respond.
    pub(crate) digest: Option<Arc<str>>,
    /// Error of the request; `None` if the instance responded.
    pub(crate) error: Option<String>,
}

/// The fields of a response to `GET /admin/status` that this tool uses.
#[derive(Debug, Deserialize)]
struct StatusResponse {
    offset: Offset,
    digest: Arc<str>,
}

impl InstanceClient {
    /// Returns clients that read the list at `addr`; reads nothing yet.
    pub(crate) async fn new(addr: SocketAddr) -> Result<Self> {
        let http = HttpClient::new().await?;
        let list = ListClient::new(http.clone(), addr);
        Ok(Self { http, list })
    }

    /// Requests the status of every listed entry instance that is not leaving; ordered by id.
    pub(crate) async fn fetch_all(&self) -> Result<Vec<InstanceStatus>> {
        let listing = self.list.fetch(REQUEST_TIMEOUT).await?;
        let is_live = |m: &ListEntry| m.role == Role::Entry && !m.leaving;
        let live = listing.members.into_iter().filter(is_live);
        let tasks: Vec<_> = live
            .map(|m| ntex::rt::spawn(fetch_status(self.http.clone(), m)))
            .collect();
        let mut statuses = Vec::new();
        for task in tasks {
            statuses.extend(task.await.ok());
        }
        statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
        Ok(statuses)
    }

    /// Waits until every live instance has folded all records before the offset `next`.
    ///
    /// Adds the statuses and the result to `report`; its exit code becomes [`Exit::Lagging`] if
    /// instances lag after the time `timeout`.
    pub(crate) async fn wait_until_folded(
        &self,
        next: Offset,
        timeout: Duration,
        mut report: Report,
    ) -> Result<Report> {
        let start = Instant::now();
        loop {
            let statuses = self.fetch_all().await;
            let is_lagging = |s: &&InstanceStatus| s.offset.is_none_or(|offset| offset < next);
            if let Ok(statuses) = &statuses {
                let lagging = statuses.iter().filter(is_lagging).count();
                report.instances.clone_from(statuses);
                if lagging == 0 && !statuses.is_empty() {
                    let count = statuses.len();
                    let _ = write!(report.summary, "; in force on all {count} instances");
                    return Ok(report);
                }
            }
            if start.elapsed() >= timeout {
                report.exit = Exit::Lagging;
                let lagging = report.instances.iter().filter(is_lagging);
                let ids: Vec<&str> = lagging.map(|s| &*s.instance).collect();
                let _ = write!(report.summary, "; not in force yet on: {}", ids.join(", "));
                if let Err(error) = statuses {
                    let _ = write!(report.summary, "; the list cannot be read: {error}");
                }
                return Ok(report);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\t{}\t", self.instance, self.zone)?;
        match (self.offset, &self.digest) {
            (Some(offset), Some(digest)) => write!(f, "{offset}\t{digest}"),
            _ => write!(f, "{}", self.error.as_deref().unwrap_or("no answer")),
        }
    }
}

/// Requests the status of one instance.
async fn fetch_status(http: HttpClient, member: ListEntry) -> InstanceStatus {
    let response = http
        .get_json::<StatusResponse>(member.addr, "/admin/status", REQUEST_TIMEOUT)
        .await;
    let mut status = InstanceStatus {
        instance: member.id,
        zone: member.zone,
        offset: None,
        digest: None,
        error: None,
    };
    match response {
        Ok(response) => {
            status.offset = Some(response.offset);
            status.digest = Some(response.digest);
        }
        Err(error) => status.error = Some(error.to_string()),
    }
    status
}
