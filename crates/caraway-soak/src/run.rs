//! [`run`]: runs a plan and checks the guarantees of the gateway.

use std::{cell::RefCell, fmt, path::PathBuf, rc::Rc, time::Duration};

use anyhow::{Context, Result};
use caraway_platform_standin::RequestKind;
use tokio::{
    sync::watch,
    task::LocalSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    Plan, Timed,
    caller::{Caller, End, Log, Seen, has_route},
    gateway::Place,
    schedule,
    world::{KEEP_PAUSE, World},
};

/// Time within which the gateways must serve requests after their first start.
const START: Duration = Duration::from_secs(20);
/// Number of consecutive requests of each kind that an instance must serve to count as recovered.
const IN_A_ROW: u32 = 5;
/// Pause between checks of an instance that has not recovered.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time in which requests that callers have abandoned may still reach endpoints.
const SETTLE: Duration = Duration::from_millis(1500);

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Number of requests that callers sent.
    pub sent: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that were refused with status 503.
    pub refused: usize,
    /// Violations of the guarantees, each starting with the name of the check; empty if all hold.
    pub broken: Vec<String>,
    /// Directory of the gateways' logs; `None` if there were no violations, as it is removed then.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.broken.is_empty() {
            "ok"
        } else {
            "BROKEN"
        };
        write!(
            f,
            "seed {}: {verdict}; {} faults; {} requests, {} served, {} refused",
            self.seed, self.faults, self.sent, self.served, self.refused
        )?;
        for what in &self.broken {
            write!(f, "\n  {what}")?;
        }
        if let Some(logs) = &self.logs {
            write!(f, "\n  logs: {}", logs.display())?;
        }
        Ok(())
    }
}

/// Runs a plan.
///
/// # Errors
///
/// Returns an error if the run can't be carried out, for instance because a process does not start.
/// Violations are no error; they are in the report.
pub fn run(plan: &Plan) -> Result<Report> {
    let name = format!("caraway-soak-{}-{}", std::process::id(), plan.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).context("can't create the directory for logs")?;
    let place = Place {
        program: plan.program.clone(),
        folder: folder.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    let mut report = LocalSet::new().block_on(&runtime, live(plan, &place))?;
    if report.broken.is_empty() {
        std::fs::remove_dir_all(&folder).context("can't remove the logs")?;
    } else {
        report.logs = Some(folder);
    }
    Ok(report)
}

/// Starts everything, runs callers and faults, and checks the results.
async fn live(plan: &Plan, place: &Place) -> Result<Report> {
    let world = World::start(plan, place).await?;
    let ledger = world.ledger.clone();
    let fronts: Vec<_> = world.gateways.iter().map(|g| g.front).collect();
    let world = Rc::new(RefCell::new(world));
    let keeper = tokio::task::spawn_local(keep(world.clone()));
    for (number, front) in fronts.iter().enumerate() {
        let caller = Caller::new(format!("start{number}"), *front, ledger.clone());
        if !recovers(caller, START).await {
            anyhow::bail!(
                "instance {number} does not serve every kind of request after its start: see {}",
                place.folder.display()
            );
        }
    }
    let log = Log::default();
    let stop = watch::Sender::new(false);
    let mut callers = Vec::new();
    for (number, front) in fronts.iter().enumerate() {
        for place in 0..plan.callers {
            let name = format!("c{number}-{place}");
            let seed = plan.seed * 1000 + (number * plan.callers + place) as u64;
            let caller = Caller::new(name, *front, ledger.clone());
            let run = caller.run(seed, log.clone(), stop.subscribe());
            callers.push(tokio::task::spawn_local(run));
        }
    }
    let faults = schedule(plan);
    inject(&world, &faults).await?;
    world.borrow_mut().calm()?;
    world.borrow_mut().publish_configuration(Some("last"));
    let mut broken = Vec::new();
    let calm = Instant::now();
    for (number, front) in fronts.iter().enumerate() {
        let left = || plan.recovery.saturating_sub(calm.elapsed());
        let mut looks = 0;
        while !has_route(*front, "last", &format!("last{number}-{looks}")).await {
            looks += 1;
            if left().is_zero() {
                broken.push(format!(
                    "CONFIG: instance {number} lacks the last configuration"
                ));
                break;
            }
            sleep(LOOK_PAUSE).await;
        }
        let caller = Caller::new(format!("end{number}"), *front, ledger.clone());
        if !recovers(caller, left()).await {
            broken.push(format!(
                "RECOVER: instance {number} does not serve every kind"
            ));
        }
    }
    stop.send_replace(true);
    for caller in callers {
        caller.await.context("the task of a caller failed")?;
    }
    sleep(SETTLE).await;
    keeper.abort();
    let seen = log.take();
    broken.extend(ledger.violations());
    broken.extend(
        seen.iter()
            .filter_map(|s| judge(s, ledger.runs(&s.request))),
    );
    let count = |end: End| seen.iter().filter(|s| s.end == end).count();
    Ok(Report {
        seed: plan.seed,
        faults: faults.len(),
        sent: seen.len(),
        served: count(End::Served),
        refused: count(End::Status(503)),
        broken,
        logs: None,
    })
}

/// Returns the violation, if any, in the result of a request that endpoints ran `runs` times.
fn judge(seen: &Seen, runs: usize) -> Option<String> {
    let (request, end) = (&seen.request, seen.end);
    if runs > 1 && !seen.kind.is_idempotent() {
        return Some(format!("TWICE: {request} ran {runs} times"));
    }
    match end {
        End::Served if runs == 0 => Some(format!("MIXED: {request} was served and never ran")),
        End::Status(408 | 421 | 429 | 503) if runs > 0 && !seen.kind.is_idempotent() => {
            Some(format!("REFUSED: {request} ran, but got {end:?}"))
        }
        End::Status(400..=407 | 409..=420 | 422..=428 | 430..=499) => {
            Some(format!("DENIED: {request} got {end:?}"))
        }
        _ => None,
    }
}

/// Starts and ends faults at their times; returns once the last one has ended.
async fn inject(world: &Rc<RefCell<World>>, faults: &[Timed]) -> Result<()> {
    let start = Instant::now();
    let mut steps: Vec<(Duration, bool, &Timed)> = Vec::new();
    for timed in faults {
        steps.push((timed.at, true, timed));
        steps.push((timed.at + timed.lasts, false, timed));
    }
    steps.sort_by_key(|(at, ..)| *at);
    for (at, begins, timed) in steps {
        sleep_until(start + at).await;
        let mut world = world.borrow_mut();
        if begins {
            world.begin(timed.fault);
        } else {
            world.end(timed.fault)?;
        }
    }
    Ok(())
}

/// Restarts gateways that have exited, until the task is aborted.
async fn keep(world: Rc<RefCell<World>>) {
    loop {
        sleep(KEEP_PAUSE).await;
        // If a process can't be started, the next iteration tries again.
        world.borrow_mut().keep().ok();
    }
}

/// Returns whether an instance serves every kind of request within `limit`.
async fn recovers(mut caller: Caller, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    for kind in RequestKind::ALL {
        let mut in_a_row = 0;
        while in_a_row < IN_A_ROW {
            let end = caller.call(kind, 0).await.map(|s| s.end);
            if end == Some(End::Served) {
                in_a_row += 1;
                continue;
            }
            in_a_row = 0;
            if Instant::now() >= until {
                return false;
            }
            sleep(LOOK_PAUSE).await;
        }
    }
    true
}
