//! Runs a sample deployment in one process on loopback: stand-ins for the platform and the
//! endpoints, entry instances, and callers that send generated requests.
//!
//! After the run, the outcomes are checked against the ledgers of the stand-ins. The program prints
//! a report and fails if any rule was violated.

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

/// Exit status for an invalid command line.
const BAD_FLAGS: u8 = 2;
/// Default time over which requests are sent, in seconds.
const LENGTH_S: u64 = 15;
/// Default seed of the generated requests.
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

/// Prints the report, writes it to the file of `--report`, and returns the number of violations.
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
