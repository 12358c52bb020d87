//! Starts the stand-ins that a settings file describes, prints their addresses by id as one line of
//! JSON and runs until it is interrupted.

mod flags;

use std::{fs, thread};

use anyhow::Context;
use caraway_standin::{Fleet, FleetSettings};

use crate::flags::CarawayStandin;

fn main() -> anyhow::Result<()> {
    let flags = CarawayStandin::from_env_or_exit();
    let file = flags.settings.display();
    let text = fs::read_to_string(&flags.settings).with_context(|| format!("reading {file}"))?;
    let settings: FleetSettings =
        serde_json::from_str(&text).with_context(|| format!("parsing {file}"))?;
    let settings = settings
        .check()
        .with_context(|| format!("checking {file}"))?;
    let fleet = Fleet::start(settings)?;
    println!("{}", serde_json::to_string(&fleet.addresses())?);
    loop {
        thread::park();
    }
}
