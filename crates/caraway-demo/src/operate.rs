//! [`operate`] carries out operator actions during a run: it removes an engine, changes the
//! configuration and stops an instance gracefully.

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
    fleet::{Fleet, engine_id, entry_id, offset, publish},
    records::{ROUTING_OFFSET, routing},
    rules::{Rule, Rules},
};

/// Interval at which each instance's offset is polled.
const POLL: Duration = Duration::from_millis(200);
/// Time limit until every instance has applied a published change.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Times of the operator actions that the checks refer to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Operations {
    /// Time at which the last engine was marked as leaving.
    pub(crate) engine_left: SystemTime,
    /// Time at which the graceful stop of the last instance began.
    pub(crate) entry_left: SystemTime,
}

/// Polls the applied configuration offset of every instance and records rule checks.
struct Follower {
    http: HttpClient,
    entries: Vec<SocketAddr>,
    seen: BTreeMap<SocketAddr, u64>,
    rules: Rules,
}

/// Carries out the operator actions in a run of `length`, and checks that no instance's offset
/// falls.
///
/// The engine leaves after a third of the run, the routing record is published again after a half,
/// and the graceful stop begins after two thirds. `leaver` is the instance to stop.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be created or the record can't be published.
pub(crate) async fn operate(
    deployment: &Deployment,
    fleet: &Fleet,
    balancer: &Balancer,
    leaver: Entry,
    length: Duration,
) -> Result<(Operations, Rules)> {
    let start = Instant::now();
    let mut follower = Follower::new(fleet.addrs()).await?;
    follower.look_until(start + length / 3).await;
    let engine_left = SystemTime::now();
    fleet.list.mark_leaving(&engine_id(deployment.engines - 1));
    follower.look_until(start + length / 2).await;
    let change = routing(deployment, Some(ROUTING_OFFSET));
    let target = publish(fleet.log_addr(), change).await?;
    follower.await_in_force(target).await;
    follower.look_until(start + length * 2 / 3).await;
    let entry_left = SystemTime::now();
    fleet
        .list
        .mark_leaving(&entry_id(deployment, deployment.entries - 1));
    balancer.close(deployment.entries - 1);
    let drain = thread::spawn(move || leaver.drain());
    follower.look_until(start + length).await;
    while !drain.is_finished() {
        sleep(POLL).await;
    }
    let operations = Operations {
        engine_left,
        entry_left,
    };
    Ok((operations, follower.rules))
}

impl Follower {
    async fn new(entries: Vec<SocketAddr>) -> Result<Self> {
        Ok(Self {
            http: HttpClient::new().await?,
            entries,
            seen: BTreeMap::new(),
            rules: Rules::default(),
        })
    }

    /// Waits until every instance has reached the offset `target`, and records a check for each.
    async fn await_in_force(&mut self, target: u64) {
        let late = Instant::now() + IN_FORCE_LIMIT;
        while Instant::now() < late && self.seen.values().any(|offset| *offset < target) {
            self.look().await;
            sleep(POLL).await;
        }
        for entry in &self.entries {
            let in_force = self.seen.get(entry).is_some_and(|offset| *offset >= target);
            let broken = (!in_force).then(|| format!("{entry}: late by {IN_FORCE_LIMIT:?}"));
            self.rules.check(Rule::Configuration, broken);
        }
    }

    /// Polls at intervals until `end`.
    async fn look_until(&mut self, end: Instant) {
        while Instant::now() < end {
            self.look().await;
            sleep(POLL).await;
        }
    }

    /// Polls the offset of each instance once and checks that it did not fall.
    async fn look(&mut self) {
        for entry in &self.entries {
            let Some(now) = offset(&self.http, *entry).await else {
                continue;
            };
            let before = self.seen.insert(*entry, now).unwrap_or_default();
            let broken = (now < before).then(|| format!("{entry}: from {before} back to {now}"));
            self.rules.check(Rule::Configuration, broken);
        }
    }
}
