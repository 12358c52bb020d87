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
    operate::{Operations, operate},
    outcome::{Ending, Outcome},
    report::Report,
    rules::Rules,
    schedule::{Planned, schedule},
    spoil::{exceed_rate, spoil},
};

/// Time limit until every instance has answered a completion.
const PROBE_LIMIT: Duration = Duration::from_mins(1);
/// Interval between two probes of an instance.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// Time over which requests are sent.
    pub(crate) length: Duration,
    /// Seed of the generated requests.
    pub(crate) seed: u64,
    /// Whether to inject rule violations, to show that the checks detect them.
    pub(crate) spoil: bool,
}

/// Runs a deployment on loopback and returns its report.
///
/// # Errors
///
/// Returns an error if a component does not start, or if the instances don't apply the records or
/// answer a completion in time.
pub(crate) fn run(deployment: Deployment, plan: Plan) -> Result<Report> {
    let fleet = Fleet::start(&deployment)?;
    let system = System::build().disable_signals().build(DefaultRuntime);
    let (fleet, driven) = system.block_on(async move {
        let mut fleet = fleet;
        let driven = drive(&deployment, &mut fleet, plan).await;
        let report = driven.and_then(|driven| report(&deployment, &fleet, plan, driven));
        (fleet, report)
    });
    fleet.stop();
    driven
}

/// What was observed while the requests were sent.
struct Driven {
    outcomes: Vec<Outcome>,
    operations: Operations,
    rules: Rules,
    length: Duration,
}

/// Publishes the records, waits for the instances, then sends the requests while operator actions
/// and, if enabled, injected violations run beside them.
async fn drive(deployment: &Deployment, fleet: &mut Fleet, plan: Plan) -> Result<Driven> {
    let entries = fleet.addrs();
    eprintln!("publishing {} adapters", deployment.adapters);
    fleet::open(deployment, fleet.log_addr(), &entries).await?;
    eprintln!("waiting until every instance answers a completion");
    probe(deployment, &entries).await?;
    eprintln!("sending requests for {} s", plan.length.as_secs());
    let planned = schedule(deployment, plan.length, plan.seed)?;
    let start = Instant::now();
    let leaver = fleet
        .entries
        .pop()
        .context("the deployment has no entry instance")?;
    let balancer = Balancer::new(entries);
    let operate = operate(deployment, fleet, &balancer, leaver, plan.length);
    let spoiled = async {
        if plan.spoil {
            spoil(fleet).await?;
        }
        anyhow::Ok(())
    };
    let drive = driver::drive(deployment, &balancer, planned);
    let (outcomes, operated, spoiled) = tokio::join!(drive, operate, spoiled);
    spoiled.context("injecting violations")?;
    if plan.spoil {
        exceed_rate(fleet);
    }
    let (operations, rules) = operated.context("running operator actions")?;
    Ok(Driven {
        outcomes: outcomes?,
        operations,
        rules,
        length: start.elapsed(),
    })
}

/// Probes each instance with a short completion until it answers, as a load balancer's health check
/// would.
async fn probe(deployment: &Deployment, entries: &[SocketAddr]) -> Result<()> {
    let caller = Caller::new(deployment).await?;
    let start = Instant::now();
    for (index, entry) in entries.iter().enumerate() {
        let probe = Planned::probe(deployment, index);
        while caller.send(*entry, probe.clone()).await.ending != Ending::Answered {
            if start.elapsed() > PROBE_LIMIT {
                bail!("{entry} did not answer a completion within {PROBE_LIMIT:?}");
            }
            sleep(PROBE_PAUSE).await;
        }
    }
    Ok(())
}

/// Checks the rules and summarizes the run.
fn report(deployment: &Deployment, fleet: &Fleet, plan: Plan, driven: Driven) -> Result<Report> {
    let Driven {
        outcomes,
        operations,
        mut rules,
        length,
    } = driven;
    let ledgers = Ledgers {
        engines: fleet.engines.iter().map(Engine::ledger).collect(),
        services: fleet.services.iter().map(Service::ledger).collect(),
        store: fleet.store.ledger(),
    };
    checker::check(deployment, &outcomes, &ledgers, operations, &mut rules);
    Report::new(deployment, plan.seed, length, &outcomes, &ledgers, rules)
}
