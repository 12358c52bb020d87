//! The daemon of an entry instance, as a program.

use std::{process::ExitCode, sync::mpsc, thread};

use anyhow::{Context, Result};
use caraway_entry::{Entry, Settings, json_logger};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Exit status for settings that fail the check.
const EXIT_INVALID_SETTINGS: u8 = 2;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves callers, peers and operators on one entry instance.
        cmd caraway-entry {
            /// The settings file.
            required --settings file: PathBuf
            /// Check the settings and exit.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::CarawayEntry::from_env_or_exit();
    let settings = match Settings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{}:\n{findings}", flags.settings.display());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: settings are good", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caraway-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until a signal arrives, then drains. Further signals don't cut off requests in flight.
fn serve(settings: Settings) -> Result<()> {
    let (sender, receiver) = mpsc::channel();
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).context("can't register the signal handlers")?;
    thread::spawn(move || {
        for signal in signals.forever() {
            let _ = sender.send(signal);
        }
    });
    let log = json_logger(&settings.instance, &settings.zone);
    let entry = Entry::start(settings, log)?;
    println!("listening {}", entry.addr());
    let _ = receiver.recv();
    entry.drain();
    Ok(())
}
