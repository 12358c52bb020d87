//! [`Instances`]: queries the live instances for the configuration that they have in force.

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
const CALL: Duration = Duration::from_secs(2);
/// Pause between two queries of all instances.
const PAUSE: Duration = Duration::from_millis(100);

/// Clients of the platform's list and of the instances that it lists.
pub(crate) struct Instances {
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
struct Answer {
    offset: Offset,
    digest: Arc<str>,
}

impl Instances {
    /// Returns clients that read the list at `addr`; reads nothing yet.
    pub(crate) async fn new(addr: SocketAddr) -> Result<Self> {
        let http = HttpClient::new().await?;
        let list = ListClient::new(http.clone(), addr);
        Ok(Self { http, list })
    }

    /// Requests the status of every listed entry instance that is not leaving; ordered by id.
    pub(crate) async fn ask(&self) -> Result<Vec<InstanceStatus>> {
        let listing = self.list.fetch(CALL).await?;
        let is_live = |m: &ListEntry| m.role == Role::Entry && !m.leaving;
        let live = listing.members.into_iter().filter(is_live);
        let asked: Vec<_> = live
            .map(|m| ntex::rt::spawn(ask(self.http.clone(), m)))
            .collect();
        let mut statuses = Vec::new();
        for task in asked {
            statuses.extend(task.await.ok());
        }
        statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
        Ok(statuses)
    }

    /// Waits until every live instance has folded all records before the offset `next`.
    ///
    /// Adds the statuses and the result to `report`; its exit code becomes [`Exit::Lagging`] if
    /// instances lag after the time `limit`.
    pub(crate) async fn wait(
        &self,
        next: Offset,
        limit: Duration,
        mut report: Report,
    ) -> Result<Report> {
        let start = Instant::now();
        loop {
            let statuses = self.ask().await;
            let late = |s: &&InstanceStatus| s.offset.is_none_or(|offset| offset < next);
            if let Ok(statuses) = &statuses {
                let lagging = statuses.iter().filter(late).count();
                report.instances.clone_from(statuses);
                if lagging == 0 && !statuses.is_empty() {
                    let count = statuses.len();
                    let _ = write!(report.summary, "; in force on all {count} instances");
                    return Ok(report);
                }
            }
            if start.elapsed() >= limit {
                report.exit = Exit::Lagging;
                let lagging = report.instances.iter().filter(late);
                let names: Vec<&str> = lagging.map(|s| &*s.instance).collect();
                let _ = write!(
                    report.summary,
                    "; not in force yet on: {}",
                    names.join(", ")
                );
                if let Err(error) = statuses {
                    let _ = write!(report.summary, "; the list cannot be read: {error}");
                }
                return Ok(report);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

impl fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\t{}\t", self.instance, self.zone)?;
        match (self.offset, &self.digest) {
            (Some(offset), Some(digest)) => write!(f, "{offset}\t{digest}"),
            _ => write!(f, "{}", self.error.as_deref().unwrap_or("no response")),
        }
    }
}

/// Requests the status of one instance.
async fn ask(http: HttpClient, member: ListEntry) -> InstanceStatus {
    let answer = http
        .get_json::<Answer>(member.addr, "/admin/status", CALL)
        .await;
    let mut status = InstanceStatus {
        instance: member.id,
        zone: member.zone,
        offset: None,
        digest: None,
        error: None,
    };
    match answer {
        Ok(answer) => {
            status.offset = Some(answer.offset);
            status.digest = Some(answer.digest);
        }
        Err(error) => status.error = Some(error.to_string()),
    }
    status
}
