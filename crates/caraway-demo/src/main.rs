//! Runs a deployment of the users on one machine: stand-ins, entry instances and callers as
//! threads of one process on loopback. Ends with a report and fails on any violation.

mod balancer;
mod caller;
mod checker;
mod deployment;
mod deployments;
mod driver;
mod flags;
mod fleet;
mod operate;
mod outcome;
mod records;
mod report;
mod rules;
mod run;
mod schedule;
mod spoil;
mod table;

use std::{fs, process::ExitCode, time::Duration};

use anyhow::{Context, Result};

use crate::{flags::CarawayDemo, run::Plan};

/// Exit status for a bad command line.
const BAD_FLAGS: u8 = 2;
/// Time over which requests arrive, in seconds.
const LENGTH_S: u64 = 15;
/// Seed of the requests.
const SEED: u64 = 1;

fn main() -> ExitCode {
    let flags = CarawayDemo::from_env_or_exit();
    let Some(deployment) = deployments::by_name(&flags.deployment) else {
        let (got, names) = (&flags.deployment, deployments::NAMES);
        eprintln!("--deployment {got}: expected {names}");
        return ExitCode::from(BAD_FLAGS);
    };
    let plan = Plan {
        length: Duration::from_secs(flags.seconds.unwrap_or(LENGTH_S).max(1)),
        seed: flags.seed.unwrap_or(SEED),
        spoil: flags.spoil,
    };
    let report = run::run(deployment, plan);
    match report.and_then(|report| print(&flags, &report)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("caraway-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the report and returns its number of violations.
fn print(flags: &CarawayDemo, report: &report::Report) -> Result<u64> {
    let text = if flags.json {
        serde_json::to_string_pretty(report)?
    } else {
        report.to_string()
    };
    println!("{text}");
    if let Some(file) = &flags.report {
        fs::write(file, &text).with_context(|| format!("writing {}", file.display()))?;
    }
    Ok(report.rules.violations())
}
