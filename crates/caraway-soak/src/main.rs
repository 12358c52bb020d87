//! Runs gateways under injected faults, seed by seed.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail};
use caraway_soak::{Plan, run, schedule};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs gateways under injected faults and checks what callers and endpoints see.
        cmd caraway-soak {
            /// Seeds, FIRST..LAST; the last one is played, too.
            optional --seeds seeds: String
            /// Seconds in which faults begin.
            optional --seconds seconds: u64
            /// Availability zones.
            optional --zones zones: usize
            /// Instances of each zone.
            optional --instances instances: usize
            /// Engines of each zone.
            optional --engines engines: usize
            /// The gateway's program; else the one beside this program.
            optional --program program: PathBuf
            /// Print the faults of the seeds instead of playing them.
            optional --list
        }
    }
}

fn main() -> ExitCode {
    match play(&flags::CarawaySoak::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("caraway-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Plays every seed; false when one broke a promise.
fn play(flags: &flags::CarawaySoak) -> Result<bool> {
    let defaults = Plan::default();
    let (first, last) = seeds(flags.seeds.as_deref().unwrap_or("1..1"))?;
    let program = match &flags.program {
        Some(program) => program.clone(),
        None => beside()?,
    };
    let mut red = Vec::new();
    for seed in first..=last {
        let plan = Plan {
            program: program.clone(),
            seed,
            span: flags.seconds.map_or(defaults.span, Duration::from_secs),
            zones: flags.zones.unwrap_or(defaults.zones),
            instances: flags.instances.unwrap_or(defaults.instances),
            engines: flags.engines.unwrap_or(defaults.engines),
            ..defaults.clone()
        };
        if flags.list {
            for timed in schedule(&plan) {
                println!("{timed:?}");
            }
            continue;
        }
        let report = run(&plan)?;
        println!("{report}");
        if !report.broken.is_empty() {
            red.push(seed);
        }
    }
    if !red.is_empty() {
        println!("broken: {red:?}");
    }
    Ok(red.is_empty())
}

fn seeds(text: &str) -> Result<(u64, u64)> {
    let range = text.split_once("..");
    let (first, last) =
        range.with_context(|| format!("--seeds: expected FIRST..LAST, got {text:?}"))?;
    let number = |n: &str| {
        n.parse()
            .with_context(|| format!("--seeds: {n:?} is no number"))
    };
    let (first, last) = (number(first)?, number(last)?);
    if first > last {
        bail!("--seeds: {first} is after {last}");
    }
    Ok((first, last))
}

fn beside() -> Result<PathBuf> {
    let own = std::env::current_exe().context("--program: this program's place is not known")?;
    Ok(own.with_file_name("caraway-gateway"))
}
