//! [`WaitQueue`]: the queue of requests that wait for an adapter or a slot.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};

use caraway_routes::ModelRef;

use crate::{PlacementId, PlacementRequest};

/// Value of a late response relative to one on time; the deployments set 0.3.
const LATE_VALUE: f64 = 0.3;

/// How valuable and how urgent a load is to the requests that wait for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    /// Sum over the requests: 1 if the first event can still be on time, else [`LATE_VALUE`].
    pub(crate) value: f64,
    /// The earliest goal that can still be met, else the earliest deadline.
    pub(crate) due: Instant,
}

impl Demand {
    fn of(queue: &BTreeMap<Position, WaitingRequest>, ready: Instant) -> Self {
        let requests = || queue.values().map(|w| &w.request);
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Punctuality {
    /// It can, if the request gets an endpoint before this time.
    OnTimeUntil(Instant),
    /// It can't.
    Late,
}

/// Rank of a waiting request among those of all adapters and models; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    is_late: bool,
    priority: u8,
    /// The goal, or the deadline of a late request.
    due: Instant,
    /// Order of arrival.
    sequence: u64,
}

/// A request that waits.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) id: PlacementId,
    pub(crate) request: PlacementRequest,
}

/// The requests of a service that wait with the same rank of priority.
type Class = (bool, u8);

/// Waiting requests, by the adapter or model that they wait for.
///
/// Requests that can still be on time precede late ones, then the priority decides, then the goal;
/// late ones of the same priority are ordered by their deadline.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: HashMap<ModelRef, BTreeMap<Position, WaitingRequest>>,
    /// Requests on time by when they become late. Entries of requests that were removed stay until
    /// that time.
    late_at: BTreeMap<(Instant, Position), ModelRef>,
    /// Number of requests of each service and class.
    classes: HashMap<Arc<str>, BTreeMap<Class, usize>>,
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
            self.late_at.insert((at, position), request.model.clone());
        }
        self.insert(position, WaitingRequest { id, request });
    }

    fn insert(&mut self, position: Position, waiting: WaitingRequest) {
        self.count += 1;
        let request = &waiting.request;
        let classes = self.classes.entry(request.service.clone()).or_default();
        *classes.entry(position.class()).or_default() += 1;
        let queue = self.queues.entry(request.model.clone()).or_default();
        queue.insert(position, waiting);
    }

    /// Moves the requests that can no longer be on time behind those that can.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(entry) = self.late_at.first_entry() {
            let (at, position) = *entry.key();
            if at > now {
                return;
            }
            let model = entry.remove();
            let Some(waiting) = self.take(&model, position) else {
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

    /// Returns the position of the first request that waits for `model`.
    pub(crate) fn first_position(&self, model: &ModelRef) -> Option<Position> {
        let (position, _) = self.queues.get(model)?.first_key_value()?;
        Some(*position)
    }

    /// Returns the requests that wait for `model`, in order.
    pub(crate) fn of_model(
        &self,
        model: &ModelRef,
    ) -> impl Iterator<Item = (Position, &WaitingRequest)> {
        let queue = self.queues.get(model).into_iter().flatten();
        queue.map(|(position, waiting)| (*position, waiting))
    }

    /// Removes and returns the request that waits for `model` at this position.
    pub(crate) fn take(&mut self, model: &ModelRef, position: Position) -> Option<WaitingRequest> {
        let queue = self.queues.get_mut(model)?;
        let waiting = queue.remove(&position)?;
        if queue.is_empty() {
            self.queues.remove(model);
        }
        self.count_removed(&waiting.request.service, position.class());
        Some(waiting)
    }

    fn count_removed(&mut self, service: &Arc<str>, class: Class) {
        self.count -= 1;
        if let Some(classes) = self.classes.get_mut(service) {
            if let Some(count) = classes.get_mut(&class) {
                *count -= 1;
            }
            classes.retain(|_, count| *count > 0);
            if classes.is_empty() {
                self.classes.remove(service);
            }
        }
    }

    /// Removes the requests for which `matches` holds and returns them.
    pub(crate) fn remove_if(
        &mut self,
        mut matches: impl FnMut(&PlacementId, &PlacementRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let all = self.queues.iter();
        let all = all.flat_map(|(model, queue)| queue.iter().map(move |(p, w)| (model, *p, w)));
        let found = all.filter(|(.., w)| matches(&w.id, &w.request));
        let found: Vec<(ModelRef, Position)> = found.map(|(m, p, _)| (m.clone(), p)).collect();
        let taken = found.into_iter().filter_map(|(m, p)| self.take(&m, p));
        taken.collect()
    }

    /// Returns the number of requests for `service` that precede a new request of this priority.
    pub(crate) fn ahead_of_new(&self, service: &Arc<str>, is_late: bool, priority: u8) -> usize {
        let classes = self.classes.get(service).into_iter().flatten();
        let ahead = classes.filter(|(class, _)| **class <= (is_late, priority));
        ahead.map(|(_, count)| count).sum()
    }

    /// Returns the number of waiting requests for `service`.
    pub(crate) fn count_of(&self, service: &Arc<str>) -> usize {
        let classes = self.classes.get(service).into_iter();
        classes.flat_map(BTreeMap::values).sum()
    }

    /// Returns the demand for each adapter or model, if its load completes at `ready`.
    pub(crate) fn demands(&self, ready: Instant) -> impl Iterator<Item = (&ModelRef, Demand)> {
        self.queues
            .iter()
            .map(move |(model, queue)| (model, Demand::of(queue, ready)))
    }

    /// Returns all waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.queues.values().flat_map(BTreeMap::values)
    }

    /// Returns the requests that wait for an endpoint of `service`, in order, and whether each is late.
    pub(crate) fn in_order(&self, service: &str) -> Vec<(bool, &WaitingRequest)> {
        let all = self.queues.values().flatten();
        let mut queue: Vec<_> = all
            .filter(|(_, w)| *w.request.service == *service)
            .collect();
        queue.sort_unstable_by_key(|(position, _)| **position);
        queue.into_iter().map(|(p, w)| (p.is_late, w)).collect()
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
