//! Time from the log's acceptance of a change until the change is in force on all six instances.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use caraway_standin::{LogFaults, RelayFaults, RelayMode};
use caraway_types::Offset;
use caraway_wire::{HttpClient, log::CONFIG_STREAM};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::deployment::{Deployment, DeploymentPlan};

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two polls of the instances' status.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay that a slow log adds to each of its answers.
const SLOW_LOG_DELAY_MS: u64 = 1_000;
/// Longest wait until all changes are in force, and timeout of a status request.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sizes of the measurement.
#[derive(Debug)]
pub(crate) struct Options {
    /// Changes published in each scenario.
    pub(crate) changes: u32,
    /// Adapters published before the start.
    pub(crate) adapters: usize,
    /// Length of the log's outage, in seconds.
    pub(crate) outage_s: u32,
}

/// Figures of one scenario.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    /// Name of the scenario.
    #[serde(rename = "log")]
    scenario: &'static str,
    /// Changes whose time was measured.
    changes: u64,
    p50_ms: f64,
    p99_ms: f64,
    largest_ms: f64,
    /// Distinct digests of the instances' states at the end.
    digests: usize,
}

/// The fault of the log or of the way to it.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    /// No fault.
    Healthy,
    /// The log delays each answer.
    Slow,
    /// The log is down after the first half of the changes.
    Down,
    /// The instances of one zone can't reach the log.
    ZoneCut,
}

/// Fields of an instance's answer to `/admin/status`.
#[derive(Debug, Deserialize)]
struct Status {
    /// Offset up to which the log is in force.
    offset: Offset,
    /// Digest of the configuration's state.
    digest: String,
}

/// A published change that isn't in force on every instance yet.
#[derive(Debug)]
struct PendingChange {
    offset: Offset,
    accepted_at: Instant,
}

/// The run of one scenario.
struct Run<'a> {
    deployment: &'a Deployment,
    http: HttpClient,
    pending: Vec<PendingChange>,
    /// Times from acceptance to in force everywhere, in microseconds.
    latencies: Histogram<u64>,
    /// Changes published so far in all scenarios; numbers the next change.
    published: u64,
}

/// Measures every scenario on one deployment.
pub(crate) fn measure(options: Options) -> Result<Vec<Figures>> {
    let deployment = Deployment::start(&DeploymentPlan {
        entries: 6,
        zones: 3,
        engines: 3,
        adapters: options.adapters,
        ..DeploymentPlan::default()
    })?;
    let (deployment, figures) = crate::path::block_on(run_all(deployment, options))?;
    deployment.stop();
    Ok(figures)
}

/// Runs every scenario in turn.
async fn run_all(deployment: Deployment, options: Options) -> Result<(Deployment, Vec<Figures>)> {
    let scenarios = [
        Scenario::Healthy,
        Scenario::Slow,
        Scenario::Down,
        Scenario::ZoneCut,
    ];
    let mut published = 0;
    let mut figures = Vec::new();
    for scenario in scenarios {
        figures.push(run_one(&deployment, scenario, &options, published).await?);
        published += u64::from(options.changes);
    }
    Ok((deployment, figures))
}

/// Runs one scenario.
async fn run_one(
    deployment: &Deployment,
    scenario: Scenario,
    options: &Options,
    published: u64,
) -> Result<Figures> {
    let mut run = Run {
        deployment,
        http: HttpClient::new().await?,
        pending: Vec::new(),
        latencies: Histogram::new(3)?,
        published,
    };
    run.wait_in_force().await?;
    run.apply_faults(scenario);
    run.publish(options.changes / 2).await?;
    if matches!(scenario, Scenario::Down) {
        run.set_log_down(true);
        run.poll_for(Duration::from_secs(options.outage_s.into()))
            .await?;
        run.set_log_down(false);
    }
    run.publish(options.changes - options.changes / 2).await?;
    run.wait_in_force().await?;
    run.apply_faults(Scenario::Healthy);
    run.wait_in_force().await?;
    run.figures(scenario).await
}

impl Run<'_> {
    /// Sets the log delay and the zone cut of a scenario; clears all other faults.
    fn apply_faults(&self, scenario: Scenario) {
        let slow = if matches!(scenario, Scenario::Slow) {
            SLOW_LOG_DELAY_MS
        } else {
            0
        };
        self.deployment.log.set_faults(LogFaults {
            slow: slow.into(),
            ..LogFaults::default()
        });
        let mode = if matches!(scenario, Scenario::ZoneCut) {
            RelayMode::Cut
        } else {
            RelayMode::Pass
        };
        self.deployment.relay.set_faults(RelayFaults {
            mode,
            ..RelayFaults::default()
        });
    }

    fn set_log_down(&self, down: bool) {
        self.deployment.log.set_faults(LogFaults {
            down,
            ..LogFaults::default()
        });
    }

    /// Publishes `count` changes at [`CHANGE_INTERVAL`] and polls the instances meanwhile.
    async fn publish(&mut self, count: u32) -> Result<()> {
        for _ in 0..count {
            let id = format!("change-{}", self.published);
            let record = json!({
                "schema": 1, "kind": "account", "key": id, "id": id,
                "body": {"rate": 1},
            });
            self.published += 1;
            let records = [record.to_string().into()];
            self.deployment.log.append(CONFIG_STREAM, &records);
            let accepted_at = Instant::now();
            let offset = self.deployment.log.page(CONFIG_STREAM).end - 1;
            self.pending.push(PendingChange {
                offset,
                accepted_at,
            });
            self.poll_for(CHANGE_INTERVAL).await?;
        }
        Ok(())
    }

    /// Polls the instances for a duration.
    async fn poll_for(&mut self, time: Duration) -> Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            self.poll().await?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until everything in the log is in force on every instance.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes longer than [`SETTLE_TIMEOUT`].
    async fn wait_in_force(&mut self) -> Result<()> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let log_end = self.deployment.log.page(CONFIG_STREAM).end;
        while self.poll().await? < log_end {
            ensure!(
                Instant::now() < deadline,
                "an instance did not apply all changes within {SETTLE_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Records the latency of changes that are in force now; returns the instances' lowest offset.
    async fn poll(&mut self) -> Result<Offset> {
        let statuses = self.fetch_statuses().await?;
        let min_offset = statuses.iter().map(|s| s.offset).min().unwrap_or(0);
        for change in self
            .pending
            .extract_if(.., |change| change.offset < min_offset)
        {
            let micros = change.accepted_at.elapsed().as_micros();
            self.latencies.record(u64::try_from(micros)?)?;
        }
        Ok(min_offset)
    }

    async fn fetch_statuses(&self) -> Result<Vec<Status>> {
        let count = self.deployment.entries.len();
        let addrs = (0..count).map(|i| self.deployment.addr(i));
        let statuses = join_all(addrs.map(|addr| fetch_status(&self.http, addr))).await;
        statuses.into_iter().collect()
    }

    /// Returns the figures of the run.
    ///
    /// # Errors
    ///
    /// Returns an error when the instances' states differ.
    async fn figures(&self, scenario: Scenario) -> Result<Figures> {
        let statuses = self.fetch_statuses().await?;
        let digests: BTreeSet<String> = statuses.into_iter().map(|s| s.digest).collect();
        ensure!(
            digests.len() == 1,
            "the instances report different state digests"
        );
        let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1e3;
        Ok(Figures {
            scenario: match scenario {
                Scenario::Healthy => "healthy",
                Scenario::Slow => "slow",
                Scenario::Down => "down between",
                Scenario::ZoneCut => "zone cut",
            },
            changes: self.latencies.len(),
            p50_ms: ms(self.latencies.value_at_quantile(0.5)),
            p99_ms: ms(self.latencies.value_at_quantile(0.99)),
            largest_ms: ms(self.latencies.max()),
            digests: digests.len(),
        })
    }
}

impl Figures {
    /// Prints the figures as a row of the table.
    pub(crate) fn print(&self) {
        println!(
            "{:<12}  {:>7}  {:>6.0}  {:>6.0}  {:>10.0}  {:>7}",
            self.scenario, self.changes, self.p50_ms, self.p99_ms, self.largest_ms, self.digests,
        );
    }
}

async fn fetch_status(http: &HttpClient, addr: SocketAddr) -> Result<Status> {
    let status = http.get_json(addr, "/admin/status", SETTLE_TIMEOUT).await;
    status.with_context(|| format!("the instance at {addr} did not return its status"))
}
