//! [`WaitQueue`]: the queue of requests that wait for an adapter or a slot.

use std::{
    cmp::Ordering,
    collections::{BTreeSet, HashMap, VecDeque},
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
    fn of(queue: &VecDeque<(PlacementId, PlacementRequest)>, ready: Instant) -> Self {
        let on_time = queue.iter().filter(|(_, a)| a.goal >= ready);
        let late = queue.iter().filter(|(_, a)| a.goal < ready);
        let goal = on_time.clone().map(|(_, a)| a.goal).min();
        let deadline = late.clone().map(|(_, a)| a.deadline).min();
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

/// Waiting requests, by the adapter or model that they wait for.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: HashMap<ModelRef, VecDeque<(PlacementId, PlacementRequest)>>,
    count: usize,
}

impl WaitQueue {
    /// Adds a request behind those of the same or an earlier priority.
    pub(crate) fn add(&mut self, id: PlacementId, request: PlacementRequest) {
        self.count += 1;
        let queue = self.queues.entry(request.model.clone()).or_default();
        let position = queue.partition_point(|(_, a)| a.priority <= request.priority);
        queue.insert(position, (id, request));
    }

    /// Returns the first request that waits for `model`.
    pub(crate) fn first(&self, model: &ModelRef) -> Option<&(PlacementId, PlacementRequest)> {
        self.queues.get(model)?.front()
    }

    /// Removes and returns the first request that waits for `model`.
    pub(crate) fn pop(&mut self, model: &ModelRef) -> Option<(PlacementId, PlacementRequest)> {
        let queue = self.queues.get_mut(model)?;
        let request = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(model);
        }
        self.count -= usize::from(request.is_some());
        request
    }

    /// Removes the requests for which `matches` holds and returns their ids.
    pub(crate) fn remove_if(
        &mut self,
        mut matches: impl FnMut(&PlacementId, &PlacementRequest) -> bool,
    ) -> Vec<PlacementId> {
        let mut removed = Vec::new();
        self.queues.retain(|_, queue| {
            queue.retain(|(id, request)| {
                let remove = matches(id, request);
                if remove {
                    removed.push(*id);
                }
                !remove
            });
            !queue.is_empty()
        });
        self.count -= removed.len();
        removed
    }

    /// Returns the demand for each adapter or model, if its load completes at `ready`.
    pub(crate) fn demands(&self, ready: Instant) -> impl Iterator<Item = (&ModelRef, Demand)> {
        self.queues
            .iter()
            .map(move |(model, queue)| (model, Demand::of(queue, ready)))
    }

    /// Returns all waiting requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(PlacementId, PlacementRequest)> {
        self.queues.values().flatten()
    }

    /// Returns the services that requests wait for.
    pub(crate) fn services(&self) -> BTreeSet<Arc<str>> {
        self.iter().map(|(_, r)| r.service.clone()).collect()
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
