//! [`WaitQueue`]: the queue of requests that wait for an adapter or a slot.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};

use caraway_routes::ModelRef;
use caraway_types::AccountId;

use crate::{
    PlacementId, PlacementRequest,
    shares::{ServedTokens, ServiceShares, Shares, cost},
};

/// Value of a late response relative to one on time; the deployments set 0.3.
const LATE_VALUE: f64 = 0.3;

/// Requests of one account and adapter that are looked at to find one that can begin while those
/// before it can't.
const MAX_PASSED: usize = 32;

/// How valuable and how urgent a load is to the requests that wait for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    /// Sum over the requests: 1 if the first event can still be on time, else [`LATE_VALUE`].
    pub(crate) value: f64,
    /// The earliest goal that can still be met, else the earliest deadline.
    pub(crate) due: Instant,
}

impl Demand {
    fn of(queue: &ModelQueue, ready: Instant) -> Self {
        let requests = || queue.values().flatten().map(|(_, w)| &w.request);
        let on_time = requests().filter(|a| a.goal >= ready);
        let late = requests().filter(|a| a.goal < ready);
        let goal = on_time.clone().map(|a| a.goal).min();
        let deadline = late.clone().map(|a| a.deadline).min();
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let value = on_time.count() as f64 + late.count() as f64 * LATE_VALUE;
        let due = goal.or(deadline).unwrap_or(ready);
        Self { value, due }
    }

    /// Orders demands: the most valuable first, then the most urgent.
    pub(crate) fn cmp_priority(&self, other: &Self) -> Ordering {
        let value = other.value.total_cmp(&self.value);
        value.then(self.due.cmp(&other.due))
    }
}

/// Whether the first event of a waiting request can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Punctuality {
    /// It can, if the request gets an endpoint before this time.
    OnTimeUntil(Instant),
    /// It can't.
    Late,
}

/// Place of a waiting request among those of the same account, adapter or model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    is_late: bool,
    priority: u8,
    /// The goal, or the deadline of a late request.
    due: Instant,
    /// Order of arrival.
    sequence: u64,
}

/// Rank of a waiting request among those of all accounts, adapters and models; the lowest is served
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_late: bool,
    priority: u8,
    /// Tokens that its account was served.
    served: ServedTokens,
    due: Instant,
    sequence: u64,
}

/// A request that waits.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) id: PlacementId,
    pub(crate) request: PlacementRequest,
}

/// The requests that wait for one adapter or model, by their account.
type ModelQueue = HashMap<Option<AccountId>, BTreeMap<Position, WaitingRequest>>;

/// Whether requests are late, and their priority.
type Class = (bool, u8);

/// Number of waiting requests of each account.
type AccountCounts = HashMap<Option<AccountId>, usize>;

/// Waiting requests, by the adapter or model that they wait for.
///
/// Requests that can still be on time precede late ones, then the priority decides, then what the
/// accounts were served, then the goal; late ones are ordered by their deadline instead.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: HashMap<ModelRef, ModelQueue>,
    /// Requests on time by when they become late. Entries of requests that were removed stay until
    /// that time.
    late_at: BTreeMap<(Instant, Position), (ModelRef, Option<AccountId>)>,
    /// Number of requests of each service, class and account.
    classes: HashMap<Arc<str>, BTreeMap<Class, AccountCounts>>,
    shares: ServiceShares,
    count: usize,
    last_sequence: u64,
}

impl WaitQueue {
    /// Adds a request.
    pub(crate) fn add(
        &mut self,
        id: PlacementId,
        request: PlacementRequest,
        punctuality: Punctuality,
    ) {
        self.last_sequence += 1;
        let is_late = punctuality == Punctuality::Late;
        let position = Position {
            is_late,
            priority: request.priority,
            due: if is_late {
                request.deadline
            } else {
                request.goal
            },
            sequence: self.last_sequence,
        };
        if let Punctuality::OnTimeUntil(at) = punctuality {
            let key = (request.model.clone(), request.account.clone());
            self.late_at.insert((at, position), key);
            let shares = self.shares.entry(request.service.clone()).or_default();
            shares.on_waiting(request.account.as_ref());
        }
        self.insert(position, WaitingRequest { id, request });
    }

    fn insert(&mut self, position: Position, waiting: WaitingRequest) {
        self.count += 1;
        let request = &waiting.request;
        let classes = self.classes.entry(request.service.clone()).or_default();
        let accounts = classes.entry(position.class()).or_default();
        *accounts.entry(request.account.clone()).or_default() += 1;
        let queues = self.queues.entry(request.model.clone()).or_default();
        let queue = queues.entry(request.account.clone()).or_default();
        queue.insert(position, waiting);
    }

    /// Moves the requests that can no longer be on time behind those that can.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(entry) = self.late_at.first_entry() {
            let (at, position) = *entry.key();
            if at > now {
                return;
            }
            let (model, account) = entry.remove();
            let Some(waiting) = self.take(&model, account.as_ref(), position) else {
                continue;
            };
            let late = Position {
                is_late: true,
                due: waiting.request.deadline,
                ..position
            };
            self.insert(late, waiting);
        }
    }

    /// Returns the rank of the first request that waits for `model`.
    pub(crate) fn first_rank(&self, model: &ModelRef) -> Option<Rank> {
        let queues = self.queues.get(model)?.values();
        let firsts = queues.filter_map(BTreeMap::first_key_value);
        firsts.map(|(position, w)| self.rank(*position, w)).min()
    }

    /// Returns the requests that wait for `model` and may be served next, in order. Those that are
    /// left out need what the ones before them need: they exclude no other endpoints, and their
    /// prompts are not much shorter.
    pub(crate) fn next_of(&self, model: &ModelRef) -> Vec<(Position, &WaitingRequest)> {
        let queues = self.queues.get(model).into_iter().flatten();
        let mut ranked: Vec<_> = queues
            .filter_map(|(_, queue)| {
                let (position, first) = queue.first_key_value()?;
                Some((self.rank(*position, first), queue))
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        let mut next = Vec::new();
        for (_, queue) in ranked {
            let mut shortest = None;
            for (position, waiting) in queue.iter().take(MAX_PASSED) {
                let prompt = waiting.request.tokens.prompt;
                if shortest.is_none_or(|s| prompt < s / 2) {
                    next.push((*position, waiting));
                    if waiting.request.exclude.is_empty() {
                        shortest = Some(prompt);
                    }
                }
            }
        }
        next
    }

    fn rank(&self, position: Position, waiting: &WaitingRequest) -> Rank {
        let request = &waiting.request;
        let shares = self.shares.get(&request.service);
        Rank {
            is_late: position.is_late,
            priority: position.priority,
            served: shares.map_or(0, |s| s.served(request.account.as_ref())),
            due: position.due,
            sequence: position.sequence,
        }
    }

    /// Charges the account of a request that is granted.
    pub(crate) fn charge(&mut self, request: &PlacementRequest) {
        let shares = self.shares.entry(request.service.clone()).or_default();
        shares.charge(request.account.as_ref(), request.tokens);
    }

    /// Removes and returns the request of `account` that waits for `model` at this position.
    pub(crate) fn take(
        &mut self,
        model: &ModelRef,
        account: Option<&AccountId>,
        position: Position,
    ) -> Option<WaitingRequest> {
        let queues = self.queues.get_mut(model)?;
        let key = account.cloned();
        let queue = queues.get_mut(&key)?;
        let waiting = queue.remove(&position)?;
        if queue.is_empty() {
            queues.remove(&key);
        }
        if queues.is_empty() {
            self.queues.remove(model);
        }
        self.count_removed(&waiting.request, position.class());
        if !position.is_late
            && let Some(shares) = self.shares.get_mut(&waiting.request.service)
        {
            shares.on_left(account);
        }
        Some(waiting)
    }

    fn count_removed(&mut self, request: &PlacementRequest, class: Class) {
        self.count -= 1;
        let Some(classes) = self.classes.get_mut(&request.service) else {
            return;
        };
        if let Some(accounts) = classes.get_mut(&class)
            && let Some(count) = accounts.get_mut(&request.account)
        {
            *count -= 1;
            if *count == 0 {
                accounts.remove(&request.account);
            }
        }
        classes.retain(|_, accounts| !accounts.is_empty());
        if classes.is_empty() {
            self.classes.remove(&request.service);
        }
    }

    /// Removes the requests for which `matches` holds and returns them.
    pub(crate) fn remove_if(
        &mut self,
        mut matches: impl FnMut(&PlacementId, &PlacementRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let found = self.all().filter(|(_, w)| matches(&w.id, &w.request));
        let found: Vec<(Position, ModelRef, Option<AccountId>)> = found
            .map(|(p, w)| (*p, w.request.model.clone(), w.request.account.clone()))
            .collect();
        let taken = found.into_iter();
        taken
            .filter_map(|(position, model, account)| self.take(&model, account.as_ref(), position))
            .collect()
    }

    /// Returns the number of waiting requests that are served before a new request.
    ///
    /// Of the requests of its own class, each account is served as many as the request's own account.
    pub(crate) fn ahead_of_new(&self, request: &PlacementRequest, is_late: bool) -> usize {
        let own = (is_late, request.priority);
        let classes = self.classes.get(&request.service).into_iter().flatten();
        let ahead = classes.filter(|(class, _)| **class <= own);
        let ahead = ahead.map(|(class, accounts)| {
            let limit = if *class == own {
                accounts.get(&request.account).copied().unwrap_or(0) + 1
            } else {
                usize::MAX
            };
            accounts.values().map(|n| (*n).min(limit)).sum::<usize>()
        });
        ahead.sum()
    }

    /// Returns whether a request's account has less than half as many requests on time waiting as the
    /// average of the accounts that wait with the same priority.
    pub(crate) fn waits_little(&self, request: &PlacementRequest) -> bool {
        let classes = self.classes.get(&request.service);
        let accounts = classes.and_then(|c| c.get(&(false, request.priority)));
        accounts.is_some_and(|accounts| {
            let own = accounts.get(&request.account).copied().unwrap_or(0) + 1;
            own * 2 * accounts.len() < accounts.values().sum()
        })
    }

    /// Returns the number of waiting requests for `service`.
    pub(crate) fn count_of(&self, service: &Arc<str>) -> usize {
        let classes = self.classes.get(service).into_iter();
        let accounts = classes.flat_map(BTreeMap::values);
        accounts.flat_map(HashMap::values).sum()
    }

    /// Returns the demand for each adapter or model, if its load completes at `ready`.
    pub(crate) fn demands(&self, ready: Instant) -> impl Iterator<Item = (&ModelRef, Demand)> {
        self.queues
            .iter()
            .map(move |(model, queue)| (model, Demand::of(queue, ready)))
    }

    /// Returns all waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.all().map(|(_, waiting)| waiting)
    }

    fn all(&self) -> impl Iterator<Item = (&Position, &WaitingRequest)> {
        let queues = self.queues.values().flat_map(HashMap::values);
        queues.flatten()
    }

    /// Returns the requests that wait for an endpoint of `service`, in the order in which they will
    /// be served, and whether each is late.
    pub(crate) fn in_order(&self, service: &str) -> Vec<(bool, &WaitingRequest)> {
        let of_service = self.all().filter(|(_, w)| *w.request.service == *service);
        let mut queue: Vec<(Rank, &WaitingRequest)> = of_service
            .map(|(position, w)| (self.rank(*position, w), w))
            .collect();
        queue.sort_unstable_by_key(|(rank, _)| *rank);
        if self.shares.get(service).is_some_and(Shares::has_accounts) {
            // What an account will have been served when the turn of each of its requests comes.
            let mut ahead: HashMap<(bool, u8, Option<&AccountId>), ServedTokens> = HashMap::new();
            for (rank, waiting) in &mut queue {
                let key = (
                    rank.is_late,
                    rank.priority,
                    waiting.request.account.as_ref(),
                );
                let ahead = ahead.entry(key).or_default();
                rank.served = rank.served.saturating_add(*ahead);
                *ahead = ahead.saturating_add(cost(waiting.request.tokens));
            }
            queue.sort_unstable_by_key(|(rank, _)| *rank);
        }
        let queue = queue.into_iter();
        queue.map(|(rank, w)| (rank.is_late, w)).collect()
    }

    /// Returns the services that requests wait for.
    pub(crate) fn services(&self) -> BTreeSet<Arc<str>> {
        self.classes.keys().cloned().collect()
    }

    /// Returns whether a request waits for `model`.
    pub(crate) fn contains(&self, model: &ModelRef) -> bool {
        self.queues.contains_key(model)
    }

    /// Returns the number of adapters and models that requests wait for.
    pub(crate) fn model_count(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.count
    }
}

impl Position {
    fn class(self) -> Class {
        (self.is_late, self.priority)
    }
}
