//! [`Waiting`]: requests that wait for their adapter or for a place in its batch.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use caraway_types::{AccountId, AdapterRef, Class, Ticket};

use crate::Charges;

/// A group's weight grows by that of one more waiter in this time.
const AGEING: Duration = Duration::from_secs(20);

/// An account whose weight is below this took more than its share.
const CROWDING_WEIGHT: f64 = 0.5;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The request.
    pub ticket: Ticket,
    /// Who pays for it.
    pub account: AccountId,
    /// Its urgency.
    pub class: Class,
    /// Since when it waits.
    pub since: Instant,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

/// Requests that wait, grouped by adapter version: one load serves a whole group.
#[derive(Clone, Debug)]
pub struct Waiting {
    groups: BTreeMap<AdapterRef, Vec<Waiter>>,
    accounts: HashMap<AccountId, u32>,
    total: u32,
    charges: Charges,
}

impl Waiting {
    /// Nothing waits.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            groups: BTreeMap::new(),
            accounts: HashMap::new(),
            total: 0,
            charges: Charges::new(now),
        }
    }

    /// Adds a request.
    pub fn add(&mut self, adapter: &AdapterRef, waiter: Waiter) {
        *self.accounts.entry(waiter.account.clone()).or_default() += 1;
        self.total += 1;
        self.groups.entry(adapter.clone()).or_default().push(waiter);
    }

    /// Removes a request.
    pub fn remove(&mut self, adapter: &AdapterRef, ticket: Ticket) -> Option<Waiter> {
        let group = self.groups.get_mut(adapter)?;
        let at = group.iter().position(|w| w.ticket == ticket)?;
        let waiter = group.remove(at);
        if group.is_empty() {
            self.groups.remove(adapter);
        }
        self.total -= 1;
        if let Some(count) = self.accounts.get_mut(&waiter.account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.remove(&waiter.account);
            }
        }
        Some(waiter)
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of requests of an account that wait.
    #[must_use]
    pub fn of_account(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Returns the requests that wait for an adapter version.
    #[must_use]
    pub fn group(&self, adapter: &AdapterRef) -> &[Waiter] {
        self.groups.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns the adapter versions that are waited for.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.groups.keys()
    }

    /// Returns the request of a group that starts first: by class, then by the account that took
    /// least, then by age.
    #[must_use]
    pub fn first(&self, adapter: &AdapterRef) -> Option<&Waiter> {
        let rank = |w: &Waiter| -self.charges.weight(&w.account);
        self.group(adapter).iter().min_by(|a, b| {
            let class = a.class.cmp(&b.class);
            let fair = || rank(a).total_cmp(&rank(b));
            class.then_with(fair).then_with(|| a.since.cmp(&b.since))
        })
    }

    /// Returns how urgently a group waits.
    #[must_use]
    pub fn score(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let group = self.group(adapter);
        let weight: f64 = self.weights(group).sum();
        let oldest = group.iter().map(|w| w.since).min().unwrap_or(now);
        let age = now.saturating_duration_since(oldest).as_secs_f64() / AGEING.as_secs_f64();
        let size = f64::from(u32::try_from(group.len().max(1)).unwrap_or(1));
        weight * (1.0 + age / size)
    }

    /// Weighs each waiter of a group; of an account that took more than its share, only the first
    /// counts, so that a long queue of its own does not make up for that.
    fn weights<'a>(&'a self, group: &'a [Waiter]) -> impl Iterator<Item = f64> + 'a {
        group.iter().enumerate().map(|(i, waiter)| {
            let fair = self.charges.weight(&waiter.account);
            let earlier = || group[..i].iter().any(|w| w.account == waiter.account);
            if fair < CROWDING_WEIGHT && earlier() {
                return 0.0;
            }
            class_weight(waiter.class) * fair
        })
    }

    /// Charges the accounts of a group with the load that serves it.
    pub fn charge(&mut self, now: Instant, adapter: &AdapterRef) {
        let Some(group) = self.groups.get(adapter) else {
            return;
        };
        let part = 1.0 / f64::from(u32::try_from(group.len()).unwrap_or(1));
        for waiter in group {
            self.charges.add(now, &waiter.account, part);
        }
    }
}

fn class_weight(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.5,
        Class::Summary => 1.0,
        Class::Batch => 0.75,
    }
}
