//! [`run`] starts a deployment, sends the requests and returns the report.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result, bail};
use caraway_standin::{Engine, Service};
use ntex::rt::{DefaultRuntime, System};
use tokio::time::{Instant, sleep};

use crate::{
    balancer::Balancer,
    caller::Caller,
    checker::{self, Ledgers},
    deployment::Deployment,
    driver,
    fleet::{self, Fleet},
    inject::{exceed_store_rate, inject_violations},
    operations::{OperationTimes, perform_operations},
    outcome::{Ending, Outcome},
    report::Report,
    rules::RuleCounts,
    schedule::{PlannedRequest, schedule},
};

/// Time limit until every instance has answered a completion.
const PROBE_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunOptions {
    /// Time over which requests are sent.
    pub(crate) duration: Duration,
    /// Seed of the generated requests.
    pub(crate) seed: u64,
    /// Whether to inject rule violations, to show that the checks detect them.
    pub(crate) inject_violations: bool,
}

/// Runs a deployment on loopback and returns its report.
///
/// # Errors
///
/// Returns an error if a component does not start, or if the instances don't apply the records or
/// answer a completion in time.
pub(crate) fn run(deployment: Deployment, options: RunOptions) -> Result<Report> {
    let fleet = Fleet::start(&deployment)?;
    let system = System::build().disable_signals().build(DefaultRuntime);
    let (fleet, report) = system.block_on(async move {
        let mut fleet = fleet;
        let results = run_workloads(&deployment, &mut fleet, options).await;
        let report =
            results.and_then(|results| build_report(&deployment, &fleet, options, results));
        (fleet, report)
    });
    fleet.stop();
    report
}

/// What was observed while the requests were sent.
struct RunResults {
    outcomes: Vec<Outcome>,
    operation_times: OperationTimes,
    rules: RuleCounts,
    duration: Duration,
}

/// Publishes the records, waits for the instances, then sends the requests while operator actions
/// and, if enabled, injected violations run beside them.
async fn run_workloads(
    deployment: &Deployment,
    fleet: &mut Fleet,
    options: RunOptions,
) -> Result<RunResults> {
    let entry_addrs = fleet.addrs();
    eprintln!("publishing {} adapters", deployment.adapter_count);
    fleet::publish_and_wait(deployment, fleet.log_addr(), &entry_addrs).await?;
    eprintln!("waiting until every instance answers a completion");
    probe(deployment, &entry_addrs).await?;
    eprintln!("sending requests for {} s", options.duration.as_secs());
    let planned = schedule(deployment, options.duration, options.seed)?;
    let start = Instant::now();
    let stopping_entry = fleet
        .entries
        .pop()
        .context("the deployment has no entry instance")?;
    let balancer = Balancer::new(entry_addrs);
    let operating = perform_operations(
        deployment,
        fleet,
        &balancer,
        stopping_entry,
        options.duration,
    );
    let injecting = async {
        if options.inject_violations {
            inject_violations(fleet).await?;
        }
        anyhow::Ok(())
    };
    let sending = driver::send_all(deployment, &balancer, planned);
    let (outcomes, operated, injected) = tokio::join!(sending, operating, injecting);
    injected.context("injecting violations")?;
    if options.inject_violations {
        exceed_store_rate(fleet);
    }
    let (operation_times, rules) = operated.context("operating")?;
    Ok(RunResults {
        outcomes: outcomes?,
        operation_times,
        rules,
        duration: start.elapsed(),
    })
}

/// Probes each instance with a short completion until it answers, as a load balancer's health check
/// would.
async fn probe(deployment: &Deployment, entry_addrs: &[SocketAddr]) -> Result<()> {
    let caller = Caller::new(deployment).await?;
    let start = Instant::now();
    for (index, addr) in entry_addrs.iter().enumerate() {
        let probe = PlannedRequest::probe(deployment, index);
        while caller.send(*addr, probe.clone()).await.ending != Ending::Answered {
            if start.elapsed() > PROBE_TIMEOUT {
                bail!("{addr} did not answer a completion within {PROBE_TIMEOUT:?}");
            }
            sleep(PROBE_INTERVAL).await;
        }
    }
    Ok(())
}

/// Checks the rules and summarizes the run.
fn build_report(
    deployment: &Deployment,
    fleet: &Fleet,
    options: RunOptions,
    results: RunResults,
) -> Result<Report> {
    let RunResults {
        outcomes,
        operation_times,
        mut rules,
        duration,
    } = results;
    let ledgers = Ledgers {
        engines: fleet.engines.iter().map(Engine::ledger).collect(),
        services: fleet.services.iter().map(Service::ledger).collect(),
        store: fleet.store.ledger(),
    };
    checker::check(deployment, &outcomes, &ledgers, operation_times, &mut rules);
    Report::new(
        deployment,
        options.seed,
        duration,
        &outcomes,
        &ledgers,
        rules,
    )
}
