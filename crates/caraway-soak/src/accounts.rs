//! [`Accounts`]: the client accounts of a run, whose keys and quotas faults change, and the guarantees
//! for them.

use std::time::{Duration, Instant};

use caraway_platform_standin::set_account;
use http::Request;
use serde_json::{Value, json};

use caraway_http::Payload;

/// Quotas of the hot account, in requests per second, which its callers exceed several times. The first
/// is in force at the start.
const RATES: [f64; 2] = [20.0, 10.0];
/// Window of quotas and their allowed excess, as in the settings of the gateways.
const WINDOW: Duration = Duration::from_secs(8);
const EXCESS: f64 = 0.1;
/// Time after which all gateways have learned of a configuration: 3 s, the age of a copy that the store
/// may return from, and the delay after which what it lost is written again.
const LEARNING_TIME: Duration = Duration::from_secs(9);

/// The account that a caller belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Account {
    /// It has no quota, and a key that stays.
    Steady,
    /// It has a quota, and its callers send several times as much.
    Hot,
}

impl Account {
    /// Returns the account's name.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Hot => "hot",
        }
    }

    /// Returns the key that the account keeps.
    fn key(self) -> &'static str {
        match self {
            Self::Steady => "steady-key",
            Self::Hot => "hot-key",
        }
    }

    /// Gives a request the account's key, and states the account to the endpoint.
    pub(crate) fn sign(self, request: &mut Request<Payload>) {
        set_account(request, self.key(), self.name());
    }
}

/// The client accounts of a run.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    /// Number of changes so far.
    generation: usize,
    /// The quotas of the hot account, each with the time at which it was published.
    rates: Vec<(Instant, f64)>,
}

impl Accounts {
    /// Replaces a key of the steady account, and changes the quota of the hot one.
    pub(crate) fn change(&mut self) {
        self.generation += 1;
    }

    /// Returns the accounts for a configuration that is published now.
    pub(crate) fn document(&mut self) -> Value {
        let rate = RATES[self.generation % RATES.len()];
        self.rates.push((Instant::now(), rate));
        let [steady, hot] = [Account::Steady, Account::Hot];
        json!([
            {"Name": steady.name(), "ApiKeys": [steady.key(), self.changing_key()]},
            {"Name": hot.name(), "ApiKeys": [hot.key()], "Priority": 1, "Unit": "request",
             "RatePerS": rate, "Burst": rate},
        ])
    }

    /// Returns the key that the last change has added.
    pub(crate) fn changing_key(&self) -> String {
        format!("changing-key-{}", self.generation)
    }

    /// Returns the key that the last change has withdrawn.
    pub(crate) fn withdrawn_key(&self) -> String {
        format!("changing-key-{}", self.generation.wrapping_sub(1))
    }

    /// Returns a violation if more requests of the hot account ran than its quota allows; `runs` is
    /// when each began.
    pub(crate) fn quota_violation(&self, mut runs: Vec<Instant>) -> Option<String> {
        runs.sort_unstable();
        let excess = runs.iter().enumerate().find_map(|(first, start)| {
            let end = *start + WINDOW;
            let count = runs[first..].partition_point(|at| *at < end);
            let allowed = self.allowed(*start, end);
            #[expect(clippy::cast_precision_loss, reason = "counts are small")]
            let is_excess = count as f64 > allowed;
            is_excess.then_some((count, allowed))
        });
        let (count, allowed) = excess?;
        Some(format!(
            "QUOTA: {count} requests of the hot account ran in 8 s, allowed {allowed}"
        ))
    }

    /// Returns how many requests may run in this window, by the largest quota that some gateway may
    /// have applied in it.
    fn allowed(&self, start: Instant, end: Instant) -> f64 {
        let from = start.checked_sub(WINDOW + LEARNING_TIME).unwrap_or(start);
        let in_force = |i: usize| {
            let until = self.rates.get(i + 1).map(|(at, _)| *at);
            self.rates[i].0 < end && until.is_none_or(|until| until > from)
        };
        let rates = (0..self.rates.len()).filter(|i| in_force(*i));
        let rate = rates.map(|i| self.rates[i].1).fold(0.0, f64::max);
        rate * (WINDOW.as_secs_f64() + 1.0) * (1.0 + EXCESS)
    }
}
