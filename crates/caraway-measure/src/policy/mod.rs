//! `caraway-measure policy`: placement policies side by side on the same arrivals.
//!
//! A discrete-event loop passes the time to six real nodes, or to a baseline, and to small fakes
//! of the engines and the weight store. The same seed prints the same bytes.

mod arrivals;
mod baseline;
mod engine;
mod figures;
mod nodes;
mod plot;
mod scenario;
mod store;
mod world;

use anyhow::ensure;

use self::{
    arrivals::Request,
    baseline::{Central, Choice},
    figures::Figures,
    nodes::Nodes,
    scenario::Plan,
    world::World,
};
use crate::flags::Policy;

/// The policies that can run.
const POLICIES: [&str; 4] = ["carawayworks", "least-loaded", "hashing", "offline"];

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error when a flag has an unknown value or the plot cannot be written.
pub(crate) fn run(args: &Policy) -> anyhow::Result<()> {
    let plan = Plan::new(args)?;
    let chosen: Vec<&'static str> = POLICIES
        .into_iter()
        .filter(|p| args.policy.as_deref().is_none_or(|wanted| wanted == *p))
        .collect();
    ensure!(
        !chosen.is_empty(),
        "--policy: expected one of {}",
        POLICIES.join(", ")
    );
    let requests = arrivals::draw(&plan);
    let figures: Vec<Figures> = chosen
        .iter()
        .map(|p| measure(p, &plan, &requests))
        .collect();
    if let Some(path) = &args.plot {
        let title = format!("{} {}", plan.deployment.name(), plan.scenario.name());
        plot::write(path, &title, &figures)?;
    }
    print(args, &plan, &figures)
}

fn measure(policy: &'static str, plan: &Plan, requests: &[Request]) -> Figures {
    let choice = match policy {
        "least-loaded" => Some(Choice::LeastLoaded),
        "hashing" => Some(Choice::Hashing),
        "offline" => Some(Choice::Offline),
        _ => None,
    };
    let tally = if let Some(choice) = choice {
        let world = World::new(plan, requests);
        let mut driver = Central::new(choice, plan, &world);
        world.run(&mut driver)
    } else {
        World::new(plan, requests).run(&mut Nodes::new(plan))
    };
    Figures::new(policy, plan, requests, &tally)
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
        plan.deployment.name(),
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
