//! `caraway-measure` benchmarks the placement policy, the request path, the configuration and the
//! control traffic, and checks call guarantees under faults.
//!
//! Each subcommand is a module of its own with a `run` function; [`flags`] lists them.

mod calls;
mod compare;
mod config;
mod deployment;
mod flags;
mod path;
mod policy;
mod process;
mod slopes;

fn main() -> anyhow::Result<()> {
    match flags::Measure::from_env_or_exit().subcommand {
        flags::MeasureCmd::Calls(args) => calls::run(&args),
        flags::MeasureCmd::Config(args) => config::run(&args),
        flags::MeasureCmd::Compare(args) => compare::run(&args),
        flags::MeasureCmd::Slopes(args) => slopes::run(&args),
        flags::MeasureCmd::Path(args) => path::run(&args),
        flags::MeasureCmd::Policy(args) => policy::run(&args),
    }
}
