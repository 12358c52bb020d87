//! The command line of `caraway-gateway`, the daemon that serves callers of a deployment with its
//! own platform.

use std::{path::PathBuf, process::ExitCode};

use caraway_gateway::{Options, run};
use caraway_platform::{InstanceSettings, SETTINGS_VARIABLE};

/// Exit status for missing or invalid settings.
const INVALID_SETTINGS_STATUS: u8 = 2;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers of a deployment on one of its instances.
        cmd caraway-gateway {
            /// The settings file; by default the one that CARAWAYWORKS_CONFIG names.
            optional --settings file: PathBuf
            /// The port for metrics; by default they are not served.
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
        eprintln!("caraway-gateway: no settings file: pass --settings or set {SETTINGS_VARIABLE}");
        return ExitCode::from(INVALID_SETTINGS_STATUS);
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{}: {e}", path.display());
            return ExitCode::from(INVALID_SETTINGS_STATUS);
        }
    };
    let site = match InstanceSettings::parse(&text) {
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
