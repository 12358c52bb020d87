//! [`Account`]: a client account and its quota.

use caraway_types::{AccountId, TokenCount};

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request costs 1.
    Requests,
    /// A request costs the tokens of its prompt and its output.
    Tokens {
        /// Cost of a request that states no tokens.
        plain: u32,
    },
}

/// Limit of what the requests of an account may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in units per second; greater than 0.
    pub rate: f64,
    /// Units that may be spent at once after an idle time.
    pub burst: f64,
    /// What the quota counts.
    pub unit: QuotaUnit,
}

impl Quota {
    /// Returns whether `other` counts the same, so that a level of one is one of the other.
    pub(crate) fn unit_kind_eq(&self, other: Option<Self>) -> bool {
        let kind = std::mem::discriminant(&self.unit);
        other.is_some_and(|o| std::mem::discriminant(&o.unit) == kind)
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountId,
    /// Priority that replaces the priority of the route; `None` if the route's applies.
    pub priority: Option<u8>,
    /// Limit of its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

impl Account {
    /// Returns the cost of a request in units of the quota; 0 without a quota. `tokens` is `None`
    /// if the request states none.
    #[must_use]
    pub fn cost(&self, tokens: Option<TokenCount>) -> f64 {
        let Some(quota) = self.quota else {
            return 0.0;
        };
        match (quota.unit, tokens) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { plain }, None) => f64::from(plain),
            (QuotaUnit::Tokens { .. }, Some(t)) => f64::from(t.prompt) + f64::from(t.output),
        }
    }
}
