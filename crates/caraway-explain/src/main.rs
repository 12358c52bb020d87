//! Tells one request's story from the logs of several gateways.

use std::{fs::File, io::BufReader, process::ExitCode};

use anyhow::{Context, Result};
use caraway_explain::{Logs, Story};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Tells one request's story from the logs of several gateways.
        cmd caraway-explain {
            /// The request's id.
            required request: String
            /// Logs of gateways.
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

/// Prints the story; false when no log names the request.
fn run(flags: &flags::CarawayExplain) -> Result<bool> {
    let mut logs = Logs::default();
    for path in &flags.logs {
        let read = File::open(path).and_then(|file| logs.read(BufReader::new(file)));
        read.with_context(|| format!("{}: can't be read", path.display()))?;
    }
    if let Some(story) = Story::of(&logs, &flags.request) {
        print!("{story}");
        return Ok(true);
    }
    let (lines, unreadable) = (logs.lines().len(), logs.unreadable());
    eprintln!(
        "caraway-explain: no line names {:?} ({lines} lines, {unreadable} could not be read)",
        flags.request
    );
    Ok(false)
}
