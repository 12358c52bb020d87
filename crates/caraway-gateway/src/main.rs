//! The daemon on each instance in front of a deployment that has its own platform.

use std::{path::PathBuf, process::ExitCode};

use caraway_gateway::{Options, run};
use caraway_platform::{SETTINGS_VARIABLE, Site};

/// Exit status for settings that don't pass their check.
const INVALID_SETTINGS_STATUS: u8 = 2;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers of a deployment on one of its instances.
        cmd caraway-gateway {
            /// The settings file; else the environment names it.
            optional --settings file: PathBuf
            /// The port on which metrics are served.
            optional --metrics-port port: u16
            /// Check the settings and exit.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::CarawayGateway::from_env_or_exit();
    let from_env = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = flags.settings.or_else(from_env) else {
        eprintln!("caraway-gateway: name a settings file by --settings or {SETTINGS_VARIABLE}");
        return ExitCode::from(INVALID_SETTINGS_STATUS);
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{}: {e}", path.display());
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    let site = match Site::parse(&text) {
        Ok(site) => site,
        Err(findings) => {
            eprintln!("{}:\n{findings}", path.display());
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    if flags.check {
        println!("{}: settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    let options = Options {
        settings: path,
        metrics_port: flags.metrics_port,
    };
    match run(site, &options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-gateway: {error:#}");
            ExitCode::FAILURE
        }
    }
}
