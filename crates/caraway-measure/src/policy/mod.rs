//! `caraway-measure policy`: simulates placement policies on the same arrivals.
//!
//! A discrete-event loop drives six real nodes, or a baseline policy, against simple models of the
//! engines and the weight store. The same seed prints the same bytes.

mod arrivals;
mod baseline;
mod engine;
mod figures;
mod node_policy;
mod plot;
mod scenario;
mod simulator;
mod store;

use anyhow::ensure;

use self::{
    arrivals::Request,
    baseline::{BaselineKind, CentralPolicy},
    figures::Figures,
    node_policy::NodePolicy,
    scenario::Plan,
    simulator::Simulator,
};
use crate::flags::Policy;

/// The names of the policies; `carawayworks` is the one that the daemons use.
const POLICIES: [&str; 4] = ["carawayworks", "least-loaded", "hashing", "offline"];

/// Simulates the policies and prints their figures.
///
/// # Errors
///
/// Returns an error when a flag has an unknown value or the plot can't be written.
pub(crate) fn run(args: &Policy) -> anyhow::Result<()> {
    let plan = Plan::new(args)?;
    let policies: Vec<&'static str> = POLICIES
        .into_iter()
        .filter(|p| args.policy.as_deref().is_none_or(|name| name == *p))
        .collect();
    ensure!(
        !policies.is_empty(),
        "--policy: expected one of {}",
        POLICIES.join(", ")
    );
    let requests = arrivals::generate(&plan);
    let figures: Vec<Figures> = policies
        .iter()
        .map(|p| simulate(p, &plan, &requests))
        .collect();
    if let Some(path) = &args.plot {
        let title = format!("{} {}", plan.profile.name(), plan.scenario.name());
        plot::write(path, &title, &figures)?;
    }
    print(args, &plan, &figures)
}

fn simulate(policy: &'static str, plan: &Plan, requests: &[Request]) -> Figures {
    let baseline = match policy {
        "least-loaded" => Some(BaselineKind::LeastLoaded),
        "hashing" => Some(BaselineKind::Hashing),
        "offline" => Some(BaselineKind::Offline),
        _ => None,
    };
    let totals = if let Some(baseline) = baseline {
        let sim = Simulator::new(plan, requests);
        let mut driver = CentralPolicy::new(baseline, plan, &sim);
        sim.run(&mut driver)
    } else {
        Simulator::new(plan, requests).run(&mut NodePolicy::new(plan))
    };
    Figures::new(policy, plan, requests, &totals)
}

fn print(args: &Policy, plan: &Plan, figures: &[Figures]) -> anyhow::Result<()> {
    if args.json {
        for f in figures {
            println!("{}", serde_json::to_string(f)?);
        }
        return Ok(());
    }
    println!(
        "{} {} seed {} slots {} rate {}",
        plan.profile.name(),
        plan.scenario.name(),
        plan.seed,
        plan.slots,
        plan.rate
    );
    println!(
        "{:<14}{:>10}{:>9}{:>10}{:>9}{:>7}{:>7}{:>7}{:>9}{:>10}{:>6}{:>6}{:>8}{:>9}",
        "policy",
        "stall ms",
        "p50",
        "p99",
        "stalled",
        "fill",
        "loads",
        "evict",
        "refused",
        "token p95",
        "viol",
        "busy",
        "open",
        "others"
    );
    for f in figures {
        println!(
            "{:<14}{:>10.1}{:>9.1}{:>10.1}{:>9.3}{:>7.3}{:>7}{:>7}{:>9.4}{:>10.1}{:>6}{:>6.2}{:>8.4}{:>9.1}",
            f.policy,
            f.load_stall_mean_ms,
            f.load_stall_p50_ms,
            f.load_stall_p99_ms,
            f.stalled_share,
            f.batch_fill_mean,
            f.loads,
            f.evictions,
            f.refused_share,
            f.first_token_p95_ms,
            f.violations,
            f.store_busy,
            f.unfinished_share,
            f.others_stall_mean_ms
        );
    }
    Ok(())
}
