//! Command-line tool that runs gateways under injected faults, once for each seed.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail};
use caraway_soak::{Plan, run, schedule};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs gateways under injected faults and checks what callers and endpoints observe.
        cmd caraway-soak {
            /// Seeds, FIRST..LAST, including LAST; 1..1 by default.
            optional --seeds seeds: String
            /// Period in which faults start, in seconds.
            optional --seconds seconds: u64
            /// Number of availability zones.
            optional --zones zones: usize
            /// Number of gateway instances in each zone.
            optional --instances instances: usize
            /// Number of engines in each zone.
            optional --engines engines: usize
            /// Executable of the gateway; by default caraway-gateway beside this program.
            optional --program program: PathBuf
            /// Executable of another build of the gateway, to run side by side with the first.
            optional --former former: PathBuf
            /// Leave out the store's returns from an older copy, for builds that do not know of them.
            optional --keep-store
            /// Configure no client accounts, for builds that do not know of them.
            optional --without-accounts
            /// Print the faults of the seeds without running them.
            optional --list
        }
    }
}

fn main() -> ExitCode {
    match run_seeds(&flags::CarawaySoak::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("caraway-soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs every seed; returns `false` if a guarantee was violated.
fn run_seeds(flags: &flags::CarawaySoak) -> Result<bool> {
    let defaults = Plan::default();
    let (first, last) = parse_seeds(flags.seeds.as_deref().unwrap_or("1..1"))?;
    let program = match &flags.program {
        Some(program) => program.clone(),
        None => default_program()?,
    };
    let mut failed_seeds = Vec::new();
    for seed in first..=last {
        let plan = Plan {
            program: program.clone(),
            former: flags.former.clone(),
            keeps_store: flags.keep_store,
            has_accounts: !flags.without_accounts,
            seed,
            fault_period: flags
                .seconds
                .map_or(defaults.fault_period, Duration::from_secs),
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
        if !report.violations.is_empty() {
            failed_seeds.push(seed);
        }
    }
    if !failed_seeds.is_empty() {
        println!("broken: {failed_seeds:?}");
    }
    Ok(failed_seeds.is_empty())
}

/// Parses the value of `--seeds` into the first and the last seed.
fn parse_seeds(text: &str) -> Result<(u64, u64)> {
    let range = text.split_once("..");
    let (first, last) =
        range.with_context(|| format!("--seeds: expected FIRST..LAST, got {text:?}"))?;
    let number = |n: &str| {
        n.parse()
            .with_context(|| format!("--seeds: {n:?} is not a number"))
    };
    let (first, last) = (number(first)?, number(last)?);
    if first > last {
        bail!("--seeds: {first} is after {last}");
    }
    Ok((first, last))
}

/// Returns the path of the gateway's executable in the directory of this program.
fn default_program() -> Result<PathBuf> {
    let program =
        std::env::current_exe().context("--program: can't determine the path of this program")?;
    Ok(program.with_file_name("caraway-gateway"))
}
