//! [`Report`] summarizes the outcomes and ledgers of a run.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, SystemTime},
};

use caraway_types::AdapterRef;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    checker::Ledgers,
    deployment::Deployment,
    outcome::{Column, Outcome},
    rules::RuleCounts,
    schedule::Request,
};

/// Largest value of a histogram, in microseconds; longer times are recorded as this.
const HISTOGRAM_MAX_US: u64 = 120_000_000;
/// Significant decimal digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 3;
/// Minimum load stall from which a request counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);

/// Summary of a run, printed as a table or as JSON.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// Name of the deployment.
    pub(crate) deployment: &'static str,
    /// Seed of the generated requests.
    pub(crate) seed: u64,
    /// Seconds from the start of sending to the end of all requests and operator actions.
    pub(crate) seconds: f64,
    /// Summary of each workload.
    pub(crate) workloads: Vec<WorkloadSummary>,
    /// Number of requests for each ending other than an answer.
    pub(crate) endings: BTreeMap<String, u64>,
    /// Totals and averages over all engines.
    pub(crate) engines: EngineSummary,
    /// Result of each rule.
    pub(crate) rules: RuleCounts,
}

/// Summary of one workload.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct WorkloadSummary {
    /// Name of the workload.
    pub(crate) label: &'static str,
    /// Number of requests sent.
    pub(crate) sent: u64,
    /// Requests with a complete response.
    pub(crate) answered: u64,
    /// Requests refused as not run.
    pub(crate) not_run: u64,
    /// Requests refused as in doubt: they may have run.
    pub(crate) in_doubt: u64,
    /// Requests that ended without a complete response or a typed refusal.
    pub(crate) failed: u64,
    /// Time to the first token of a streamed response.
    pub(crate) first_token: Percentiles,
    /// Time between tokens of a streamed response.
    pub(crate) between_tokens: Percentiles,
    /// Time from sending a completion to its first arrival on an engine.
    pub(crate) load_stall: Percentiles,
    /// Requests whose load stall reached the threshold.
    pub(crate) stalled: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Percentiles {
    /// Number of recorded times.
    pub(crate) count: u64,
    /// Median.
    pub(crate) p50: f64,
    /// 95th percentile.
    pub(crate) p95: f64,
    /// 99th percentile.
    pub(crate) p99: f64,
}

/// Totals and averages over all engines.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct EngineSummary {
    /// Attempts that arrived on the engines.
    pub(crate) runs: u64,
    /// Tokens generated.
    pub(crate) tokens: u64,
    /// Steps of the batches.
    pub(crate) steps: u64,
    /// Average number of requests in a batch, over the steps.
    pub(crate) mean_fill: f64,
    /// `mean_fill` as a share of the maximum batch size, from 0 to 1.
    pub(crate) fill_share: f64,
    /// Share of prompt bytes that the prefix caches saved from prefill, from 0 to 1.
    pub(crate) prefix_share: f64,
    /// Number of distinct adapter versions that the callers requested.
    pub(crate) adapters: u64,
    /// Loads that the weight store recorded.
    pub(crate) loads: u64,
    /// Loads that the weight store failed.
    pub(crate) failed_loads: u64,
}

impl Report {
    /// Summarizes a run that took `duration`.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram can't be created.
    pub(crate) fn new(
        deployment: &Deployment,
        seed: u64,
        duration: Duration,
        outcomes: &[Outcome],
        ledgers: &Ledgers,
        rules: RuleCounts,
    ) -> anyhow::Result<Self> {
        let arrivals = engine_arrivals(ledgers);
        let summary = |(index, workload): (usize, &crate::deployment::Workload)| {
            let of_workload: Vec<_> = outcomes
                .iter()
                .filter(|o| o.workload_index == index)
                .collect();
            WorkloadSummary::new(workload.label, &of_workload, &arrivals)
        };
        let workloads = deployment.workloads.iter().enumerate().map(summary);
        let mut endings = BTreeMap::new();
        for detail in outcomes.iter().filter_map(|o| o.ending.detail()) {
            *endings.entry(detail).or_default() += 1;
        }
        Ok(Self {
            deployment: deployment.name,
            seed,
            seconds: duration.as_secs_f64(),
            workloads: workloads.collect::<anyhow::Result<_>>()?,
            endings,
            engines: EngineSummary::new(deployment, outcomes, ledgers),
            rules,
        })
    }
}

impl WorkloadSummary {
    fn new(
        label: &'static str,
        outcomes: &[&Outcome],
        arrivals: &HashMap<&str, SystemTime>,
    ) -> anyhow::Result<Self> {
        let count = |column| {
            let in_column = |o: &&&Outcome| o.ending.column() == column;
            outcomes.iter().filter(in_column).count() as u64
        };
        let stalls: Vec<Duration> = outcomes
            .iter()
            .filter_map(|outcome| load_stall(outcome, arrivals))
            .collect();
        Ok(Self {
            label,
            sent: outcomes.len() as u64,
            answered: count(Column::Answered),
            not_run: count(Column::NotRun),
            in_doubt: count(Column::InDoubt),
            failed: count(Column::Failed),
            first_token: Percentiles::new(outcomes.iter().filter_map(|o| o.first_token))?,
            between_tokens: Percentiles::new(
                outcomes.iter().flat_map(|o| o.token_gaps.iter().copied()),
            )?,
            stalled: stalls.iter().filter(|s| **s >= STALL_THRESHOLD).count() as u64,
            load_stall: Percentiles::new(stalls)?,
        })
    }
}

impl Percentiles {
    fn new(times: impl IntoIterator<Item = Duration>) -> anyhow::Result<Self> {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)?;
        for time in times {
            histogram
                .saturating_record(u64::try_from(time.as_micros()).unwrap_or(HISTOGRAM_MAX_US));
        }
        let quantile = |q| {
            let time = Duration::from_micros(histogram.value_at_quantile(q));
            time.as_secs_f64() * 1e3
        };
        Ok(Self {
            count: histogram.len(),
            p50: quantile(0.5),
            p95: quantile(0.95),
            p99: quantile(0.99),
        })
    }
}

impl EngineSummary {
    fn new(deployment: &Deployment, outcomes: &[Outcome], ledgers: &Ledgers) -> Self {
        let requested: HashSet<&AdapterRef> =
            outcomes.iter().filter_map(requested_adapter).collect();
        let engines = || ledgers.engines.iter();
        let steps: u64 = engines().map(|e| e.steps).sum();
        let filled: u64 = engines().map(|e| e.fill_sum).sum();
        let prefilled: u64 = engines().map(|e| e.prefilled).sum();
        let saved: u64 = engines().map(|e| e.prefix_hits).sum();
        let runs = || engines().flat_map(|e| &e.runs);
        let mean_fill = ratio(filled, steps);
        Self {
            runs: runs().count() as u64,
            tokens: runs().map(|r| u64::from(r.generated)).sum(),
            steps,
            mean_fill,
            fill_share: mean_fill / f64::from(deployment.engine.max_batch),
            prefix_share: ratio(saved, saved + prefilled),
            adapters: requested.len() as u64,
            loads: ledgers.store.loads.len() as u64,
            failed_loads: ledgers.store.failed,
        }
    }
}

/// Returns the time at which each prompt first arrived on an engine.
fn engine_arrivals(ledgers: &Ledgers) -> HashMap<&str, SystemTime> {
    let mut arrivals = HashMap::new();
    for run in ledgers.engines.iter().flat_map(|e| &e.runs) {
        let first = arrivals.entry(&*run.prompt).or_insert(run.arrived);
        *first = run.arrived.min(*first);
    }
    arrivals
}

/// Returns the adapter version that a completion requested; `None` for a write or read.
fn requested_adapter(outcome: &Outcome) -> Option<&AdapterRef> {
    match &outcome.request {
        Request::Completion(completion) => Some(&completion.adapter),
        Request::Write { .. } | Request::Read { .. } => None,
    }
}

/// Returns the time from sending a completion to its first arrival on an engine.
///
/// Returns `None` for a write or read, and for a completion that reached no engine.
fn load_stall(outcome: &Outcome, arrivals: &HashMap<&str, SystemTime>) -> Option<Duration> {
    let Request::Completion(completion) = &outcome.request else {
        return None;
    };
    let arrived = arrivals.get(&*completion.engine_prompt())?;
    arrived.duration_since(outcome.sent_at).ok()
}

/// Returns `part / whole`, or `part` if `whole` is 0.
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of one run are far below 2^52"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
