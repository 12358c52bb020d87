//! [`check`] evaluates the rules on the outcomes of a run and the ledgers of the stand-ins.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, SystemTime},
};

use caraway_standin::{CallRecord, EngineLedger, OrderKind, StoreLedger};

use crate::{
    deployment::Deployment,
    operations::OperationTimes,
    outcome::{Ending, Outcome},
    rules::{Rule, RuleCounts},
    schedule::Request,
};

/// Time after an engine is listed as leaving in which it may still receive new runs.
const LEAVE_NOTICE_LIMIT: Duration = Duration::from_secs(5);

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
    operation_times: OperationTimes,
    rules: &mut RuleCounts,
) {
    for rule in Rule::ALL {
        rules.record_checks(rule, 0, None);
    }
    check_answers(outcomes, rules);
    check_not_run(outcomes, ledgers, rules);
    check_writes(outcomes, ledgers, rules);
    check_engines(&ledgers.engines, rules);
    check_store(&ledgers.store, rules);
    check_leaving(&ledgers.engines, operation_times.engine_leaving_at, rules);
    let last_entry = deployment.entry_count - 1;
    let at_last_entry = outcomes.iter().filter(|o| o.entry_index == last_entry);
    check_stop(at_last_entry, operation_times.entry_leaving_at, rules);
    check_workloads(deployment, outcomes, rules);
}

/// Checks each run that arrived after the limit: none may be on the last engine, which is leaving.
fn check_leaving(engines: &[EngineLedger], leaving_at: SystemTime, rules: &mut RuleCounts) {
    let notice_end = leaving_at + LEAVE_NOTICE_LIMIT;
    for (index, engine) in engines.iter().enumerate() {
        let late = engine.runs.iter().filter(|run| run.arrived > notice_end);
        let leaving = index + 1 == engines.len();
        for run in late {
            let violation =
                leaving.then(|| format!("{} came after {LEAVE_NOTICE_LIMIT:?}", run.attempt));
            rules.record_check(Rule::Leaving, violation);
        }
    }
}

/// Checks that every request in flight at the graceful stop was answered or refused as not run.
fn check_stop<'a>(
    outcomes: impl Iterator<Item = &'a Outcome>,
    leaving_at: SystemTime,
    rules: &mut RuleCounts,
) {
    for outcome in outcomes.filter(|o| o.sent_at <= leaving_at && o.ended_at > leaving_at) {
        let allowed = matches!(outcome.ending, Ending::Answered | Ending::NotRun(_));
        let violation = outcome.ending.detail().filter(|_| !allowed);
        rules.record_check(
            Rule::GracefulStop,
            violation.map(|d| format!("{}: {d}", request_label(&outcome.request))),
        );
    }
}

/// Checks that responses match the expected ones and that every ending is typed.
fn check_answers(outcomes: &[Outcome], rules: &mut RuleCounts) {
    for outcome in outcomes {
        let mismatches = outcome.mismatches.iter().cloned();
        rules.record_checks(Rule::RightAnswer, outcome.comparisons, mismatches);
        let violation = match &outcome.ending {
            Ending::Answered | Ending::NotRun(_) | Ending::InDoubt(_) => None,
            ending => ending
                .detail()
                .map(|d| format!("{}: {d}", request_label(&outcome.request))),
        };
        rules.record_check(Rule::WholeAnswer, violation);
    }
}

/// Checks that no request refused as not run was executed.
///
/// A write that is sent twice with one key can't fail this check, because the other request may
/// have run. Reads are not checked.
fn check_not_run(outcomes: &[Outcome], ledgers: &Ledgers, rules: &mut RuleCounts) {
    let runs = ledgers.engines.iter().flat_map(|e| &e.runs);
    let ran: HashSet<&str> = runs.filter(|r| r.started).map(|r| &*r.prompt).collect();
    let executions = execution_counts(ledgers);
    for outcome in outcomes.iter().filter(|o| o.ending.is_not_run()) {
        let ran_anyway = match &outcome.request {
            Request::Completion(completion) => ran.contains(&*completion.engine_prompt()),
            Request::Write {
                key, duplicated, ..
            } => !duplicated && executions.contains_key(key),
            Request::Read { .. } => continue,
        };
        let violation =
            ran_anyway.then(|| format!("{} is in a ledger", request_label(&outcome.request)));
        rules.record_check(Rule::NotRun, violation);
    }
}

/// Checks that no write was executed twice and that every answered write was executed.
fn check_writes(outcomes: &[Outcome], ledgers: &Ledgers, rules: &mut RuleCounts) {
    let executions = execution_counts(ledgers);
    for (key, count) in &executions {
        let violation = (*count > 1).then(|| format!("{key} was carried out {count} times"));
        rules.record_check(Rule::AtMostOnce, violation);
    }
    for outcome in outcomes {
        let Request::Write { key, .. } = &outcome.request else {
            continue;
        };
        if outcome.ending == Ending::Answered {
            let lost = !executions.contains_key(key);
            let violation = lost.then(|| format!("{key} was answered but not carried out"));
            rules.record_check(Rule::AtMostOnce, violation);
        }
    }
}

/// Checks that no engine unloaded a load in use; each successful unload counts as a check.
fn check_engines(engines: &[EngineLedger], rules: &mut RuleCounts) {
    for engine in engines {
        let unloads = engine
            .orders
            .iter()
            .filter(|o| o.kind == OrderKind::Unload && o.error.is_none());
        let violations = engine.violations.iter().map(|v| format!("{v:?}"));
        rules.record_checks(Rule::NoEviction, unloads.count() as u64, violations);
    }
}

/// Checks that no load exceeded the rate or the in-transit limit of the weight store.
fn check_store(store: &StoreLedger, rules: &mut RuleCounts) {
    let rate = (0..store.rate_exceeded).map(|_| "a load beyond the rate".to_owned());
    let transit = (0..store.transit_exceeded).map(|_| "a load beyond the transit".to_owned());
    let loads = store.loads.len() as u64;
    rules.record_checks(Rule::StoreLimit, loads, rate.chain(transit));
}

/// Checks that each workload that sent a request got at least one answer.
fn check_workloads(deployment: &Deployment, outcomes: &[Outcome], rules: &mut RuleCounts) {
    for (index, workload) in deployment.workloads.iter().enumerate() {
        let mut of_workload = outcomes.iter().filter(|o| o.workload_index == index);
        let sent = of_workload.clone().count();
        let answered = of_workload.any(|o| o.ending == Ending::Answered);
        let violation = (sent > 0 && !answered).then(|| format!("no answer to {}", workload.label));
        rules.record_check(Rule::EveryWorkload, violation);
    }
}

/// Counts the executions for each idempotency key.
fn execution_counts(ledgers: &Ledgers) -> HashMap<Arc<str>, u32> {
    let mut executions = HashMap::new();
    for call in ledgers.services.iter().flatten() {
        if let Some(key) = &call.key {
            *executions.entry(Arc::clone(key)).or_default() += 1;
        }
    }
    executions
}

/// Identifies a request in the examples of the report.
fn request_label(request: &Request) -> String {
    match request {
        Request::Completion(completion) => {
            format!("{} {:?}", completion.adapter, completion.prompt)
        }
        Request::Write { key, .. } => key.to_string(),
        Request::Read { path } => path.to_string(),
    }
}
