//! The requests of 16 accounts with uneven load.

use caraway_accounts::{Account, AccountDirectory, AccountId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::common::{account, directory};

/// Tokens per second that all accounts use, and the number of instances that serve them, in label
/// printing.
const USUAL_LOAD: f64 = 645_000.0;
const USUAL_INSTANCES: f64 = 83.0;
/// Quotas as a multiple of the usual load.
const QUOTA_FACTOR: f64 = 1.8;
/// Requests in a thousand and their cost: digests, plain requests, short streams for the rest.
const DIGEST: (f64, f64) = (0.013, 9_242.0);
const PLAIN: (f64, f64) = (0.33, 200.0);
const STREAM_COST: f64 = 714.0;

/// A request of an account at an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) account: usize,
    pub(crate) instance: usize,
    pub(crate) cost: f64,
    pub(crate) tries: u32,
    /// When it stops to wait for allowance.
    pub(crate) give_up_at: f64,
}

/// The accounts and their requests.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) accounts: Vec<Account>,
    /// Former quotas, by the time at which they were replaced.
    former: Vec<(f64, Vec<Account>)>,
    /// Requests per second.
    rates: Vec<f64>,
    instances: usize,
    /// Longest time for which a request waits for allowance.
    max_wait: f64,
    /// Account whose requests arrive 7.5 times as often, and whose callers repeat refused ones.
    pub(crate) hot: Option<usize>,
    /// When the account begins to be hot; its pools are full by then.
    pub(crate) hot_from: f64,
    /// Whether one instance gets four fifths of all requests.
    pub(crate) is_uneven: bool,
}

impl Load {
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub(crate) fn new(instances: usize, zones: usize, accounts: usize) -> Self {
        let scale = (instances as f64 / USUAL_INSTANCES).max(1.0);
        let weight = |k: usize| (k as f64).powf(-1.2);
        let sum: f64 = (1..=accounts).map(weight).sum();
        let mean =
            DIGEST.0 * DIGEST.1 + PLAIN.0 * PLAIN.1 + (1.0 - DIGEST.0 - PLAIN.0) * STREAM_COST;
        let usual = |k| USUAL_LOAD * scale * weight(k) / sum;
        let quota = |k| {
            account(
                &format!("account{k}"),
                QUOTA_FACTOR * usual(k),
                QUOTA_FACTOR * usual(k),
            )
        };
        Self {
            accounts: (1..=accounts).map(quota).collect(),
            former: Vec::new(),
            rates: (1..=accounts).map(|k| usual(k) / mean).collect(),
            instances,
            max_wait: 0.1 * zones as f64,
            hot: None,
            hot_from: 3.0,
            is_uneven: false,
        }
    }

    pub(crate) fn directory(&self) -> AccountDirectory {
        directory(&self.accounts)
    }

    pub(crate) fn position(&self, name: &AccountId) -> usize {
        let found = self.accounts.iter().position(|a| a.name == *name);
        found.expect("an account of the load")
    }

    /// Replaces the quotas at a time.
    pub(crate) fn scale_quotas(&mut self, at: f64, factor: f64) {
        self.former.push((at, self.accounts.clone()));
        for account in &mut self.accounts {
            if let Some(quota) = &mut account.quota {
                quota.rate *= factor;
                quota.burst *= factor;
            }
        }
    }

    /// Returns the account with the quota that is published at a time.
    pub(crate) fn known(&self, account: usize, now: f64) -> &Account {
        let former = self.former.iter().find(|(until, _)| now < *until);
        former.map_or(&self.accounts[account], |(_, accounts)| &accounts[account])
    }

    /// Returns the largest window limit of an account that is in force at some time of a window that
    /// ends at `end`; a lower one applies once all instances had `apply` seconds to learn it.
    pub(crate) fn limit(&self, account: usize, start: f64, apply: f64) -> f64 {
        let limit = |a: &Account| crate::common::BOUNDS.limit(a.quota.as_ref().expect("a quota"));
        let current = limit(&self.accounts[account]);
        let former = self
            .former
            .iter()
            .filter(|(until, _)| start < until + apply);
        former
            .map(|(_, accounts)| limit(&accounts[account]))
            .fold(current, f64::max)
    }

    /// Returns when the next request of an account arrives, and the one that arrives now.
    pub(crate) fn next(
        &self,
        rng: &mut ChaCha8Rng,
        account: usize,
        now: f64,
        end: f64,
    ) -> (f64, Option<Request>) {
        let is_hot = self.hot == Some(account) && now >= self.hot_from;
        let factor = if is_hot { 7.5 } else { 1.0 };
        let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / (self.rates[account] * factor);
        let kind: f64 = rng.random();
        let cost = if kind < DIGEST.0 {
            DIGEST.1
        } else if kind < DIGEST.0 + PLAIN.0 {
            PLAIN.1
        } else {
            STREAM_COST
        };
        let instance = if self.is_uneven && rng.random_bool(0.8) {
            0
        } else {
            rng.random_range(0..self.instances)
        };
        let request = Request {
            account,
            instance,
            cost,
            tries: 1,
            give_up_at: now + self.max_wait,
        };
        // The first arrival is after the first gap.
        (now + gap, (now > 0.0 && now < end).then_some(request))
    }

    pub(crate) fn repeats(&self, rng: &mut ChaCha8Rng, request: &Request) -> bool {
        self.hot == Some(request.account) && request.tries == 1 && rng.random_bool(0.5)
    }
}
