//! `caraway-measure calls`: calls of all kinds through daemons while faults are injected, judged
//! by the ledgers of the stand-ins.

mod caller;
mod faults;
mod verdict;

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

use self::{caller::Sending, faults::FaultKinds};
use crate::{
    deployment::{Deployment, Plan},
    flags::Calls,
};

const ENTRIES: usize = 6;
const ZONES: usize = 3;
const ENGINES: usize = 3;
const SERVICES: usize = 3;
pub(crate) const ADAPTERS: u32 = 6;
const CALLS: u32 = 20_000;
const CALLERS: usize = 64;
/// Time after the last call in which late work may still arrive.
const SETTLE: Duration = Duration::from_secs(3);
const READY_LIMIT: Duration = Duration::from_secs(30);

/// What callers and faults share.
pub(crate) struct Run {
    pub(crate) seed: u64,
    pub(crate) calls: u32,
    pub(crate) next: AtomicU32,
    pub(crate) addrs: RwLock<Vec<SocketAddr>>,
    pub(crate) sendings: Mutex<Vec<Sending>>,
    pub(crate) is_over: AtomicBool,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error when something can't be started or a rule was broken.
pub(crate) fn run(args: &Calls) -> Result<()> {
    let kinds: FaultKinds = args.faults.as_deref().unwrap_or("all").parse()?;
    let calls = args.calls.unwrap_or(CALLS);
    ensure!(calls > 0, "--calls: at least 1");
    let plan = plan();
    let mut deployment = Deployment::start(&plan)?;
    let addrs = (0..ENTRIES).map(|i| deployment.addr(i)).collect();
    let run = Arc::new(Run {
        seed: args.seed.unwrap_or(1),
        calls,
        next: AtomicU32::new(0),
        addrs: RwLock::new(addrs),
        sendings: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    wait_ready(&run)?;
    let start = Instant::now();
    let own = Arc::clone(&run);
    let callers = thread::spawn(move || {
        let result = crate::path::system(caller::send_all(Arc::clone(&own), CALLERS));
        own.is_over.store(true, Ordering::Release);
        result
    });
    let faults = faults::inject(&run, &plan, &mut deployment, kinds)?;
    callers.join().ok().context("the callers panicked")??;
    let time = start.elapsed();
    thread::sleep(SETTLE);
    let sendings = std::mem::take(&mut *lock(&run.sendings));
    let report = verdict::judge(&deployment, &sendings, faults, time);
    deployment.stop();
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if report.violations() > 0 {
        bail!("{} rules were broken", report.violations());
    }
    Ok(())
}

fn plan() -> Plan {
    Plan {
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
fn wait_ready(run: &Run) -> Result<()> {
    let addrs = run.addrs.read().unwrap_or_else(PoisonError::into_inner);
    for addr in addrs.clone() {
        let deadline = Instant::now() + READY_LIMIT;
        while !crate::path::system(caller::probe(addr))? {
            ensure!(
                Instant::now() < deadline,
                "the daemon at {addr} is not ready"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(())
}

fn lock(sendings: &Mutex<Vec<Sending>>) -> std::sync::MutexGuard<'_, Vec<Sending>> {
    sendings.lock().unwrap_or_else(PoisonError::into_inner)
}
