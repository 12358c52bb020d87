//! `caraway-measure config`: what the configuration costs, and how soon a change is in force.

mod fold;
mod in_force;

use anyhow::{Result, ensure};
use serde::Serialize;

use crate::flags::Config;

/// Changes in each scenario, unless the command line says otherwise.
const CHANGES: u32 = 200;
/// Adapters that are published before, unless the command line says otherwise.
const ADAPTERS: u32 = 3_000;
/// Length of the log's outage in seconds, unless the command line says otherwise.
const OUTAGE_S: u32 = 60;
/// Numbers of adapters at which the fold is measured.
const FOLDS: [u32; 2] = [3_000, 10_000];

/// All figures.
#[derive(Debug, Serialize)]
struct Report {
    folds: Vec<fold::Figures>,
    in_force: Vec<in_force::Figures>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when a change does not come into force or instances differ at the end.
pub(crate) fn run(args: &Config) -> Result<()> {
    let changes = args.changes.unwrap_or(CHANGES);
    ensure!(changes >= 10, "--changes: at least 10");
    let plan = in_force::Plan {
        changes,
        adapters: usize::try_from(args.adapters.unwrap_or(ADAPTERS))?,
        outage_s: args.outage_s.unwrap_or(OUTAGE_S),
    };
    let folds = fold::measure(&FOLDS)?;
    let report = Report {
        folds,
        in_force: in_force::measure(plan)?,
    };
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!(
        "adapters  records  fold us/record  copy ms  snapshot ms  bytes  chunks  restore ms  memory bytes"
    );
    report.folds.iter().for_each(fold::Figures::print);
    println!("log          changes  p50 ms  p99 ms  largest ms  digests");
    report.in_force.iter().for_each(in_force::Figures::print);
    Ok(())
}
