//! Cost of real daemons without requests, run as threads of this process.

use std::{thread, time::Duration};

use anyhow::Result;
use serde::Serialize;

use crate::{
    deployment::{Deployment, DeploymentPlan},
    process,
};

/// Time for the daemons to find their peers and finish their start, before the measurement.
const WARM_UP: Duration = Duration::from_secs(8);

/// Cost of one daemon without requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Point {
    /// Number of daemons in the deployment.
    pub(crate) daemons: usize,
    /// Share of one core that a daemon uses, including its share of the stand-ins.
    pub(crate) core: f64,
    /// Memory of a daemon in bytes, including its share of the stand-ins.
    pub(crate) memory: f64,
}

/// Runs `daemons` daemons without requests and measures them for `time`.
///
/// # Errors
///
/// Returns an error when the deployment can't be started.
pub(crate) fn run(daemons: usize, time: Duration) -> Result<Point> {
    let memory_before = process::resident_bytes();
    let plan = DeploymentPlan {
        entries: daemons,
        zones: 3,
        engines: 9,
        adapters: 3000,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(&plan)?;
    thread::sleep(WARM_UP);
    let cpu_before = process::cpu_time();
    thread::sleep(time);
    let cpu_time = process::cpu_time().saturating_sub(cpu_before);
    let memory = process::resident_bytes().saturating_sub(memory_before);
    deployment.stop();
    let count = daemons as f64;
    Ok(Point {
        daemons,
        core: cpu_time.as_secs_f64() / time.as_secs_f64() / count,
        memory: memory as f64 / count,
    })
}
