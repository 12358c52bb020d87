//! [`Waiting`]: the queue of requests that wait for an adapter or a slot.

use std::{
    cmp::Ordering,
    collections::{HashMap, VecDeque},
    time::Instant,
};

use caraway_routes::ModelRef;

use crate::{Ask, AskId};

/// Value of a late response relative to one on time; the deployments set 0.3.
const LATE_WORTH: f64 = 0.3;

/// How valuable and how urgent a load is to the requests that wait for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    /// Sum over the requests: 1 if the first event can still be on time, else [`LATE_WORTH`].
    pub(crate) worth: f64,
    /// The earliest goal that can still be met, else the earliest deadline.
    pub(crate) due: Instant,
}

impl Demand {
    fn of(list: &VecDeque<(AskId, Ask)>, ready: Instant) -> Self {
        let in_time = list.iter().filter(|(_, a)| a.goal >= ready);
        let late = list.iter().filter(|(_, a)| a.goal < ready);
        let goal = in_time.clone().map(|(_, a)| a.goal).min();
        let deadline = late.clone().map(|(_, a)| a.deadline).min();
        #[expect(clippy::cast_precision_loss, reason = "counts are small")]
        let worth = in_time.count() as f64 + late.count() as f64 * LATE_WORTH;
        let due = goal.or(deadline).unwrap_or(ready);
        Self { worth, due }
    }

    /// Orders demands: the most valuable first, then the most urgent.
    pub(crate) fn first(&self, other: &Self) -> Ordering {
        let worth = other.worth.total_cmp(&self.worth);
        worth.then(self.due.cmp(&other.due))
    }
}

/// Waiting requests, by the adapter or model that they wait for.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    lists: HashMap<ModelRef, VecDeque<(AskId, Ask)>>,
    count: usize,
}

impl Waiting {
    /// Adds a request behind those of the same or an earlier priority.
    pub(crate) fn add(&mut self, id: AskId, ask: Ask) {
        self.count += 1;
        let list = self.lists.entry(ask.model.clone()).or_default();
        let place = list.partition_point(|(_, a)| a.priority <= ask.priority);
        list.insert(place, (id, ask));
    }

    /// Returns the first request that waits for `model`.
    pub(crate) fn first(&self, model: &ModelRef) -> Option<&(AskId, Ask)> {
        self.lists.get(model)?.front()
    }

    /// Removes and returns the first request that waits for `model`.
    pub(crate) fn take(&mut self, model: &ModelRef) -> Option<(AskId, Ask)> {
        let list = self.lists.get_mut(model)?;
        let taken = list.pop_front();
        if list.is_empty() {
            self.lists.remove(model);
        }
        self.count -= usize::from(taken.is_some());
        taken
    }

    /// Removes the requests for which `gone` holds and returns their ids.
    pub(crate) fn drop_if(&mut self, mut gone: impl FnMut(&AskId, &Ask) -> bool) -> Vec<AskId> {
        let mut dropped = Vec::new();
        self.lists.retain(|_, list| {
            list.retain(|(id, ask)| {
                let drop = gone(id, ask);
                if drop {
                    dropped.push(*id);
                }
                !drop
            });
            !list.is_empty()
        });
        self.count -= dropped.len();
        dropped
    }

    /// Returns the demand for each adapter or model, if its load completes at `ready`.
    pub(crate) fn demands(&self, ready: Instant) -> impl Iterator<Item = (&ModelRef, Demand)> {
        self.lists
            .iter()
            .map(move |(model, list)| (model, Demand::of(list, ready)))
    }

    /// Returns whether a request waits for `model`.
    pub(crate) fn wants(&self, model: &ModelRef) -> bool {
        self.lists.contains_key(model)
    }

    /// Returns the number of adapters and models that requests wait for.
    pub(crate) fn models(&self) -> usize {
        self.lists.len()
    }

    /// Returns the number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
