//! [`Shares`]: how client accounts share the endpoints of a service.

use std::{collections::HashMap, sync::Arc};

use caraway_routes::TokenCount;
use caraway_types::AccountId;

/// Tokens that an account was served, counted from a common start; the lowest is served first.
pub(crate) type ServedTokens = u64;

/// Most tokens that one request counts; callers may state a maximum far above what they get.
const MAX_TOKENS: u64 = 100_000;
/// Number of accounts of a service from which those that do not wait are dropped.
const PRUNE_SIZE: usize = 256;

/// How the client accounts share the endpoints of one service: fair queueing with equal weights,
/// measured in tokens.
///
/// The account that was served least goes first. One that did not wait for a while starts where the
/// others are, so that it gets no more than its share later.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Highest number of tokens that an account had been served when it was served again.
    level: ServedTokens,
    accounts: HashMap<Option<AccountId>, Account>,
}

/// What one account was served.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    served: ServedTokens,
    /// Requests that wait and can be on time.
    waiting: usize,
}

impl Shares {
    /// Records that a request waits and can be on time.
    pub(crate) fn on_waiting(&mut self, account: Option<&AccountId>) {
        if account.is_none() && self.accounts.is_empty() {
            return;
        }
        let level = self.level;
        if self.accounts.len() >= PRUNE_SIZE {
            self.accounts
                .retain(|_, a| a.waiting > 0 || a.served > level);
        }
        let entry = self.accounts.entry(account.cloned()).or_default();
        if entry.waiting == 0 {
            entry.served = entry.served.max(level);
        }
        entry.waiting += 1;
    }

    /// Records that a request that could be on time does not wait any more, or can't be.
    pub(crate) fn on_left(&mut self, account: Option<&AccountId>) {
        if let Some(entry) = self.accounts.get_mut(&account.cloned()) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Charges an account for a request that is granted.
    pub(crate) fn charge(&mut self, account: Option<&AccountId>, tokens: TokenCount) {
        if account.is_none() && self.accounts.is_empty() {
            return;
        }
        let entry = self.accounts.entry(account.cloned()).or_default();
        let from = if entry.waiting == 0 {
            entry.served.max(self.level)
        } else {
            entry.served
        };
        entry.served = from.saturating_add(cost(tokens));
        self.level = self.level.max(from);
    }

    /// Returns whether requests name accounts.
    pub(crate) fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns what an account was served.
    pub(crate) fn served(&self, account: Option<&AccountId>) -> ServedTokens {
        if self.accounts.is_empty() {
            return self.level;
        }
        let entry = self.accounts.get(&account.cloned());
        entry.map_or(self.level, |a| a.served)
    }
}

/// Returns the tokens that a request counts.
pub(crate) fn cost(tokens: TokenCount) -> u64 {
    let sum = u64::from(tokens.prompt) + u64::from(tokens.output);
    sum.clamp(1, MAX_TOKENS)
}

/// The shares of all services.
pub(crate) type ServiceShares = HashMap<Arc<str>, Shares>;
