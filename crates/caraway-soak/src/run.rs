//! [`run`]: runs a plan and checks the guarantees of the gateway.

use std::{
    cell::RefCell, collections::HashMap, fmt, net::SocketAddr, path::PathBuf, rc::Rc,
    time::Duration,
};

use anyhow::{Context, Result};
use caraway_platform_standin::{RequestKind, Senders};
use http::StatusCode;
use tokio::{
    sync::watch,
    task::LocalSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    Plan, Timed,
    accounts::Account,
    caller::{Caller, Outcome, RequestResult, ResultLog, has_route, status_of_key},
    gateway::{Gateway, GatewayFiles},
    schedule,
    testbed::{RESTART_INTERVAL, Testbed},
};

/// Time within which the gateways must serve requests after their first start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of consecutive requests of each kind that an instance must serve to count as recovered.
const REQUIRED_SUCCESSES: u32 = 5;
/// Time for which engines fail after the other faults: several crashes by deadly prompts, the time after
/// which few such prompts may run, and as much again.
const ENGINE_FAULT_TIME: Duration = Duration::from_secs(7);
/// Time between two restarts of engines meanwhile.
const ENGINE_RESTART_INTERVAL: Duration = Duration::from_millis(350);
/// Number of streams that may hold events of two software versions.
const MAX_JOINED_STREAMS: usize = 2;
/// Pause between checks of an instance that has not recovered.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which requests that callers have abandoned may still reach endpoints.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

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
    /// Number of requests that were refused for a quota.
    pub over_quota: usize,
    /// Number of sessions between instances that were lost because one did not understand the other.
    pub invalid_frames: usize,
    /// Violations of the guarantees, each starting with the name of the check; empty if all hold.
    pub violations: Vec<String>,
    /// Directory of the gateways' logs; `None` if there were no violations, as it is removed then.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.violations.is_empty() {
            "ok"
        } else {
            "BROKEN"
        };
        write!(
            f,
            "seed {}: {verdict}; {} faults; {} requests, {} served, {} refused, {} over a quota; {} invalid \
             frames",
            self.seed,
            self.faults,
            self.sent,
            self.served,
            self.refused,
            self.over_quota,
            self.invalid_frames
        )?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
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
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).context("can't create the directory for logs")?;
    let files = GatewayFiles {
        programs: std::iter::once(&plan.program)
            .chain(&plan.former)
            .cloned()
            .collect(),
        directory: directory.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    let mut report = LocalSet::new().block_on(&runtime, run_testbed(plan, &files))?;
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&directory).context("can't remove the logs")?;
    } else {
        report.logs = Some(directory);
    }
    Ok(report)
}

/// Starts everything, runs callers and faults, and checks the results.
async fn run_testbed(plan: &Plan, files: &GatewayFiles) -> Result<Report> {
    let steady = plan.has_accounts.then_some(Account::Steady);
    let testbed = Testbed::start(plan, files).await?;
    let ledger = testbed.ledger.clone();
    let front_addrs: Vec<_> = testbed.gateways.iter().map(|g| g.front_addr).collect();
    let testbed = Rc::new(RefCell::new(testbed));
    let restart_task = tokio::task::spawn_local(restart_exited(testbed.clone()));
    for (number, front_addr) in front_addrs.iter().enumerate() {
        let name = format!("start{number}");
        let caller = Caller::new(name, *front_addr, ledger.clone(), steady);
        if !recovers_within(caller, START_TIMEOUT).await {
            anyhow::bail!(
                "instance {number} does not serve every kind of request after its start: see {}",
                files.directory.display()
            );
        }
    }
    let result_log = ResultLog::default();
    let hot = plan.has_accounts.then_some(Account::Hot);
    let accounts = std::iter::repeat_n(steady, plan.callers).chain(hot.map(Some));
    let accounts: Vec<Option<Account>> = accounts.collect();
    let stop = watch::Sender::new(false);
    let mut callers = Vec::new();
    for (number, front_addr) in front_addrs.iter().enumerate() {
        for (caller_number, account) in accounts.iter().enumerate() {
            let name = format!("c{number}-{caller_number}");
            let seed = plan.seed * 1000 + (number * accounts.len() + caller_number) as u64;
            let mut caller = Caller::new(name, *front_addr, ledger.clone(), *account);
            caller.others.clone_from(&front_addrs);
            let deadly_prompts = testbed.borrow().deadly_prompts.clone();
            let run = caller.run(seed, result_log.clone(), deadly_prompts, stop.subscribe());
            callers.push(tokio::task::spawn_local(run));
        }
    }
    for (number, crashes) in testbed.borrow().engine_crashes() {
        tokio::task::spawn_local(register_crashed(testbed.clone(), number, crashes));
    }
    let faults = schedule(plan);
    inject(&testbed, &faults).await?;
    testbed.borrow_mut().end_all_faults()?;
    testbed.borrow_mut().change_accounts(Some("last"));
    let mut violations = Vec::new();
    let faults_ended = Instant::now();
    for (number, front_addr) in front_addrs.iter().enumerate() {
        let time_left = || plan.recovery.saturating_sub(faults_ended.elapsed());
        let mut attempts = 0;
        loop {
            let request = format!("last{number}-{attempts}");
            if has_route(*front_addr, "last", &request, steady).await {
                break;
            }
            attempts += 1;
            if time_left().is_zero() {
                violations.push(format!(
                    "CONFIG: instance {number} lacks the last configuration"
                ));
                break;
            }
            sleep(CHECK_INTERVAL).await;
        }
        let name = format!("end{number}");
        let caller = Caller::new(name, *front_addr, ledger.clone(), steady);
        if !recovers_within(caller, time_left()).await {
            violations.push(format!(
                "RECOVER: instance {number} does not serve every kind"
            ));
        }
        violations.extend(key_violation(&testbed, number, *front_addr).await);
    }
    play_engine_faults(&testbed).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.context("the task of a caller failed")?;
    }
    sleep(SETTLE_TIME).await;
    restart_task.abort();
    let results = result_log.take();
    violations.extend(find_violations(&testbed.borrow(), &results));
    let testbed = testbed.borrow();
    let invalid_frames = testbed.gateways.iter().map(Gateway::count_invalid_frames);
    let invalid_frames = invalid_frames.sum();
    let count = |outcome: Outcome| results.iter().filter(|r| r.outcome == outcome).count();
    Ok(Report {
        seed: plan.seed,
        faults: faults.len(),
        sent: results.len(),
        served: count(Outcome::Served),
        refused: count(Outcome::Status(503)),
        over_quota: count(Outcome::Status(429)),
        invalid_frames,
        violations,
        logs: None,
    })
}

/// Returns a violation if an instance, which has the last configuration, takes the key that it withdraws
/// or refuses the one that it adds.
async fn key_violation(
    testbed: &Rc<RefCell<Testbed>>,
    number: usize,
    front_addr: SocketAddr,
) -> Option<String> {
    let keys = {
        let testbed = testbed.borrow();
        let accounts = testbed.accounts.as_ref()?;
        [accounts.withdrawn_key(), accounts.changing_key()]
    };
    for (key, is_valid) in keys.into_iter().zip([false, true]) {
        let status = status_of_key(front_addr, &key, &format!("{key}-{number}")).await;
        let is_refused = status == Some(StatusCode::UNAUTHORIZED);
        if is_refused == is_valid {
            return Some(format!(
                "KEY: instance {number} answers the key {key} with {status:?}"
            ));
        }
    }
    None
}

/// Lets deadly prompts come and engines of two software versions restart, while nothing disturbs the
/// gateways.
async fn play_engine_faults(testbed: &Rc<RefCell<Testbed>>) {
    testbed.borrow_mut().release_half_of_engines();
    testbed.borrow().deadly_prompts.set(true);
    let start = Instant::now();
    let mut restarts = 0;
    while start.elapsed() < ENGINE_FAULT_TIME {
        sleep(ENGINE_RESTART_INTERVAL).await;
        testbed.borrow_mut().restart_engine(restarts);
        restarts += 1;
    }
}

/// Returns the violations that the endpoints and the callers' results show.
fn find_violations(testbed: &Testbed, results: &[RequestResult]) -> Vec<String> {
    let ledger = &testbed.ledger;
    let mut violations = ledger.violations();
    violations.extend(testbed.limit_violations());
    let senders = ResultSenders {
        testbed,
        sent_at: results.iter().map(|r| (&*r.request, r.sent_at)).collect(),
    };
    violations.extend(testbed.signal_violations(&senders));
    let deadly = results.iter().filter(|r| r.is_deadly);
    let deadly_runs = deadly.filter(|r| ledger.runs(&r.request) > 0);
    let deadly_runs: Vec<_> = deadly_runs
        .filter_map(|r| Some((senders.sender(&r.request)?, r.sent_at)))
        .collect();
    violations.extend(testbed.deadly_violation(&deadly_runs));
    let joined = ledger.joined_streams();
    if joined.len() > MAX_JOINED_STREAMS {
        violations.extend(joined.iter().map(|j| format!("ORDER: {j}")));
    }
    if let Some(accounts) = &testbed.accounts {
        let hot = results.iter().filter(|r| r.account == Some(Account::Hot));
        let runs = hot.filter_map(|r| ledger.first_run(&r.request));
        violations.extend(accounts.quota_violation(runs.collect()));
    }
    violations.extend(
        results
            .iter()
            .filter_map(|r| find_violation(r, ledger.runs(&r.request))),
    );
    violations
}

/// The senders of requests, from the callers' results.
struct ResultSenders<'a> {
    testbed: &'a Testbed,
    sent_at: HashMap<&'a str, std::time::Instant>,
}

impl Senders for ResultSenders<'_> {
    /// Callers name their requests `c`, the number of their gateway, `-` and so on.
    fn sender(&self, request: &str) -> Option<usize> {
        let (number, _) = request.strip_prefix('c')?.split_once('-')?;
        number.parse().ok()
    }

    fn sent_at(&self, request: &str) -> Option<std::time::Instant> {
        self.sent_at.get(request).copied()
    }

    fn is_excused(&self, sender: usize, from: std::time::Instant, to: std::time::Instant) -> bool {
        self.testbed.is_disturbed(sender, from, to)
    }
}

/// Returns the violation, if any, in the result of a request that endpoints ran `runs` times.
fn find_violation(result: &RequestResult, runs: usize) -> Option<String> {
    let (request, outcome) = (&result.request, result.outcome);
    if result.is_quarantined && !result.is_deadly {
        return Some(format!(
            "LOST: {request} is sound, and was refused for its prompt"
        ));
    }
    if outcome == Outcome::Status(429) && (runs > 0 || result.account != Some(Account::Hot)) {
        let account = result.account.map(Account::name);
        return Some(format!(
            "QUOTA: {request} of {account:?} was refused and ran {runs} times"
        ));
    }
    if runs > 1 && !result.kind.is_idempotent() {
        return Some(format!("TWICE: {request} ran {runs} times"));
    }
    match outcome {
        Outcome::Served if runs == 0 => Some(format!("MIXED: {request} was served and never ran")),
        Outcome::Status(408 | 421 | 429 | 503) if runs > 0 && !result.kind.is_idempotent() => {
            Some(format!("REFUSED: {request} ran, but got {outcome:?}"))
        }
        Outcome::Status(400..=407 | 409..=420 | 422..=428 | 430..=499) => {
            Some(format!("DENIED: {request} got {outcome:?}"))
        }
        _ => None,
    }
}

/// Starts and ends faults at their times; returns once the last one has ended.
async fn inject(testbed: &Rc<RefCell<Testbed>>, faults: &[Timed]) -> Result<()> {
    let start = Instant::now();
    let mut steps: Vec<(Duration, bool, &Timed)> = Vec::new();
    for timed in faults {
        steps.push((timed.at, true, timed));
        steps.push((timed.at + timed.lasts, false, timed));
    }
    steps.sort_by_key(|(at, ..)| *at);
    for (at, is_start, timed) in steps {
        sleep_until(start + at).await;
        let mut testbed = testbed.borrow_mut();
        if is_start {
            testbed.start_fault(timed.fault, timed.lasts);
        } else {
            testbed.end_fault(timed.fault)?;
        }
    }
    Ok(())
}

/// Registers an engine anew after each crash by a prompt.
async fn register_crashed(
    testbed: Rc<RefCell<Testbed>>,
    number: usize,
    mut crashes: watch::Receiver<u64>,
) {
    while crashes.changed().await.is_ok() {
        testbed.borrow_mut().on_crash(number);
    }
}

/// Restarts gateways that have exited, until the task is aborted.
async fn restart_exited(testbed: Rc<RefCell<Testbed>>) {
    loop {
        sleep(RESTART_INTERVAL).await;
        // If a process can't be started, the next iteration tries again.
        testbed.borrow_mut().restart_exited().ok();
    }
}

/// Returns whether an instance serves every kind of request within `limit`.
async fn recovers_within(mut caller: Caller, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    for kind in RequestKind::ALL {
        let mut successes = 0;
        while successes < REQUIRED_SUCCESSES {
            let outcome = caller.send_request(kind, 0).await.map(|r| r.outcome);
            if outcome == Some(Outcome::Served) {
                successes += 1;
                continue;
            }
            successes = 0;
            if Instant::now() >= deadline {
                return false;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }
    true
}
