//! Command-line tool that explains the course of one request from the logs of several gateways.

use std::{fs::File, io::BufReader, process::ExitCode};

use anyhow::{Context, Result};
use caraway_explain::{Explanation, Logs};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Explains the course of one request from the logs of several gateways.
        cmd caraway-explain {
            /// Id of the request.
            required request: String
            /// Log files of gateways.
            repeated logs: PathBuf
        }
    }
}

fn main() -> ExitCode {
    match run(&flags::CarawayExplain::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("caraway-explain: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the explanation; returns `false` if no line carries the id of the request.
fn run(flags: &flags::CarawayExplain) -> Result<bool> {
    let mut logs = Logs::default();
    for path in &flags.logs {
        let read = File::open(path).and_then(|file| logs.read(BufReader::new(file)));
        read.with_context(|| format!("{}: can't read the log", path.display()))?;
    }
    if let Some(explanation) = Explanation::of_request(&logs, &flags.request) {
        print!("{explanation}");
        return Ok(true);
    }
    let (lines, unreadable) = (logs.lines().len(), logs.unreadable());
    eprintln!(
        "caraway-explain: no line names {:?} ({lines} lines, {unreadable} could not be read)",
        flags.request
    );
    Ok(false)
}
