//! [`perform_operations`] carries out operator actions during a run: it marks an engine as leaving,
//! changes the configuration and stops an instance gracefully.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, SystemTime},
};

use anyhow::Result;
use caraway_entry::Entry;
use caraway_wire::HttpClient;
use tokio::time::{Instant, sleep};

use crate::{
    balancer::Balancer,
    deployment::Deployment,
    fleet::{Fleet, applied_offset, engine_id, entry_id, publish_record},
    records::{ROUTING_OFFSET, routing_record},
    rules::{Rule, RuleCounts},
};

/// Interval at which each instance's offset is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit until every instance has applied a published change.
const APPLY_LIMIT: Duration = Duration::from_secs(10);

/// Times of the operator actions that the checks refer to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationTimes {
    /// Time at which the last engine was marked as leaving.
    pub(crate) engine_leaving_at: SystemTime,
    /// Time at which the graceful stop of the last instance began.
    pub(crate) entry_leaving_at: SystemTime,
}

/// Polls the applied configuration offset of every instance and records rule checks.
struct OffsetMonitor {
    http: HttpClient,
    addrs: Vec<SocketAddr>,
    /// Offset that each instance last reported.
    offsets: BTreeMap<SocketAddr, u64>,
    rules: RuleCounts,
}

/// Carries out the operator actions in a run of `duration`, and checks that no instance's offset
/// falls.
///
/// The engine leaves after a third of the run, the routing record is published again after a half,
/// and the graceful stop begins after two thirds. `stopping_entry` is the instance to stop.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be created or the record can't be published.
pub(crate) async fn perform_operations(
    deployment: &Deployment,
    fleet: &Fleet,
    balancer: &Balancer,
    stopping_entry: Entry,
    duration: Duration,
) -> Result<(OperationTimes, RuleCounts)> {
    let start = Instant::now();
    let mut monitor = OffsetMonitor::new(fleet.addrs()).await?;
    monitor.poll_until(start + duration / 3).await;
    let engine_leaving_at = SystemTime::now();
    fleet
        .list
        .mark_leaving(&engine_id(deployment.engine_count - 1));
    monitor.poll_until(start + duration / 2).await;
    let change = routing_record(deployment, Some(ROUTING_OFFSET));
    let target_offset = publish_record(fleet.log_addr(), change).await?;
    monitor.wait_until_applied(target_offset).await;
    monitor.poll_until(start + duration * 2 / 3).await;
    let entry_leaving_at = SystemTime::now();
    fleet
        .list
        .mark_leaving(&entry_id(deployment, deployment.entry_count - 1));
    balancer.exclude(deployment.entry_count - 1);
    let drain = thread::spawn(move || stopping_entry.drain());
    monitor.poll_until(start + duration).await;
    while !drain.is_finished() {
        sleep(POLL_INTERVAL).await;
    }
    let times = OperationTimes {
        engine_leaving_at,
        entry_leaving_at,
    };
    Ok((times, monitor.rules))
}

impl OffsetMonitor {
    async fn new(addrs: Vec<SocketAddr>) -> Result<Self> {
        Ok(Self {
            http: HttpClient::new().await?,
            addrs,
            offsets: BTreeMap::new(),
            rules: RuleCounts::default(),
        })
    }

    /// Waits until every instance has reached `target_offset`, and records a check for each.
    async fn wait_until_applied(&mut self, target_offset: u64) {
        let deadline = Instant::now() + APPLY_LIMIT;
        while Instant::now() < deadline
            && self.offsets.values().any(|offset| *offset < target_offset)
        {
            self.poll().await;
            sleep(POLL_INTERVAL).await;
        }
        for addr in &self.addrs {
            let applied = self
                .offsets
                .get(addr)
                .is_some_and(|offset| *offset >= target_offset);
            let violation = (!applied).then(|| format!("{addr}: late by {APPLY_LIMIT:?}"));
            self.rules.record_check(Rule::Configuration, violation);
        }
    }

    /// Polls at intervals until `end`.
    async fn poll_until(&mut self, end: Instant) {
        while Instant::now() < end {
            self.poll().await;
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the offset of each instance once and checks that it did not fall.
    async fn poll(&mut self) {
        for addr in &self.addrs {
            let Some(current) = applied_offset(&self.http, *addr).await else {
                continue;
            };
            let previous = self.offsets.insert(*addr, current).unwrap_or_default();
            let violation =
                (current < previous).then(|| format!("{addr}: from {previous} back to {current}"));
            self.rules.record_check(Rule::Configuration, violation);
        }
    }
}
