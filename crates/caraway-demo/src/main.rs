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
mod inject;
mod operations;
mod outcome;
mod records;
mod report;
mod rules;
mod run;
mod schedule;
mod table;

use std::{fs, process::ExitCode, time::Duration};

use anyhow::{Context, Result};

use crate::{flags::CarawayDemo, run::RunOptions};

/// Exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Default time over which requests are sent, in seconds.
const DEFAULT_SECONDS: u64 = 15;
/// Default seed of the generated requests.
const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let flags = CarawayDemo::from_env_or_exit();
    let Some(deployment) = deployments::by_name(&flags.deployment) else {
        let (got, names) = (&flags.deployment, deployments::EXPECTED_NAMES);
        eprintln!("--deployment {got}: expected {names}");
        return ExitCode::from(EXIT_USAGE);
    };
    let options = RunOptions {
        duration: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS).max(1)),
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        inject_violations: flags.spoil,
    };
    let report = run::run(deployment, options);
    match report.and_then(|report| print_report(&flags, &report)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("caraway-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the report, writes it to the file of `--report`, and returns the number of violations.
fn print_report(flags: &CarawayDemo, report: &report::Report) -> Result<u64> {
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
