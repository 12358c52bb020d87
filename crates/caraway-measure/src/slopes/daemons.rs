//! Real daemons at rest, as threads of this process.

use std::{thread, time::Duration};

use anyhow::Result;
use serde::Serialize;

use crate::{
    cpu,
    deployment::{Deployment, Plan},
};

/// Time in which daemons meet and settle.
const SETTLE: Duration = Duration::from_secs(8);

/// What one daemon at rest costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Point {
    /// Daemons.
    pub(crate) daemons: usize,
    /// Share of one core that each takes, with its part of the stand-ins.
    pub(crate) core: f64,
    /// Memory that each takes, in bytes, with its part of the stand-ins.
    pub(crate) memory: f64,
}

/// Runs `daemons` at rest for `time`.
///
/// # Errors
///
/// Returns an error when something can't be started.
pub(crate) fn run(daemons: usize, time: Duration) -> Result<Point> {
    let before = cpu::resident_bytes();
    let plan = Plan {
        entries: daemons,
        zones: 3,
        engines: 9,
        adapters: 3000,
        ..Plan::default()
    };
    let deployment = Deployment::start(&plan)?;
    thread::sleep(SETTLE);
    let start = cpu::process_time();
    thread::sleep(time);
    let busy = cpu::process_time().saturating_sub(start);
    let memory = cpu::resident_bytes().saturating_sub(before);
    deployment.stop();
    let count = daemons as f64;
    Ok(Point {
        daemons,
        core: busy.as_secs_f64() / time.as_secs_f64() / count,
        memory: memory as f64 / count,
    })
}
