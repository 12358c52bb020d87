//! [`PendingRequests`]: requests that wait until their adapter is resident or has room in a batch.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use caraway_types::{AccountId, AdapterRef, Class, Ticket};

use crate::Charges;

/// Waiting time of a group's oldest request for each increase of the group's score by the average
/// weight of its requests, see [`PendingRequests::score`].
const AGING_TIME: Duration = Duration::from_secs(20);

/// Weight below which an account has taken more than its share of the recent loads.
const OVER_SHARE_WEIGHT: f64 = 0.5;

/// A pending request.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// Identifies the request on this instance.
    pub ticket: Ticket,
    /// The client account that sent it.
    pub account: AccountId,
    /// Urgency class; a more urgent class is always served first within a group.
    pub class: Class,
    /// When it became pending.
    pub since: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
}

/// Pending requests, grouped by adapter version because one load serves a whole group.
#[derive(Clone, Debug)]
pub struct PendingRequests {
    groups: BTreeMap<AdapterRef, Vec<PendingRequest>>,
    /// Number of pending requests per account.
    accounts: HashMap<AccountId, u32>,
    total: u32,
    charges: Charges,
}

impl PendingRequests {
    /// Creates an empty set, with no account charged for loads.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            groups: BTreeMap::new(),
            accounts: HashMap::new(),
            total: 0,
            charges: Charges::new(now),
        }
    }

    /// Adds a request for an adapter version.
    pub fn add(&mut self, adapter: &AdapterRef, request: PendingRequest) {
        *self.accounts.entry(request.account.clone()).or_default() += 1;
        self.total += 1;
        self.groups
            .entry(adapter.clone())
            .or_default()
            .push(request);
    }

    /// Removes a request from the group of an adapter version. Returns `None` if it is not pending.
    pub fn remove(&mut self, adapter: &AdapterRef, ticket: Ticket) -> Option<PendingRequest> {
        let group = self.groups.get_mut(adapter)?;
        let index = group.iter().position(|r| r.ticket == ticket)?;
        let request = group.remove(index);
        if group.is_empty() {
            self.groups.remove(adapter);
        }
        self.total -= 1;
        if let Some(count) = self.accounts.get_mut(&request.account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.remove(&request.account);
            }
        }
        Some(request)
    }

    /// Returns the number of pending requests.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of pending requests of an account.
    #[must_use]
    pub fn account_total(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Returns the pending requests for an adapter version, in the order in which they were added.
    #[must_use]
    pub fn group(&self, adapter: &AdapterRef) -> &[PendingRequest] {
        self.groups.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns the adapter versions with pending requests.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.groups.keys()
    }

    /// Returns the request of a group to start next: by class, then by the account with the
    /// smallest share of the recent loads, then by age.
    #[must_use]
    pub fn first(&self, adapter: &AdapterRef) -> Option<&PendingRequest> {
        let negated_weight = |r: &PendingRequest| -self.charges.weight(&r.account);
        self.group(adapter).iter().min_by(|a, b| {
            let by_class = a.class.cmp(&b.class);
            let by_weight = || negated_weight(a).total_cmp(&negated_weight(b));
            by_class
                .then_with(by_weight)
                .then_with(|| a.since.cmp(&b.since))
        })
    }

    /// Returns the priority of loading a group's adapter version: the sum of the weights of its
    /// requests, increased with the age of the oldest one. A larger score is more urgent.
    #[must_use]
    pub fn score(&self, now: Instant, adapter: &AdapterRef) -> f64 {
        let group = self.group(adapter);
        let weight: f64 = self.weights(group).sum();
        let oldest = group.iter().map(|r| r.since).min().unwrap_or(now);
        let age = now.saturating_duration_since(oldest).as_secs_f64() / AGING_TIME.as_secs_f64();
        let size = f64::from(u32::try_from(group.len().max(1)).unwrap_or(1));
        weight * (1.0 + age / size)
    }

    /// Returns the weight of each request of a group. Of an account that has taken more than its
    /// share of the loads, only the first request counts, so that a long queue does not make up for
    /// the low weight.
    fn weights<'a>(&'a self, group: &'a [PendingRequest]) -> impl Iterator<Item = f64> + 'a {
        group.iter().enumerate().map(|(i, request)| {
            let account_weight = self.charges.weight(&request.account);
            let is_repeated = || group[..i].iter().any(|r| r.account == request.account);
            if account_weight < OVER_SHARE_WEIGHT && is_repeated() {
                return 0.0;
            }
            class_weight(request.class) * account_weight
        })
    }

    /// Divides the charge for one load of an adapter version equally among the requests of its
    /// group, and so among their accounts.
    pub fn charge(&mut self, now: Instant, adapter: &AdapterRef) {
        let Some(group) = self.groups.get(adapter) else {
            return;
        };
        let fraction = 1.0 / f64::from(u32::try_from(group.len()).unwrap_or(1));
        for request in group {
            self.charges.add(now, &request.account, fraction);
        }
    }
}

/// Returns the weight of a request of this class in the score of its group.
fn class_weight(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.5,
        Class::Summary => 1.0,
        Class::Batch => 0.75,
    }
}
