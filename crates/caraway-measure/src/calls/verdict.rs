//! What the ledgers say of the calls.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

use caraway_standin::token;
use serde::Serialize;

use super::caller::{End, Kind, Sending, TOKENS, model, name};
use crate::deployment::Deployment;

/// Most broken rules that are shown one by one.
const SHOWN: usize = 20;

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Report {
    calls: usize,
    sendings: usize,
    faults: u32,
    seconds: f64,
    /// Sendings by kind and outcome.
    outcomes: BTreeMap<String, u32>,
    /// Share of the sendings that are in doubt or got no usable answer.
    in_doubt_share: f64,
    doubled: u32,
    lost: u32,
    not_run_that_ran: u32,
    foreign: u32,
    shown: Vec<String>,
}

impl Report {
    /// Counts the broken rules.
    pub(crate) fn violations(&self) -> u32 {
        self.doubled + self.lost + self.not_run_that_ran + self.foreign
    }
}

/// How often each call was carried out.
struct Ledgers {
    services: HashMap<String, u32>,
    engines: HashMap<String, u32>,
}

/// Compares what callers got with what the stand-ins did.
pub(crate) fn judge(
    deployment: &Deployment,
    sendings: &[Sending],
    faults: u32,
    time: Duration,
) -> Report {
    let ledgers = read(deployment);
    let mut report = Report {
        sendings: sendings.len(),
        faults,
        seconds: time.as_secs_f64(),
        ..Report::default()
    };
    let mut by_call: BTreeMap<u32, Vec<&Sending>> = BTreeMap::new();
    let mut doubt = 0;
    for sending in sendings {
        by_call.entry(sending.call).or_default().push(sending);
        let label = label(&sending.end);
        doubt += u32::from(
            ["in_doubt", "part", "lost"]
                .iter()
                .any(|l| label.starts_with(l)),
        );
        *report
            .outcomes
            .entry(format!("{:?} {label}", sending.kind))
            .or_default() += 1;
    }
    report.calls = by_call.len();
    let count = f64::from(u32::try_from(sendings.len()).unwrap_or(u32::MAX));
    report.in_doubt_share = f64::from(doubt) / count.max(1.0);
    for (call, sendings) in by_call {
        judge_call(&mut report, &ledgers, call, &sendings);
    }
    report
}

fn judge_call(report: &mut Report, ledgers: &Ledgers, call: u32, sendings: &[&Sending]) {
    let kind = sendings[0].kind;
    let is_completion = matches!(kind, Kind::Stream | Kind::Whole);
    let ledger = if is_completion {
        &ledgers.engines
    } else {
        &ledgers.services
    };
    let runs = ledger.get(&name(call)).copied().unwrap_or(0);
    let mut broken = |what: &str| {
        if report.shown.len() < SHOWN {
            let ends: Vec<_> = sendings.iter().map(|s| &s.end).collect();
            report.shown.push(format!(
                "{what}: {kind:?} {} ran {runs} times, {ends:?}",
                name(call)
            ));
        }
        1
    };
    if runs > 1 && matches!(kind, Kind::Keyed | Kind::Keyless) {
        report.doubled += broken("doubled");
    }
    let not_run = |s: &&Sending| {
        let refused = matches!(s.end, End::Refused { not_run: true, .. });
        refused || matches!(s.end, End::Unsent)
    };
    if runs > 0 && sendings.iter().all(not_run) {
        report.not_run_that_ran += broken("not run that ran");
    }
    for sending in sendings {
        match &sending.end {
            End::Answered(got) if *got != wanted(call, kind) => {
                report.foreign += broken("foreign or incomplete");
            }
            End::Answered(_) if runs == 0 => report.lost += broken("answered but not run"),
            End::Part(got) if !wanted(call, kind).starts_with(got) => {
                report.foreign += broken("foreign");
            }
            _ => {}
        }
    }
}

/// Returns the only right answer to a call.
fn wanted(call: u32, kind: Kind) -> String {
    match kind {
        Kind::Read => format!("/status/{}", name(call)),
        Kind::Keyed | Kind::Keyless => name(call),
        Kind::Stream | Kind::Whole => {
            let Ok(adapter) = model(call).parse() else {
                return String::new();
            };
            let texts = (0..TOKENS).map(|i| token(&adapter, &name(call), i));
            texts.collect::<Vec<_>>().concat()
        }
    }
}

fn read(deployment: &Deployment) -> Ledgers {
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

fn label(end: &End) -> String {
    match end {
        End::Answered(_) => "answered".to_owned(),
        End::Part(_) => "part of a stream".to_owned(),
        End::Unsent => "unsent".to_owned(),
        End::Lost => "lost".to_owned(),
        End::Refused {
            not_run: true,
            reason,
        } => format!("not_run {reason}"),
        End::Refused { reason, .. } => format!("in_doubt {reason}"),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} calls, {} sendings, {} faults, {:.1} s",
            self.calls, self.sendings, self.faults, self.seconds
        )?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "{count:>8}  {outcome}")?;
        }
        writeln!(f, "share in doubt: {:.4}", self.in_doubt_share)?;
        writeln!(f, "doubled: {}", self.doubled)?;
        writeln!(f, "lost accepted work: {}", self.lost)?;
        writeln!(f, "not run that ran: {}", self.not_run_that_ran)?;
        writeln!(f, "foreign answers: {}", self.foreign)?;
        for line in &self.shown {
            writeln!(f, "{line}")?;
        }
        Ok(())
    }
}
