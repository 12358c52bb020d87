//! Checks the callers' outcomes against the ledgers of the stand-ins.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

use caraway_standin::token;
use serde::Serialize;

use super::caller::{Attempt, CallKind, Outcome, TOKENS, call_model, call_name};
use crate::deployment::Deployment;

/// Most violations that the report describes one by one.
const MAX_EXAMPLES: usize = 20;

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    calls: usize,
    #[serde(rename = "sendings")]
    attempts: usize,
    /// Faults that were injected.
    faults: u32,
    seconds: f64,
    /// Attempts by kind and outcome.
    outcomes: BTreeMap<String, u32>,
    /// Share of the attempts that are in doubt or got no usable answer.
    in_doubt_share: f64,
    /// Calls with side effects that a service ran more than once.
    #[serde(rename = "doubled")]
    executed_twice: u32,
    /// Answered attempts of calls that no ledger holds.
    #[serde(rename = "lost")]
    answered_not_run: u32,
    /// Calls that ran although every attempt ended as not run.
    #[serde(rename = "not_run_that_ran")]
    ran_despite_not_run: u32,
    /// Answers, or parts of streams, that don't belong to their call.
    #[serde(rename = "foreign")]
    wrong_answers: u32,
    /// Descriptions of the first [`MAX_EXAMPLES`] violations.
    #[serde(rename = "shown")]
    examples: Vec<String>,
}

impl Report {
    /// Returns the number of violations of all kinds.
    pub(crate) fn violations(&self) -> u32 {
        self.executed_twice + self.answered_not_run + self.ran_despite_not_run + self.wrong_answers
    }
}

/// How often each call ran according to the ledgers, by the call's name.
struct Ledgers {
    services: HashMap<String, u32>,
    engines: HashMap<String, u32>,
}

/// Compares the outcomes of all attempts with what the stand-ins ran.
pub(crate) fn check_calls(
    deployment: &Deployment,
    attempts: &[Attempt],
    fault_count: u32,
    elapsed: Duration,
) -> Report {
    let ledgers = read_ledgers(deployment);
    let mut report = Report {
        attempts: attempts.len(),
        faults: fault_count,
        seconds: elapsed.as_secs_f64(),
        ..Report::default()
    };
    let mut by_call: BTreeMap<u32, Vec<&Attempt>> = BTreeMap::new();
    let mut in_doubt = 0;
    for attempt in attempts {
        by_call.entry(attempt.call).or_default().push(attempt);
        let label = outcome_label(&attempt.outcome);
        in_doubt += u32::from(
            ["in_doubt", "part", "lost"]
                .iter()
                .any(|l| label.starts_with(l)),
        );
        *report
            .outcomes
            .entry(format!("{:?} {label}", attempt.kind))
            .or_default() += 1;
    }
    report.calls = by_call.len();
    let count = f64::from(u32::try_from(attempts.len()).unwrap_or(u32::MAX));
    report.in_doubt_share = f64::from(in_doubt) / count.max(1.0);
    for (call, attempts) in by_call {
        check_call(&mut report, &ledgers, call, &attempts);
    }
    report
}

/// Checks all attempts of one call.
fn check_call(report: &mut Report, ledgers: &Ledgers, call: u32, attempts: &[&Attempt]) {
    let kind = attempts[0].kind;
    let is_completion = matches!(kind, CallKind::Stream | CallKind::Whole);
    let ledger = if is_completion {
        &ledgers.engines
    } else {
        &ledgers.services
    };
    let runs = ledger.get(&call_name(call)).copied().unwrap_or(0);
    let mut violation = |problem: &str| {
        if report.examples.len() < MAX_EXAMPLES {
            let outcomes_of_call: Vec<_> = attempts.iter().map(|s| &s.outcome).collect();
            report.examples.push(format!(
                "{problem}: {kind:?} {} ran {runs} times, {outcomes_of_call:?}",
                call_name(call)
            ));
        }
        1
    };
    if runs > 1 && matches!(kind, CallKind::Keyed | CallKind::Keyless) {
        report.executed_twice += violation("doubled");
    }
    let not_run = |s: &&Attempt| {
        let is_refused = matches!(s.outcome, Outcome::Refused { not_run: true, .. });
        is_refused || matches!(s.outcome, Outcome::Unsent)
    };
    if runs > 0 && attempts.iter().all(not_run) {
        report.ran_despite_not_run += violation("not run that ran");
    }
    for attempt in attempts {
        match &attempt.outcome {
            Outcome::Answered(text) if *text != expected_answer(call, kind) => {
                report.wrong_answers += violation("foreign or incomplete");
            }
            Outcome::Answered(_) if runs == 0 => {
                report.answered_not_run += violation("answered but not run");
            }
            Outcome::Part(text) if !expected_answer(call, kind).starts_with(text) => {
                report.wrong_answers += violation("foreign");
            }
            _ => {}
        }
    }
}

/// Returns the only correct answer to a call.
fn expected_answer(call: u32, kind: CallKind) -> String {
    match kind {
        CallKind::Read => format!("/status/{}", call_name(call)),
        CallKind::Keyed | CallKind::Keyless => call_name(call),
        CallKind::Stream | CallKind::Whole => {
            let Ok(adapter) = call_model(call).parse() else {
                return String::new();
            };
            let texts = (0..TOKENS).map(|i| token(&adapter, &call_name(call), i));
            texts.collect::<Vec<_>>().concat()
        }
    }
}

/// Counts the calls in the ledgers of all services and engines.
fn read_ledgers(deployment: &Deployment) -> Ledgers {
    let mut ledgers = Ledgers {
        services: HashMap::new(),
        engines: HashMap::new(),
    };
    for call in deployment
        .services
        .iter()
        .flat_map(caraway_standin::Service::ledger)
    {
        let name = if call.body.is_empty() {
            call.path.rsplit('/').next().unwrap_or_default().to_owned()
        } else {
            call.body.to_string()
        };
        *ledgers.services.entry(name).or_default() += 1;
    }
    for engine in &deployment.engines {
        for run in engine.ledger().runs.iter().filter(|run| run.started) {
            *ledgers.engines.entry(run.prompt.to_string()).or_default() += 1;
        }
    }
    ledgers
}

/// Returns the name of an outcome in the report.
fn outcome_label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(_) => "answered".to_owned(),
        Outcome::Part(_) => "part of a stream".to_owned(),
        Outcome::Unsent => "unsent".to_owned(),
        Outcome::Lost => "lost".to_owned(),
        Outcome::Refused {
            not_run: true,
            reason,
        } => format!("not_run {reason}"),
        Outcome::Refused { reason, .. } => format!("in_doubt {reason}"),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} calls, {} sendings, {} faults, {:.1} s",
            self.calls, self.attempts, self.faults, self.seconds
        )?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "{count:>8}  {outcome}")?;
        }
        writeln!(f, "share in doubt: {:.4}", self.in_doubt_share)?;
        writeln!(f, "doubled: {}", self.executed_twice)?;
        writeln!(f, "lost accepted work: {}", self.answered_not_run)?;
        writeln!(f, "not run that ran: {}", self.ran_despite_not_run)?;
        writeln!(f, "foreign answers: {}", self.wrong_answers)?;
        for line in &self.examples {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}
