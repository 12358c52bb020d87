//! Faults at random while calls run.

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

use super::{ENGINES, ENTRIES, Run, SERVICES};
use crate::deployment::{Deployment, Plan};

/// Which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKinds {
    All,
    None,
    Services,
    Engines,
    Log,
    Entries,
}

impl FaultKinds {
    fn has(self, kind: Self) -> bool {
        self == Self::All || self == kind
    }
}

impl FromStr for FaultKinds {
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

/// Injects faults until the calls are over and returns their number.
///
/// # Errors
///
/// Returns an error when a daemon can't be started again.
pub(crate) fn inject(
    run: &Run,
    plan: &Plan,
    deployment: &mut Deployment,
    kinds: FaultKinds,
) -> Result<u32> {
    let mut rng = ChaCha8Rng::seed_from_u64(run.seed);
    let mut count = 0;
    while !run.is_over.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(rng.random_range(20..120)));
        let injected = match rng.random_range(0..20) {
            0..8 => kinds.has(FaultKinds::Services) && service(&mut rng, deployment),
            8..13 => kinds.has(FaultKinds::Engines) && engine(&mut rng, deployment),
            13..19 => kinds.has(FaultKinds::Log) && log(&mut rng, deployment),
            _ => kinds.has(FaultKinds::Entries) && entry(&mut rng, run, plan, deployment)?,
        };
        count += u32::from(injected);
    }
    for service in &deployment.services {
        service.set_faults(ServiceFaults::default());
    }
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults::default());
    }
    deployment.log.set_faults(LogFaults::default());
    Ok(count)
}

fn service(rng: &mut ChaCha8Rng, deployment: &Deployment) -> bool {
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
    let lasts = faults.down || faults.slow > Millis::default();
    service.set_faults(faults);
    if lasts {
        thread::sleep(Duration::from_millis(100));
        service.set_faults(ServiceFaults::default());
    }
    true
}

fn engine(rng: &mut ChaCha8Rng, deployment: &Deployment) -> bool {
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

fn log(rng: &mut ChaCha8Rng, deployment: &Deployment) -> bool {
    let mut faults = LogFaults::default();
    match rng.random_range(0..4) {
        0 => faults.lose_answers = rng.random_range(1..4),
        1 => faults.drop_appends = rng.random_range(1..4),
        2 => faults.slow = Millis::new(50),
        _ => faults.down = true,
    }
    let lasts = faults.down || faults.slow > Millis::default();
    deployment.log.set_faults(faults);
    if lasts {
        thread::sleep(Duration::from_millis(200));
        deployment.log.set_faults(LogFaults::default());
    }
    true
}

/// Stops a daemon at once and starts it anew.
fn entry(
    rng: &mut ChaCha8Rng,
    run: &Run,
    plan: &Plan,
    deployment: &mut Deployment,
) -> Result<bool> {
    let i = rng.random_range(0..ENTRIES);
    deployment.restart(plan, i)?;
    let mut addrs = run.addrs.write().unwrap_or_else(PoisonError::into_inner);
    addrs[i] = deployment.addr(i);
    Ok(true)
}
