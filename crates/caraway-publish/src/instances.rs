//! [`Instances`]: the live instances and what they have in force.

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

/// Longest call of the list or an instance.
const CALL: Duration = Duration::from_secs(2);
/// Time between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks the instances that the platform's list names.
pub(crate) struct Instances {
    http: HttpClient,
    list: ListClient,
}

/// What one instance says.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct InstanceStatus {
    /// The instance.
    pub(crate) instance: InstanceId,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// Offset after the last record in force; none if it does not answer.
    pub(crate) offset: Option<Offset>,
    /// Digest of its configuration.
    pub(crate) digest: Option<Arc<str>>,
    /// Why it does not answer.
    pub(crate) error: Option<String>,
}

/// What `GET /admin/status` answers, as far as it matters here.
#[derive(Debug, Deserialize)]
struct Answer {
    offset: Offset,
    digest: Arc<str>,
}

impl Instances {
    /// Reads the list at `addr`.
    pub(crate) async fn new(addr: SocketAddr) -> Result<Self> {
        let http = HttpClient::new().await?;
        let list = ListClient::new(http.clone(), addr);
        Ok(Self { http, list })
    }

    /// Asks every live instance, in the order of their ids.
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

    /// Waits until every live instance has folded the records below `next`.
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
            _ => write!(f, "{}", self.error.as_deref().unwrap_or("no answer")),
        }
    }
}

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
