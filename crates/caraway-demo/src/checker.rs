//! [`check`] evaluates the rules on the outcomes of a run and the ledgers of the stand-ins.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, SystemTime},
};

use caraway_standin::{CallRecord, EngineLedger, OrderKind, StoreLedger};

use crate::{
    deployment::Deployment,
    operate::Operations,
    outcome::{Ending, Outcome},
    rules::{Rule, Rules},
    schedule::Work,
};

/// Time after an engine is listed as leaving in which it may still receive new runs.
const LEAVE_LIMIT: Duration = Duration::from_secs(5);

/// Everything that the stand-ins recorded during a run.
#[derive(Clone, Debug)]
pub(crate) struct Ledgers {
    /// Ledger of each engine, in the order in which the engines started.
    pub(crate) engines: Vec<EngineLedger>,
    /// Calls that each service replica received, in the order in which the replicas started.
    pub(crate) services: Vec<Vec<CallRecord>>,
    /// Ledger of the weight store.
    pub(crate) store: StoreLedger,
}

/// Checks every rule that depends on outcomes and ledgers, and adds the results to `rules`.
///
/// Every rule gets an entry, also one without checks.
pub(crate) fn check(
    deployment: &Deployment,
    outcomes: &[Outcome],
    ledgers: &Ledgers,
    operations: Operations,
    rules: &mut Rules,
) {
    for rule in Rule::ALL {
        rules.add(rule, 0, None);
    }
    check_answers(outcomes, rules);
    check_not_run(outcomes, ledgers, rules);
    check_writes(outcomes, ledgers, rules);
    check_engines(&ledgers.engines, rules);
    check_store(&ledgers.store, rules);
    check_leaving(&ledgers.engines, operations.engine_left, rules);
    let last = deployment.entries - 1;
    let cut = outcomes.iter().filter(|o| o.entry == last);
    check_stop(cut, operations.entry_left, rules);
    check_workloads(deployment, outcomes, rules);
}

/// Checks each run that arrived after the limit: none may be on the last engine, which is leaving.
fn check_leaving(engines: &[EngineLedger], left: SystemTime, rules: &mut Rules) {
    let known = left + LEAVE_LIMIT;
    for (index, engine) in engines.iter().enumerate() {
        let late = engine.runs.iter().filter(|run| run.arrived > known);
        let leaving = index + 1 == engines.len();
        for run in late {
            let broken = leaving.then(|| format!("{} came after {LEAVE_LIMIT:?}", run.attempt));
            rules.check(Rule::Leaving, broken);
        }
    }
}

/// Checks that every request in flight at the graceful stop was answered or refused as not run.
fn check_stop<'a>(
    outcomes: impl Iterator<Item = &'a Outcome>,
    left: SystemTime,
    rules: &mut Rules,
) {
    for outcome in outcomes.filter(|o| o.sent <= left && o.ended > left) {
        let kept = matches!(outcome.ending, Ending::Answered | Ending::NotRun(_));
        let broken = outcome.ending.detail().filter(|_| !kept);
        rules.check(
            Rule::GracefulStop,
            broken.map(|d| format!("{}: {d}", name(&outcome.work))),
        );
    }
}

/// Checks that responses match the expected ones and that every ending is typed.
fn check_answers(outcomes: &[Outcome], rules: &mut Rules) {
    for outcome in outcomes {
        let wrong = outcome.wrong.iter().cloned();
        rules.add(Rule::RightAnswer, outcome.compared, wrong);
        let whole = match &outcome.ending {
            Ending::Answered | Ending::NotRun(_) | Ending::InDoubt(_) => None,
            ending => ending
                .detail()
                .map(|d| format!("{}: {d}", name(&outcome.work))),
        };
        rules.check(Rule::WholeAnswer, whole);
    }
}

/// Checks that no request refused as not run was executed.
///
/// Writes that are sent twice with one key are left out, because the other request may have run.
fn check_not_run(outcomes: &[Outcome], ledgers: &Ledgers, rules: &mut Rules) {
    let runs = ledgers.engines.iter().flat_map(|e| &e.runs);
    let ran: HashSet<&str> = runs.filter(|r| r.started).map(|r| &*r.prompt).collect();
    let carried = carried_out(ledgers);
    for outcome in outcomes.iter().filter(|o| o.ending.not_run()) {
        let found = match &outcome.work {
            Work::Completion(prompt) => ran.contains(&*prompt.as_sent()),
            Work::Write { key, twice, .. } => !twice && carried.contains_key(key),
            Work::Read { .. } => continue,
        };
        let broken = found.then(|| format!("{} is in a ledger", name(&outcome.work)));
        rules.check(Rule::NotRun, broken);
    }
}

/// Checks that no write was executed twice and that every answered write was executed.
fn check_writes(outcomes: &[Outcome], ledgers: &Ledgers, rules: &mut Rules) {
    let carried = carried_out(ledgers);
    for (key, count) in &carried {
        let broken = (*count > 1).then(|| format!("{key} was carried out {count} times"));
        rules.check(Rule::AtMostOnce, broken);
    }
    for outcome in outcomes {
        let Work::Write { key, .. } = &outcome.work else {
            continue;
        };
        if outcome.ending == Ending::Answered {
            let lost = !carried.contains_key(key);
            let broken = lost.then(|| format!("{key} was answered but not carried out"));
            rules.check(Rule::AtMostOnce, broken);
        }
    }
}

/// Checks that no engine unloaded a load in use; each successful unload counts as a check.
fn check_engines(engines: &[EngineLedger], rules: &mut Rules) {
    for engine in engines {
        let unloads = engine
            .orders
            .iter()
            .filter(|o| o.kind == OrderKind::Unload && o.error.is_none());
        let broken = engine.violations.iter().map(|v| format!("{v:?}"));
        rules.add(Rule::NoEviction, unloads.count() as u64, broken);
    }
}

/// Checks that no load exceeded the rate or the in-transit limit of the weight store.
fn check_store(store: &StoreLedger, rules: &mut Rules) {
    let rate = (0..store.rate_exceeded).map(|_| "a load beyond the rate".to_owned());
    let transit = (0..store.transit_exceeded).map(|_| "a load beyond the transit".to_owned());
    let loads = store.loads.len() as u64;
    rules.add(Rule::StoreLimit, loads, rate.chain(transit));
}

/// Checks that each workload that sent a request got at least one answer.
fn check_workloads(deployment: &Deployment, outcomes: &[Outcome], rules: &mut Rules) {
    for (index, workload) in deployment.workloads.iter().enumerate() {
        let mut own = outcomes.iter().filter(|o| o.workload == index);
        let sent = own.clone().count();
        let answered = own.any(|o| o.ending == Ending::Answered);
        let broken = (sent > 0 && !answered).then(|| format!("no answer to {}", workload.label));
        rules.check(Rule::EveryWorkload, broken);
    }
}

/// Counts the executions for each idempotency key.
fn carried_out(ledgers: &Ledgers) -> HashMap<Arc<str>, u32> {
    let mut carried = HashMap::new();
    for call in ledgers.services.iter().flatten() {
        if let Some(key) = &call.key {
            *carried.entry(Arc::clone(key)).or_default() += 1;
        }
    }
    carried
}

/// Identifies a request in the examples of the report.
fn name(work: &Work) -> String {
    match work {
        Work::Completion(prompt) => format!("{} {:?}", prompt.adapter, prompt.text),
        Work::Write { key, .. } => key.to_string(),
        Work::Read { path } => path.to_string(),
    }
}
