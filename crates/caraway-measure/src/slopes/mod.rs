//! `caraway-measure slopes`: control traffic, CPU time and memory of one daemon as its deployment
//! grows, with a line fitted to each. docs/CAPACITY.md uses the figures.
//!
//! The target deployment has 380 instances, 600 replicas and 9,600 requests per second.
#![expect(
    clippy::cast_precision_loss,
    reason = "counts and bytes stay far below 2^52"
)]

mod daemons;
mod fit;
mod fleet;

use std::time::Duration;

use anyhow::Result;
use serde::Serialize;

use self::fit::Fit;
use crate::flags::Slopes;

/// Instances of each simulated fleet, up to the target deployment's.
const FLEET_SIZES: [usize; 5] = [6, 50, 100, 200, 380];
/// Requests per second of each instance at the target deployment's peak.
const PEAK_RATE: f64 = 9600.0 / 380.0;
/// Numbers of real daemons that are measured without requests.
const DAEMON_COUNTS: [usize; 3] = [3, 6, 12];
/// Measured virtual seconds of each fleet, unless `--seconds` sets another number.
const DEFAULT_FLEET_SECONDS: u64 = 20;
/// Measured seconds of real daemons.
const DAEMON_SECONDS: u64 = 10;
/// Instances of the target deployment.
const TARGET_INSTANCES: f64 = 380.0;

/// The measured points and the lines fitted to them.
#[derive(Clone, Debug, Serialize)]
struct Report {
    /// Fleets without requests.
    at_rest: Vec<fleet::Point>,
    /// Fleets at [`PEAK_RATE`].
    at_peak: Vec<fleet::Point>,
    daemons: Vec<daemons::Point>,
    fits: Fits,
}

/// Lines fitted over the number of instances.
#[derive(Clone, Debug, Serialize)]
struct Fits {
    rest_bytes: Fit,
    rest_core: Fit,
    peak_bytes: Fit,
    peak_core: Fit,
    peak_memory: Fit,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when a record isn't accepted or a daemon can't be started.
pub(crate) fn run(args: &Slopes) -> Result<()> {
    let time = Duration::from_secs(args.seconds.unwrap_or(DEFAULT_FLEET_SECONDS));
    let max_instances = args.instances.unwrap_or(usize::MAX);
    let sizes: Vec<usize> = FLEET_SIZES
        .into_iter()
        .filter(|n| *n <= max_instances)
        .collect();
    let fleets = |rate: f64| -> Result<Vec<fleet::Point>> {
        sizes
            .iter()
            .map(|n| {
                eprintln!("fleet of {n}, {rate:.1} requests/s each");
                fleet::run(*n, rate, time)
            })
            .collect()
    };
    let (at_rest, at_peak) = (fleets(0.0)?, fleets(PEAK_RATE)?);
    let counts: &[usize] = if args.daemons { &DAEMON_COUNTS } else { &[] };
    let daemons = counts.iter().map(|n| {
        eprintln!("{n} daemons at rest");
        daemons::run(*n, Duration::from_secs(DAEMON_SECONDS))
    });
    let report = Report {
        fits: Fits::new(&at_rest, &at_peak),
        at_rest,
        at_peak,
        daemons: daemons.collect::<Result<_>>()?,
    };
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(())
}

impl Fits {
    fn new(at_rest: &[fleet::Point], at_peak: &[fleet::Point]) -> Self {
        let line = |points: &[fleet::Point], value: fn(&fleet::Point) -> f64| {
            let points = points.iter().map(|p| (p.instances as f64, value(p)));
            Fit::new(&points.collect::<Vec<_>>())
        };
        Self {
            rest_bytes: line(at_rest, |p| p.bytes),
            rest_core: line(at_rest, |p| p.core),
            peak_bytes: line(at_peak, |p| p.bytes),
            peak_core: line(at_peak, |p| p.core),
            peak_memory: line(at_peak, |p| p.memory),
        }
    }
}

fn print(report: &Report) {
    println!("control of one daemon, by the size of its fleet");
    println!(
        "fleet requests/s  messages/s  bytes/s  (heartbeat  delta   room  permits)  core %   MB"
    );
    for point in report.at_rest.iter().chain(&report.at_peak) {
        let parts = point.parts;
        println!(
            "{:>5} {:>10.1} {:>11.1} {:>8.0}  ({:>9.0} {:>6.0} {:>6.0} {:>8.0})  {:>6.3} {:>4.1}",
            point.instances,
            point.requests,
            point.messages,
            point.bytes,
            parts.heartbeat,
            parts.delta,
            parts.room,
            parts.permits,
            point.core * 100.0,
            point.memory / 1e6,
        );
    }
    let fits = &report.fits;
    let row = |name: &str, fit: &Fit, unit: f64| {
        println!(
            "{name:<22} {:>10.3} + {:>9.5} x instances, error {:>3.0}%, at 380: {:.3}",
            fit.base * unit,
            fit.slope * unit,
            fit.error * 100.0,
            fit.at(TARGET_INSTANCES) * unit,
        );
    };
    row("bytes/s at rest", &fits.rest_bytes, 1.0);
    row("bytes/s at the peak", &fits.peak_bytes, 1.0);
    row("core % at rest", &fits.rest_core, 100.0);
    row("core % at the peak", &fits.peak_core, 100.0);
    row("MB at the peak", &fits.peak_memory, 1e-6);
    for point in &report.daemons {
        println!(
            "{} daemons at rest: {:.2}% of a core and {:.1} MB each, with their part of the stand-ins",
            point.daemons,
            point.core * 100.0,
            point.memory / 1e6
        );
    }
}
