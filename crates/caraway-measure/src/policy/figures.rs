//! [`Figures`]: what a run is judged by.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures need few digits, and quantiles lie within their lists"
)]

use serde::Serialize;

use super::{arrivals::Request, scenario::Plan};

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Time waited for a load, in microseconds.
    pub(crate) stall: u64,
    /// First token at, in microseconds.
    pub(crate) first: Option<u64>,
    pub(crate) served: bool,
    pub(crate) refused: bool,
}

/// Sums that the run collects.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) loads: u64,
    pub(crate) evictions: u64,
    pub(crate) steps: u64,
    pub(crate) step_requests: u64,
    pub(crate) violations: Violations,
}

/// What must never happen, counted by kind.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Violations {
    pub(crate) pinned_evictions: u64,
    pub(crate) wrong_adapters: u64,
    pub(crate) store_limits: u64,
    pub(crate) leaving_endpoints: u64,
    pub(crate) rival_holders: u64,
}

/// What a run is judged by.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) policy: &'static str,
    pub(crate) load_stall_mean_ms: f64,
    pub(crate) load_stall_p50_ms: f64,
    pub(crate) load_stall_p99_ms: f64,
    pub(crate) stalled_share: f64,
    pub(crate) batch_fill_mean: f64,
    pub(crate) loads: u64,
    pub(crate) evictions: u64,
    pub(crate) refused_share: f64,
    pub(crate) first_token_p95_ms: f64,
    pub(crate) violations: u64,
    pub(crate) store_busy: f64,
    pub(crate) unfinished_share: f64,
    /// Stall of the accounts that do not flood.
    pub(crate) others_stall_mean_ms: f64,
    pub(crate) others_refused_share: f64,
    pub(crate) interactive_first_token_p95_ms: f64,
    pub(crate) by_kind: Violations,
    /// Mean stall in each tenth of the run, for the plot.
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
    /// Sums up a run, from the end of its warm-up on.
    pub(crate) fn new(
        policy: &'static str,
        plan: &Plan,
        requests: &[Request],
        tally: &Tally,
    ) -> Self {
        let all: Vec<(&Request, &Outcome)> = requests
            .iter()
            .zip(&tally.outcomes)
            .filter(|(r, _)| r.at >= plan.warm_up())
            .collect();
        let stalls = |keep: &dyn Fn(&Request) -> bool| -> Vec<u64> {
            let served = all.iter().filter(|(r, o)| o.served && keep(r));
            sorted(served.map(|(_, o)| o.stall).collect())
        };
        let first = |keep: &dyn Fn(&Request) -> bool| -> Vec<u64> {
            let kept = all.iter().filter(|(r, _)| keep(r));
            sorted(
                kept.filter_map(|(r, o)| o.first.map(|t| t - r.at + 2 * plan.caller_delay))
                    .collect(),
            )
        };
        let others: Vec<_> = all.iter().filter(|(r, _)| !r.flood).collect();
        let served = stalls(&|_| true);
        let measured = plan.seconds as f64 * 7.0 / 8.0;
        let interactive = |r: &Request| r.class == caraway_types::Class::Interactive;
        Self {
            policy,
            load_stall_mean_ms: mean_ms(&served),
            load_stall_p50_ms: quantile_ms(&served, 0.5),
            load_stall_p99_ms: quantile_ms(&served, 0.99),
            stalled_share: share(served.iter().filter(|s| **s > 0).count(), served.len()),
            batch_fill_mean: round(ratio(
                tally.step_requests,
                tally.steps * u64::from(plan.max_batch),
            )),
            loads: tally.loads,
            evictions: tally.evictions,
            refused_share: share(all.iter().filter(|(_, o)| o.refused).count(), all.len()),
            first_token_p95_ms: quantile_ms(&first(&|_| true), 0.95),
            violations: tally.violations.total(),
            store_busy: round(tally.loads as f64 / (measured * plan.store_rate)),
            unfinished_share: share(
                all.iter().filter(|(_, o)| !o.served && !o.refused).count(),
                all.len(),
            ),
            others_stall_mean_ms: mean_ms(&stalls(&|r| !r.flood)),
            others_refused_share: share(
                others.iter().filter(|(_, o)| o.refused).count(),
                others.len(),
            ),
            interactive_first_token_p95_ms: quantile_ms(&first(&interactive), 0.95),
            by_kind: tally.violations.clone(),
            stall_tenths_ms: (0..10)
                .map(|i| {
                    let span = plan.point(i, 10)..plan.point(i + 1, 10);
                    let inside = requests.iter().zip(&tally.outcomes);
                    let kept = inside.filter(|(r, o)| o.served && span.contains(&r.at));
                    mean_ms(&kept.map(|(_, o)| o.stall).collect::<Vec<_>>())
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
    round(ratio(a as u64, b as u64))
}

fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

fn mean_ms(values: &[u64]) -> f64 {
    let mean = ratio(values.iter().sum(), values.len() as u64);
    (mean / 100.0).round() / 10.0
}

fn quantile_ms(sorted: &[u64], q: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let last = sorted.len() - 1;
    let index = (q * last as f64).round() as usize;
    (sorted[index.min(last)] as f64 / 100.0).round() / 10.0
}
