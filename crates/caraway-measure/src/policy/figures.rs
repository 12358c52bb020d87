//! [`Figures`]: the results of simulating one policy.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "few digits are reported, and the index of a quantile is within its list"
)]

use serde::Serialize;

use super::{arrivals::Request, scenario::Plan};

/// The outcome of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Time that the request waited for its load, in microseconds.
    pub(crate) load_stall: u64,
    /// Time of the first token, in microseconds; `None` before it.
    pub(crate) first_token_at: Option<u64>,
    /// Whether the answer was completed.
    pub(crate) served: bool,
    /// Whether the request was refused.
    pub(crate) refused: bool,
}

/// Counts that a run collects, from the end of the warm-up to the end of arrivals;
/// outcomes and violations cover the whole run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals {
    /// The outcome of each request, by its index.
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) loads: u64,
    pub(crate) evictions: u64,
    /// Engine steps.
    pub(crate) steps: u64,
    /// Sum of the batch sizes of these steps.
    pub(crate) step_requests: u64,
    pub(crate) violations: Violations,
}

/// Counts of events that must never happen.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Violations {
    /// Loads evicted while attempts used them.
    pub(crate) pinned_evictions: u64,
    /// Attempts started with another adapter than the request's.
    pub(crate) wrong_adapters: u64,
    /// Loads ordered beyond the store's limits.
    pub(crate) store_limits: u64,
    /// Always 0: no scenario drains an endpoint.
    pub(crate) leaving_endpoints: u64,
    /// Orders that an engine accepted with a fencing token below its highest, or with that token from
    /// another instance.
    pub(crate) rival_holders: u64,
}

/// The results of simulating one policy, from the end of the warm-up on.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) policy: &'static str,
    pub(crate) load_stall_mean_ms: f64,
    pub(crate) load_stall_p50_ms: f64,
    pub(crate) load_stall_p99_ms: f64,
    /// Share of the served requests that waited for a load.
    pub(crate) stalled_share: f64,
    /// Mean size of a step's batch, as a share of the largest.
    pub(crate) batch_fill_mean: f64,
    pub(crate) loads: u64,
    pub(crate) evictions: u64,
    pub(crate) refused_share: f64,
    pub(crate) first_token_p95_ms: f64,
    pub(crate) violations: u64,
    /// Loads as a share of what the store's rate allows.
    pub(crate) store_busy: f64,
    /// Share of the requests that were neither served nor refused by the end.
    pub(crate) unfinished_share: f64,
    /// Mean load stall of the accounts that don't flood.
    pub(crate) others_stall_mean_ms: f64,
    /// Share of the requests of these accounts that were refused.
    pub(crate) others_refused_share: f64,
    pub(crate) interactive_first_token_p95_ms: f64,
    #[serde(rename = "by_kind")]
    pub(crate) violations_by_kind: Violations,
    /// Mean load stall in each tenth of the run, warm-up included; the plot shows these.
    pub(crate) stall_tenths_ms: Vec<f64>,
}

impl Violations {
    fn total(&self) -> u64 {
        self.pinned_evictions
            + self.wrong_adapters
            + self.store_limits
            + self.leaving_endpoints
            + self.rival_holders
    }
}

impl Figures {
    /// Computes the results of a run.
    pub(crate) fn new(
        policy: &'static str,
        plan: &Plan,
        requests: &[Request],
        totals: &Totals,
    ) -> Self {
        let all: Vec<(&Request, &Outcome)> = requests
            .iter()
            .zip(&totals.outcomes)
            .filter(|(r, _)| r.arrival >= plan.warm_up_end())
            .collect();
        let stalls = |matches: &dyn Fn(&Request) -> bool| -> Vec<u64> {
            let served = all.iter().filter(|(r, o)| o.served && matches(r));
            sorted(served.map(|(_, o)| o.load_stall).collect())
        };
        let first_tokens = |matches: &dyn Fn(&Request) -> bool| -> Vec<u64> {
            let kept = all.iter().filter(|(r, _)| matches(r));
            sorted(
                kept.filter_map(|(r, o)| {
                    o.first_token_at
                        .map(|t| t - r.arrival + 2 * plan.caller_delay_us)
                })
                .collect(),
            )
        };
        let others: Vec<_> = all.iter().filter(|(r, _)| !r.is_flood).collect();
        let served = stalls(&|_| true);
        let measured_s = plan.seconds as f64 * 7.0 / 8.0;
        let is_interactive = |r: &Request| r.class == caraway_types::Class::Interactive;
        Self {
            policy,
            load_stall_mean_ms: mean_ms(&served),
            load_stall_p50_ms: quantile_ms(&served, 0.5),
            load_stall_p99_ms: quantile_ms(&served, 0.99),
            stalled_share: share(served.iter().filter(|s| **s > 0).count(), served.len()),
            batch_fill_mean: round4(ratio(
                totals.step_requests,
                totals.steps * u64::from(plan.max_batch),
            )),
            loads: totals.loads,
            evictions: totals.evictions,
            refused_share: share(all.iter().filter(|(_, o)| o.refused).count(), all.len()),
            first_token_p95_ms: quantile_ms(&first_tokens(&|_| true), 0.95),
            violations: totals.violations.total(),
            store_busy: round4(totals.loads as f64 / (measured_s * plan.store_rate)),
            unfinished_share: share(
                all.iter().filter(|(_, o)| !o.served && !o.refused).count(),
                all.len(),
            ),
            others_stall_mean_ms: mean_ms(&stalls(&|r| !r.is_flood)),
            others_refused_share: share(
                others.iter().filter(|(_, o)| o.refused).count(),
                others.len(),
            ),
            interactive_first_token_p95_ms: quantile_ms(&first_tokens(&is_interactive), 0.95),
            violations_by_kind: totals.violations.clone(),
            stall_tenths_ms: (0..10)
                .map(|i| {
                    let tenth = plan.fraction(i, 10)..plan.fraction(i + 1, 10);
                    let outcomes = requests.iter().zip(&totals.outcomes);
                    let kept = outcomes.filter(|(r, o)| o.served && tenth.contains(&r.arrival));
                    mean_ms(&kept.map(|(_, o)| o.load_stall).collect::<Vec<_>>())
                })
                .collect(),
        }
    }
}

fn sorted(mut values: Vec<u64>) -> Vec<u64> {
    values.sort_unstable();
    values
}

fn ratio(a: u64, b: u64) -> f64 {
    if b == 0 { 0.0 } else { a as f64 / b as f64 }
}

fn share(a: usize, b: usize) -> f64 {
    round4(ratio(a as u64, b as u64))
}

/// Rounds to four decimal places.
fn round4(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// Returns the mean of times in microseconds, in milliseconds with one decimal place.
fn mean_ms(values: &[u64]) -> f64 {
    let mean = ratio(values.iter().sum(), values.len() as u64);
    (mean / 100.0).round() / 10.0
}

/// Returns a quantile of sorted times in microseconds, in milliseconds with one decimal place.
fn quantile_ms(sorted: &[u64], q: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let last = sorted.len() - 1;
    let index = (q * last as f64).round() as usize;
    (sorted[index.min(last)] as f64 / 100.0).round() / 10.0
}
