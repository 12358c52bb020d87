//! [`Rules`]: what must hold, how often it was checked and how often it was broken.

use std::collections::BTreeMap;

use serde::Serialize;

/// Broken cases that the report shows for one rule.
const EXAMPLES: usize = 5;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Rule {
    /// Every token and answer is the asked adapter version's own to the asked prompt.
    RightAnswer,
    /// Every request ends with a whole answer or a typed refusal.
    WholeAnswer,
    /// Nothing that was refused as not run is found in a ledger.
    NotRun,
    /// No call that must not be repeated was carried out twice, and every answered one was.
    AtMostOnce,
    /// No engine saw an eviction of a load that served a request.
    NoEviction,
    /// The weight store's limits were held.
    StoreLimit,
    /// A leaving engine gets no new work after a few seconds.
    Leaving,
    /// A graceful stop cuts off no request in flight.
    GracefulStop,
    /// A published change is in force everywhere in time and never reverts.
    Configuration,
    /// Every kind of work was answered.
    EveryWorkload,
}

/// The count of one rule.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Count {
    /// How often it was checked.
    pub(crate) checks: u64,
    /// How often it was broken.
    pub(crate) violations: u64,
    /// Some of the broken cases.
    pub(crate) examples: Vec<String>,
}

/// The counts of all rules.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Rules(pub(crate) BTreeMap<Rule, Count>);

impl Rule {
    /// All rules.
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
    pub(crate) fn text(self) -> &'static str {
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

impl Rules {
    /// Counts one check; `broken` describes a violation.
    pub(crate) fn check(&mut self, rule: Rule, broken: Option<String>) {
        self.add(rule, 1, broken);
    }

    /// Counts `checks` checks and a violation for each of `broken`.
    pub(crate) fn add(
        &mut self,
        rule: Rule,
        checks: u64,
        broken: impl IntoIterator<Item = String>,
    ) {
        let count = self.0.entry(rule).or_default();
        count.checks += checks;
        for case in broken {
            count.violations += 1;
            if count.examples.len() < EXAMPLES {
                count.examples.push(case);
            }
        }
    }

    /// Returns the number of violations.
    pub(crate) fn violations(&self) -> u64 {
        self.0.values().map(|count| count.violations).sum()
    }
}
