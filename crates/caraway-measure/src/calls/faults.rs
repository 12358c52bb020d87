//! Injects random faults into the stand-ins and daemons while calls run.

use std::{
    str::FromStr,
    sync::{PoisonError, atomic::Ordering},
    thread,
    time::Duration,
};

use anyhow::{Result, bail};
use caraway_standin::{EngineFaults, LogFaults, ServiceFaults};
use caraway_types::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ENGINES, ENTRIES, RunState, SERVICES};
use crate::deployment::{Deployment, DeploymentPlan};

/// The components that get faults, from `--faults`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultTargets {
    All,
    None,
    Services,
    Engines,
    Log,
    Entries,
}

impl FaultTargets {
    fn includes(self, target: Self) -> bool {
        self == Self::All || self == target
    }
}

impl FromStr for FaultTargets {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        Ok(match text {
            "all" => Self::All,
            "none" => Self::None,
            "services" => Self::Services,
            "engines" => Self::Engines,
            "log" => Self::Log,
            "entries" => Self::Entries,
            _ => bail!("--faults: expected all, services, engines, log, entries or none"),
        })
    }
}

/// Injects faults until all callers have ended, clears them and returns how many were injected.
///
/// # Errors
///
/// Returns an error when a daemon can't be restarted.
pub(crate) fn inject(
    run: &RunState,
    plan: &DeploymentPlan,
    deployment: &mut Deployment,
    targets: FaultTargets,
) -> Result<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
    let mut injected_count = 0;
    while !run.callers_done.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(rng.random_range(20..120)));
        let injected = match rng.random_range(0..20) {
            0..8 => {
                targets.includes(FaultTargets::Services)
                    && inject_service_fault(&mut rng, deployment)
            }
            8..13 => {
                targets.includes(FaultTargets::Engines) && inject_engine_fault(&mut rng, deployment)
            }
            13..19 => targets.includes(FaultTargets::Log) && inject_log_fault(&mut rng, deployment),
            _ => {
                targets.includes(FaultTargets::Entries)
                    && restart_daemon(&mut rng, run, plan, deployment)?
            }
        };
        injected_count += u32::from(injected);
    }
    for service in &deployment.services {
        service.set_faults(ServiceFaults::default());
    }
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults::default());
    }
    deployment.log.set_faults(LogFaults::default());
    Ok(injected_count)
}

/// Injects a fault into one service; clears it after a while if it lasts until then.
fn inject_service_fault(rng: &mut ChaCha8Rng, deployment: &Deployment) -> bool {
    let service = &deployment.services[rng.random_range(0..SERVICES)];
    let mut faults = ServiceFaults::default();
    match rng.random_range(0..6) {
        0 => faults.lose_answers = rng.random_range(1..4),
        1 => faults.die_early = rng.random_range(1..4),
        2 => faults.cross_answers = rng.random_range(1..4),
        3 => faults.silence = 1,
        4 => faults.slow = Millis::new(100),
        _ => faults.down = true,
    }
    let lasts_until_cleared = faults.down || faults.slow > Millis::default();
    service.set_faults(faults);
    if lasts_until_cleared {
        thread::sleep(Duration::from_millis(100));
        service.set_faults(ServiceFaults::default());
    }
    true
}

/// Injects a fault into one engine; ends a stall after a while.
fn inject_engine_fault(rng: &mut ChaCha8Rng, deployment: &Deployment) -> bool {
    let engine = &deployment.engines[rng.random_range(0..ENGINES)];
    let mut faults = EngineFaults::default();
    match rng.random_range(0..4) {
        0 => faults.break_runs = rng.random_range(1..4),
        1 => faults.cross_tokens = rng.random_range(1..4),
        2 => faults.stalled = true,
        _ => faults.restart = true,
    }
    let is_stalled = faults.stalled;
    engine.set_faults(faults);
    if is_stalled {
        thread::sleep(Duration::from_millis(300));
        engine.set_faults(EngineFaults::default());
    }
    true
}

/// Injects a fault into the log; clears it after a while if it lasts until then.
fn inject_log_fault(rng: &mut ChaCha8Rng, deployment: &Deployment) -> bool {
    let mut faults = LogFaults::default();
    match rng.random_range(0..4) {
        0 => faults.lose_answers = rng.random_range(1..4),
        1 => faults.drop_appends = rng.random_range(1..4),
        2 => faults.slow = Millis::new(50),
        _ => faults.down = true,
    }
    let lasts_until_cleared = faults.down || faults.slow > Millis::default();
    deployment.log.set_faults(faults);
    if lasts_until_cleared {
        thread::sleep(Duration::from_millis(200));
        deployment.log.set_faults(LogFaults::default());
    }
    true
}

/// Stops one daemon without a drain, restarts it and updates its address.
fn restart_daemon(
    rng: &mut ChaCha8Rng,
    run: &RunState,
    plan: &DeploymentPlan,
    deployment: &mut Deployment,
) -> Result<bool> {
    let i = rng.random_range(0..ENTRIES);
    deployment.restart(plan, i)?;
    let mut addrs = run.addrs.write().unwrap_or_else(PoisonError::into_inner);
    addrs[i] = deployment.addr(i);
    Ok(true)
}
