//! Command-line tool that prints the report on service-level burn.

use std::{process::ExitCode, time::Duration};

use anyhow::{Context, Result};
use caraway_burn::{Report, render_text};
use caraway_burn_report::{CollectOptions, collect, render_html, unix_now};

/// Default of `--limit-ms`: timeout of each request, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 2000;

mod flags {
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Reports how fast the error budgets of the objectives in force are spent.
        cmd caraway-burn-report {
            /// Address of the platform's list of instances.
            required --list addr: SocketAddr
            /// Address of the platform's log.
            required --log addr: SocketAddr
            /// Timeout of each request, in milliseconds; 2000 by default.
            optional --limit-ms ms: u64
            /// Print the report as JSON.
            optional --json
            /// Write the report to this file as a self-contained HTML page.
            optional --html file: PathBuf
        }
    }
}

fn main() -> ExitCode {
    match run(&flags::CarawayBurnReport::from_env_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-burn-report: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &flags::CarawayBurnReport) -> Result<()> {
    let options = CollectOptions {
        list: flags.list,
        log: flags.log,
        timeout: Duration::from_millis(flags.limit_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
    };
    let sources = ntex::rt::System::build()
        .name("report")
        .build(ntex::rt::DefaultRuntime)
        .block_on(collect(options))
        .context("--list: the list of instances can't be read")?;
    let report = Report::new(unix_now(), &sources);
    if let Some(file) = &flags.html {
        let page = render_html(&report)?;
        std::fs::write(file, page).with_context(|| format!("--html: {}", file.display()))?;
    }
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", render_text(&report));
    }
    Ok(())
}
