//! `caraway-measure config`: the cost of applying configuration records, and the time until a
//! published change is in force on every instance.

mod fold;
mod propagation;

use anyhow::{Result, ensure};
use serde::Serialize;

use crate::flags::Config;

/// Changes in each scenario, unless `--changes` sets another number.
const DEFAULT_CHANGES: u32 = 200;
/// Adapters that are published before, unless `--adapters` sets another number.
const DEFAULT_ADAPTERS: u32 = 3_000;
/// Length of the log's outage in seconds, unless `--outage-s` sets another.
const DEFAULT_OUTAGE_S: u32 = 60;
/// Numbers of adapters for which the fold is measured.
const FOLD_SIZES: [u32; 2] = [3_000, 10_000];

/// Figures of both measurements.
#[derive(Debug, Serialize)]
struct Report {
    folds: Vec<fold::Figures>,
    #[serde(rename = "in_force")]
    propagation: Vec<propagation::Figures>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when a change doesn't come into force or instances differ at the end.
pub(crate) fn run(args: &Config) -> Result<()> {
    let changes = args.changes.unwrap_or(DEFAULT_CHANGES);
    ensure!(changes >= 10, "--changes: expected at least 10");
    let options = propagation::Options {
        changes,
        adapters: usize::try_from(args.adapters.unwrap_or(DEFAULT_ADAPTERS))?,
        outage_s: args.outage_s.unwrap_or(DEFAULT_OUTAGE_S),
    };
    let folds = fold::measure(&FOLD_SIZES)?;
    let report = Report {
        folds,
        propagation: propagation::measure(options)?,
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
    report
        .propagation
        .iter()
        .for_each(propagation::Figures::print);
    Ok(())
}
