//! [`RuleCounts`] counts the checks and violations of each [`Rule`] of a run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Maximum number of violations that the report describes for one rule.
const MAX_EXAMPLES: usize = 5;

/// A condition that every run must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Rule {
    /// Every token is the one that the requested adapter version generates for the prompt, and
    /// every response of the service belongs to its request.
    RightAnswer,
    /// Every request ends with a complete response or a typed refusal.
    WholeAnswer,
    /// No request that was refused as not run is recorded in a ledger as executed.
    NotRun,
    /// No write was executed twice, and every answered write was executed.
    AtMostOnce,
    /// No engine unloaded a load while a request ran on it.
    NoEviction,
    /// The weight store's limits on rate and loads in transit were met.
    StoreLimit,
    /// A leaving engine receives no new runs after a few seconds.
    Leaving,
    /// A graceful stop of an instance interrupts no request in flight.
    GracefulStop,
    /// Every instance applies a published change in time, and no instance's offset falls.
    Configuration,
    /// Every workload that sent requests got an answer.
    EveryWorkload,
}

/// Checks and violations of one rule.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RuleCount {
    /// Number of checks.
    pub(crate) checks: u64,
    /// Number of violations.
    pub(crate) violations: u64,
    /// Descriptions of the first violations.
    pub(crate) examples: Vec<String>,
}

/// Checks and violations of all rules.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RuleCounts(pub(crate) BTreeMap<Rule, RuleCount>);

impl Rule {
    /// All rules, in the order of the report.
    pub(crate) const ALL: [Self; 10] = [
        Self::RightAnswer,
        Self::WholeAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::NoEviction,
        Self::StoreLimit,
        Self::Leaving,
        Self::GracefulStop,
        Self::Configuration,
        Self::EveryWorkload,
    ];

    /// Describes the rule in the report.
    pub(crate) fn description(self) -> &'static str {
        match self {
            Self::RightAnswer => "right adapter and version in every token",
            Self::WholeAnswer => "whole answer or typed refusal",
            Self::NotRun => "refused as not run did not run",
            Self::AtMostOnce => "writes at most once",
            Self::NoEviction => "no eviction while serving",
            Self::StoreLimit => "weight store limit",
            Self::Leaving => "no new work for a leaving engine",
            Self::GracefulStop => "graceful stop cuts off no request",
            Self::Configuration => "configuration in force, no revert",
            Self::EveryWorkload => "every kind of work answered",
        }
    }
}

impl RuleCounts {
    /// Counts one check; `violation` describes the violation, if there is one.
    pub(crate) fn record_check(&mut self, rule: Rule, violation: Option<String>) {
        self.record_checks(rule, 1, violation);
    }

    /// Counts `checks` checks, and one violation for each description in `violations`.
    pub(crate) fn record_checks(
        &mut self,
        rule: Rule,
        checks: u64,
        violations: impl IntoIterator<Item = String>,
    ) {
        let count = self.0.entry(rule).or_default();
        count.checks += checks;
        for example in violations {
            count.violations += 1;
            if count.examples.len() < MAX_EXAMPLES {
                count.examples.push(example);
            }
        }
    }

    /// Returns the number of violations of all rules.
    pub(crate) fn violations(&self) -> u64 {
        self.0.values().map(|count| count.violations).sum()
    }
}
