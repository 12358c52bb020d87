//! Time from the log's acceptance of a change until it is in force on all of six instances.

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

use crate::deployment::{Deployment, Plan as Floor};

/// Time between two changes.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time between two rounds of questions.
const LOOK: Duration = Duration::from_millis(10);
/// Time that a slow log adds to each call.
const SLOW_MS: u64 = 1_000;
/// Longest wait until everything is in force.
const SETTLE: Duration = Duration::from_secs(30);

/// What to measure.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) changes: u32,
    pub(crate) adapters: usize,
    pub(crate) outage_s: u32,
}

/// Figures of one scenario.
#[derive(Debug, Serialize)]
pub(crate) struct Figures {
    log: &'static str,
    changes: u64,
    p50_ms: f64,
    p99_ms: f64,
    largest_ms: f64,
    digests: usize,
}

/// What happens to the log.
#[derive(Clone, Copy, Debug)]
enum Scenario {
    Healthy,
    Slow,
    /// It is down between two halves of the changes.
    Down,
    /// One zone can't reach it.
    ZoneCut,
}

/// What an instance says.
#[derive(Debug, Deserialize)]
struct Status {
    offset: Offset,
    digest: String,
}

/// A change that is not in force everywhere yet.
#[derive(Debug)]
struct Pending {
    offset: Offset,
    accepted: Instant,
}

/// A running measurement.
struct Run<'a> {
    floor: &'a Deployment,
    http: HttpClient,
    pending: Vec<Pending>,
    times: Histogram<u64>,
    made: u64,
}

/// Measures every scenario on one floor.
pub(crate) fn measure(plan: Plan) -> Result<Vec<Figures>> {
    let floor = Deployment::start(&Floor {
        entries: 6,
        zones: 3,
        engines: 3,
        adapters: plan.adapters,
        ..Floor::default()
    })?;
    let (floor, figures) = crate::path::system(run_all(floor, plan))?;
    floor.stop();
    Ok(figures)
}

/// Runs every scenario in turn.
async fn run_all(floor: Deployment, plan: Plan) -> Result<(Deployment, Vec<Figures>)> {
    let scenarios = [
        Scenario::Healthy,
        Scenario::Slow,
        Scenario::Down,
        Scenario::ZoneCut,
    ];
    let mut made = 0;
    let mut figures = Vec::new();
    for scenario in scenarios {
        figures.push(run_one(&floor, scenario, &plan, made).await?);
        made += u64::from(plan.changes);
    }
    Ok((floor, figures))
}

/// Runs one scenario.
async fn run_one(
    floor: &Deployment,
    scenario: Scenario,
    plan: &Plan,
    made: u64,
) -> Result<Figures> {
    let mut run = Run {
        floor,
        http: HttpClient::new().await?,
        pending: Vec::new(),
        times: Histogram::new(3)?,
        made,
    };
    run.settle().await?;
    run.set_up(scenario);
    run.publish(plan.changes / 2).await?;
    if matches!(scenario, Scenario::Down) {
        run.set_down(true);
        run.watch(Duration::from_secs(plan.outage_s.into())).await?;
        run.set_down(false);
    }
    run.publish(plan.changes - plan.changes / 2).await?;
    run.settle().await?;
    run.set_up(Scenario::Healthy);
    run.settle().await?;
    run.figures(scenario).await
}

impl Run<'_> {
    /// Puts the faults of a scenario in force.
    fn set_up(&self, scenario: Scenario) {
        let slow = if matches!(scenario, Scenario::Slow) {
            SLOW_MS
        } else {
            0
        };
        self.floor.log.set_faults(LogFaults {
            slow: slow.into(),
            ..LogFaults::default()
        });
        let mode = if matches!(scenario, Scenario::ZoneCut) {
            RelayMode::Cut
        } else {
            RelayMode::Pass
        };
        self.floor.relay.set_faults(RelayFaults {
            mode,
            ..RelayFaults::default()
        });
    }

    fn set_down(&self, down: bool) {
        self.floor.log.set_faults(LogFaults {
            down,
            ..LogFaults::default()
        });
    }

    /// Publishes changes at the interval and watches meanwhile.
    async fn publish(&mut self, count: u32) -> Result<()> {
        for _ in 0..count {
            let id = format!("change-{}", self.made);
            let record = json!({
                "schema": 1, "kind": "account", "key": id, "id": id,
                "body": {"rate": 1},
            });
            self.made += 1;
            let records = [record.to_string().into()];
            self.floor.log.append(CONFIG_STREAM, &records);
            let accepted = Instant::now();
            let offset = self.floor.log.page(CONFIG_STREAM).end - 1;
            self.pending.push(Pending { offset, accepted });
            self.watch(INTERVAL).await?;
        }
        Ok(())
    }

    /// Notes for a while what comes into force.
    async fn watch(&mut self, time: Duration) -> Result<()> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.look().await?;
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Waits until everything is in force.
    async fn settle(&mut self) -> Result<()> {
        let end = Instant::now() + SETTLE;
        let wanted = self.floor.log.page(CONFIG_STREAM).end;
        while self.look().await? < wanted {
            ensure!(
                Instant::now() < end,
                "not in force everywhere in {SETTLE:?}"
            );
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Asks every instance, and returns the smallest offset.
    async fn look(&mut self) -> Result<Offset> {
        let statuses = self.ask().await?;
        let least = statuses.iter().map(|s| s.offset).min().unwrap_or(0);
        for done in self.pending.extract_if(.., |p| p.offset < least) {
            let micros = done.accepted.elapsed().as_micros();
            self.times.record(u64::try_from(micros)?)?;
        }
        Ok(least)
    }

    async fn ask(&self) -> Result<Vec<Status>> {
        let count = self.floor.entries.len();
        let addrs = (0..count).map(|i| self.floor.addr(i));
        let asked = join_all(addrs.map(|addr| status(&self.http, addr))).await;
        asked.into_iter().collect()
    }

    async fn figures(&self, scenario: Scenario) -> Result<Figures> {
        let statuses = self.ask().await?;
        let digests: BTreeSet<String> = statuses.into_iter().map(|s| s.digest).collect();
        ensure!(digests.len() == 1, "the instances differ");
        let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1e3;
        Ok(Figures {
            log: match scenario {
                Scenario::Healthy => "healthy",
                Scenario::Slow => "slow",
                Scenario::Down => "down between",
                Scenario::ZoneCut => "zone cut",
            },
            changes: self.times.len(),
            p50_ms: ms(self.times.value_at_quantile(0.5)),
            p99_ms: ms(self.times.value_at_quantile(0.99)),
            largest_ms: ms(self.times.max()),
            digests: digests.len(),
        })
    }
}

impl Figures {
    /// Prints a line.
    pub(crate) fn print(&self) {
        println!(
            "{:<12}  {:>7}  {:>6.0}  {:>6.0}  {:>10.0}  {:>7}",
            self.log, self.changes, self.p50_ms, self.p99_ms, self.largest_ms, self.digests,
        );
    }
}

async fn status(http: &HttpClient, addr: SocketAddr) -> Result<Status> {
    let status = http.get_json(addr, "/admin/status", SETTLE).await;
    status.context("an instance does not answer")
}
