//! `caraway-measure calls`: sends calls of all kinds through daemons while faults are injected, and
//! checks the answers against the ledgers of the stand-in services and engines.

mod caller;
mod check;
mod faults;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, bail, ensure};
use caraway_standin::EngineSettings;
use caraway_types::Millis;
use serde_json::json;

use self::{caller::Attempt, faults::FaultTargets};
use crate::{
    deployment::{Deployment, DeploymentPlan},
    flags::Calls,
};

/// Entry daemons.
const ENTRIES: usize = 6;
const ZONES: usize = 3;
const ENGINES: usize = 3;
const SERVICES: usize = 3;
/// Adapters that completions are spread over.
pub(crate) const ADAPTERS: u32 = 6;
/// Calls, unless `--calls` sets another number.
const DEFAULT_CALLS: u32 = 20_000;
/// Concurrent callers.
const CALLERS: usize = 64;
/// Wait after the last call, so that work that is still running reaches the ledgers.
const LATE_WORK_WAIT: Duration = Duration::from_secs(3);
/// Longest wait until a daemon answers a completion.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// State that the callers and the fault injector share.
pub(crate) struct RunState {
    pub(crate) seed: u64,
    /// Number of calls to send.
    pub(crate) calls: u32,
    /// Number of the next call that a caller sends.
    pub(crate) next_call: AtomicU32,
    /// Addresses of the daemons; a restart changes them.
    pub(crate) addrs: RwLock<Vec<SocketAddr>>,
    /// Attempts that have ended, in order of their end.
    pub(crate) attempts: Mutex<Vec<Attempt>>,
    /// Set once all callers have ended.
    pub(crate) callers_done: AtomicBool,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when the deployment can't be started or a call violated a guarantee.
pub(crate) fn run(args: &Calls) -> Result<()> {
    let targets: FaultTargets = args.faults.as_deref().unwrap_or("all").parse()?;
    let calls = args.calls.unwrap_or(DEFAULT_CALLS);
    ensure!(calls > 0, "--calls: expected at least 1");
    let plan = deployment_plan();
    let mut deployment = Deployment::start(&plan)?;
    let addrs = (0..ENTRIES).map(|i| deployment.addr(i)).collect();
    let run = Arc::new(RunState {
        seed: args.seed.unwrap_or(1),
        calls,
        next_call: AtomicU32::new(0),
        addrs: RwLock::new(addrs),
        attempts: Mutex::default(),
        callers_done: AtomicBool::new(false),
    });
    wait_ready(&run)?;
    let start = Instant::now();
    let caller_run = Arc::clone(&run);
    let callers = thread::spawn(move || {
        let result = crate::path::block_on(caller::run_callers(Arc::clone(&caller_run), CALLERS));
        caller_run.callers_done.store(true, Ordering::Release);
        result
    });
    let fault_count = faults::inject(&run, &plan, &mut deployment, targets)?;
    callers.join().ok().context("the callers panicked")??;
    let elapsed = start.elapsed();
    thread::sleep(LATE_WORK_WAIT);
    let attempts = std::mem::take(&mut *lock(&run.attempts));
    let report = check::check_calls(&deployment, &attempts, fault_count, elapsed);
    deployment.stop();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if report.violations() > 0 {
        bail!("{} violations found", report.violations());
    }
    Ok(())
}

fn deployment_plan() -> DeploymentPlan {
    DeploymentPlan {
        entries: ENTRIES,
        zones: ZONES,
        engines: ENGINES,
        adapters: ADAPTERS as usize,
        services: SERVICES,
        engine: EngineSettings {
            step_us: 2_000,
            fill_us: 20,
            prefill_us: 0,
            max_batch: 64,
            max_waiting: 256,
            report_lag: Millis::new(50),
            ..EngineSettings::default()
        },
        times: json!({
            "first_token_ms": 1500, "between_tokens_ms": 500, "report_ms": 50, "follow_ms": 50,
            "list_ms": 50, "gossip_ms": 50, "beat_ms": 200, "lease_ms": 1000, "guard_ms": 300,
        }),
    }
}

/// Waits until each daemon answers a completion.
///
/// # Errors
///
/// Returns an error when a daemon doesn't within [`READY_TIMEOUT`].
fn wait_ready(run: &RunState) -> Result<()> {
    let addrs = run.addrs.read().unwrap_or_else(PoisonError::into_inner);
    for addr in addrs.clone() {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !crate::path::block_on(caller::is_ready(addr))? {
            ensure!(
                Instant::now() < deadline,
                "the daemon at {addr} answered no completion within {READY_TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

fn lock(attempts: &Mutex<Vec<Attempt>>) -> std::sync::MutexGuard<'_, Vec<Attempt>> {
    attempts.lock().unwrap_or_else(PoisonError::into_inner)
}
