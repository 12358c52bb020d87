//! [`Waiting`]: requests that wait for an adapter or a slot.

use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

use caraway_routes::ModelRef;

use crate::{Ask, AskId};

/// Requests that wait, by what they wait for.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    lists: HashMap<ModelRef, VecDeque<(AskId, Ask)>>,
    count: usize,
}

impl Waiting {
    /// Adds a request behind those of its priority.
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

    /// Takes the first request that waits for `model`.
    pub(crate) fn take(&mut self, model: &ModelRef) -> Option<(AskId, Ask)> {
        let list = self.lists.get_mut(model)?;
        let taken = list.pop_front();
        if list.is_empty() {
            self.lists.remove(model);
        }
        self.count -= usize::from(taken.is_some());
        taken
    }

    /// Drops the requests for which `gone` holds and returns them.
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

    /// Returns what is waited for, with the number of requests and the earliest goal.
    pub(crate) fn models(&self) -> impl Iterator<Item = (&ModelRef, usize, Instant)> {
        self.lists.iter().filter_map(|(model, list)| {
            let goal = list.iter().map(|(_, a)| a.goal).min()?;
            Some((model, list.len(), goal))
        })
    }

    /// Tells whether a request waits for `model`.
    pub(crate) fn wants(&self, model: &ModelRef) -> bool {
        self.lists.contains_key(model)
    }

    /// Returns the number of requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.count
    }
}
