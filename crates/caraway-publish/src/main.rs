//! Command-line tool for operators: checks, publishes and shows the records that configure the
//! deployment.
//!
//! `docs/operators/configuration.md` describes its use and the exit codes.

mod apply;
mod exit;
mod file;
mod flags;
mod history;
mod instance_client;
mod log_reader;
mod plan;
mod report;
mod show;
mod status;

use std::process::ExitCode;

use anyhow::{Context, Result};
use ntex::rt::{DefaultRuntime, System};

use crate::{
    exit::Exit,
    flags::{CarawayPublish, CarawayPublishCmd},
    report::Report,
};

fn main() -> ExitCode {
    let flags = CarawayPublish::from_env_or_exit();
    let json = flags.json;
    let system = System::build().disable_signals().build(DefaultRuntime);
    let result = system.block_on(run(flags));
    let report = result.unwrap_or_else(|error| Report::from_error(&error));
    report.print(json);
    report.exit.into()
}

/// Runs the command that the flags name.
async fn run(flags: CarawayPublish) -> Result<Report> {
    match &flags.subcommand {
        CarawayPublishCmd::Check(check) => apply::check(&flags, &check.file).await,
        CarawayPublishCmd::Apply(apply) => apply::apply(&flags, apply).await,
        CarawayPublishCmd::Show(show) => show::show(&flags, show.key.as_deref()).await,
        CarawayPublishCmd::History(history) => history::history(&flags, &history.key).await,
        CarawayPublishCmd::Status(_) => status::status(&flags).await,
    }
}

/// Returns the address given for the flag `name`, or an error if it was left out.
fn require_addr(addr: Option<std::net::SocketAddr>, name: &str) -> Result<std::net::SocketAddr> {
    addr.with_context(|| format!("this command requires {name} ADDR"))
        .map_err(|e| e.context(Exit::Usage))
}
