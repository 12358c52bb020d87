//! [`Directory`]: the endpoints that an instance knows of.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::{Endpoint, EndpointState};

/// What changed about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    New,
    /// It started again under the same id, and holds nothing of before.
    Reborn,
    /// It says something else than before.
    Updated,
    /// It says what it said before.
    Same,
}

/// Whether entries that are missing may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    /// The registry was reachable all the while: a missing entry is gone.
    Gone,
    /// The registry was away, and entries may have lapsed: a missing entry has until then to come
    /// back.
    Until(Instant),
}

/// The endpoints that an instance knows of, from the entries of the registry.
///
/// A run of an endpoint that leaves does not come back: once an entry or an answer has said it,
/// later entries of the same run can't make it ready again.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: HashMap<EndpointId, Known>,
    /// Runs that leave, with when that was last said.
    leaving: HashMap<Run, Instant>,
}

/// A run of an endpoint: its id, and when it started.
type Run = (EndpointId, Option<u64>);

/// Time for which it is remembered that a run leaves; endpoints end within a minute after they say
/// so, and this many of them are never too many.
const LEAVING_MEMORY: Duration = Duration::from_hours(1);

#[derive(Debug)]
struct Known {
    endpoint: Arc<Endpoint>,
    heard: Instant,
    missing: Option<Instant>,
}

impl Directory {
    /// Takes an entry.
    pub fn put(&mut self, now: Instant, mut endpoint: Endpoint) -> Change {
        if endpoint.state == EndpointState::Draining {
            self.note_leaving(now, &endpoint.id, endpoint.born);
        } else if self.is_leaving(&endpoint.id, endpoint.born) {
            endpoint.state = EndpointState::Draining;
        }
        let change = match self.endpoints.get(&endpoint.id) {
            None => Change::New,
            Some(known) => compare(&known.endpoint, &endpoint),
        };
        let known = Known {
            endpoint: Arc::new(endpoint),
            heard: now,
            missing: None,
        };
        self.endpoints.insert(known.endpoint.id.clone(), known);
        change
    }

    /// Notes that the run of an endpoint that started at `born` says in an answer that it leaves.
    /// Returns the endpoint where that is news about one that is known.
    pub fn on_leaving(
        &mut self,
        now: Instant,
        id: &EndpointId,
        born: Option<u64>,
    ) -> Option<Arc<Endpoint>> {
        self.note_leaving(now, id, born);
        let known = self.endpoints.get_mut(id)?;
        if known.endpoint.born != born || !known.endpoint.is_ready() {
            return None;
        }
        Arc::make_mut(&mut known.endpoint).state = EndpointState::Draining;
        Some(known.endpoint.clone())
    }

    fn note_leaving(&mut self, now: Instant, id: &EndpointId, born: Option<u64>) {
        self.leaving
            .retain(|_, since| now.saturating_duration_since(*since) < LEAVING_MEMORY);
        self.leaving.insert((id.clone(), born), now);
    }

    /// Tells whether the run of an endpoint that started at `born` leaves.
    #[must_use]
    pub fn is_leaving(&self, id: &EndpointId, born: Option<u64>) -> bool {
        self.leaving.contains_key(&(id.clone(), born))
    }

    /// Notes that the entry of `id` is missing; returns true when the endpoint is gone by that.
    pub fn remove(&mut self, id: &str, lapse: Lapse) -> bool {
        match lapse {
            Lapse::Gone => self.endpoints.remove(id).is_some(),
            Lapse::Until(until) => {
                if let Some(known) = self.endpoints.get_mut(id) {
                    known.missing.get_or_insert(until);
                }
                false
            }
        }
    }

    /// Notes that exactly these entries exist; returns the endpoints that are gone by that.
    pub fn retain(&mut self, present: impl Fn(&str) -> bool, lapse: Lapse) -> Vec<EndpointId> {
        let missing = self.endpoints.keys().filter(|id| !present(id));
        let missing: Vec<EndpointId> = missing.cloned().collect();
        missing
            .into_iter()
            .filter(|id| self.remove(id, lapse))
            .collect()
    }

    /// Drops the endpoints whose entries did not come back in time, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let late = |k: &Known| k.missing.is_some_and(|until| now >= until);
        let gone: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, k)| late(k))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.endpoints.remove(id);
        }
        gone
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id).map(|k| &k.endpoint)
    }

    /// Returns how long ago the entry of an endpoint was read.
    #[must_use]
    pub fn age(&self, now: Instant, id: &str) -> Option<Duration> {
        let known = self.endpoints.get(id)?;
        Some(now.saturating_duration_since(known.heard))
    }

    /// Returns the endpoints of a service, in no order.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.all().filter(move |e| &*e.service == service)
    }

    /// Returns every endpoint, in no order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values().map(|k| &k.endpoint)
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

fn compare(old: &Endpoint, new: &Endpoint) -> Change {
    if old.born != new.born || old.addr != new.addr {
        Change::Reborn
    } else if old == new {
        Change::Same
    } else {
        Change::Updated
    }
}
