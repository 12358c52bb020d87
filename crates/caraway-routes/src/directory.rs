//! [`Directory`]: the endpoints that an instance knows from the registry.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::{Endpoint, EndpointState};

/// How a registry entry differs from the previous entry of the same endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The endpoint was not known before.
    New,
    /// The endpoint restarted under the same id or moved to another address; nothing that it held
    /// before is resident any more.
    Reborn,
    /// The same incarnation, with different content.
    Updated,
    /// The entry is unchanged.
    Same,
}

/// What to do with an endpoint whose registry entry is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingPolicy {
    /// Remove it at once: the registry was reachable throughout, so the entry was deleted.
    Remove,
    /// Keep it until this time: the registry was unavailable, so the entry may only have expired
    /// and can come back.
    KeepUntil(Instant),
}

/// The endpoints that an instance knows, from the entries of the registry.
///
/// Draining is final for an incarnation of an endpoint: once an entry or an answer has reported it,
/// later entries of the same incarnation can't make it ready again.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: HashMap<EndpointId, Known>,
    /// Draining incarnations, with the time of the last report of each.
    draining: HashMap<IncarnationKey, Instant>,
    /// Incarnations that were removed, with the time of the removal of each.
    removed: HashMap<IncarnationKey, Instant>,
}

/// Identifies an incarnation of an endpoint by the endpoint's id and start time.
type IncarnationKey = (EndpointId, Option<u64>);

/// Time for which a draining or removed incarnation is remembered. Endpoints exit within a minute after they
/// report that they drain; one hour's worth of them takes little memory.
const DRAINING_RETENTION: Duration = Duration::from_hours(1);

#[derive(Debug)]
struct Known {
    endpoint: Arc<Endpoint>,
    /// The state that its entry states; `endpoint` also has what it reported in answers.
    listed_state: EndpointState,
    /// When its entry was last read.
    read_at: Instant,
    /// Set while its entry is missing: when the endpoint is removed unless the entry comes back.
    expires_at: Option<Instant>,
}

impl Directory {
    /// Inserts or replaces an endpoint and clears a pending expiry.
    pub fn put(&mut self, now: Instant, mut endpoint: Endpoint) -> Change {
        let listed_state = endpoint.state;
        if endpoint.state == EndpointState::Draining {
            self.record_draining(now, &endpoint.id, endpoint.started_ms);
        } else if self.is_draining(&endpoint.id, endpoint.started_ms) {
            endpoint.state = EndpointState::Draining;
        }
        let change = match self.endpoints.get(&endpoint.id) {
            None => Change::New,
            Some(known) => classify(&known.endpoint, &endpoint),
        };
        let known = Known {
            endpoint: Arc::new(endpoint),
            listed_state,
            read_at: now,
            expires_at: None,
        };
        self.endpoints.insert(known.endpoint.id.clone(), known);
        change
    }

    /// Returns whether an entry differs from the last entry of its endpoint in more than the loaded
    /// models and the remaining time, or comes after its deletion.
    ///
    /// What the endpoint has reported in answers is ignored: instances that rely on the registry may
    /// have got none of them.
    #[must_use]
    pub fn is_significant(&self, entry: &Endpoint) -> bool {
        let Endpoint {
            id,
            service,
            addr,
            zone,
            slots,
            state,
            remaining: _,
            started_ms,
            software,
            is_engine,
            models: _,
        } = entry;
        self.endpoints.get(id).is_none_or(|known| {
            let last = &known.endpoint;
            known.expires_at.is_some()
                || known.listed_state != *state
                || last.service != *service
                || last.addr != *addr
                || last.zone != *zone
                || last.slots != *slots
                || last.started_ms != *started_ms
                || last.software != *software
                || last.is_engine != *is_engine
        })
    }

    /// Records that an endpoint reported in an answer that it drains; `started_ms` is the start time
    /// of the incarnation that answered. Returns the endpoint if this incarnation was known as
    /// ready.
    pub fn on_draining(
        &mut self,
        now: Instant,
        id: &EndpointId,
        started_ms: Option<u64>,
    ) -> Option<Arc<Endpoint>> {
        self.record_draining(now, id, started_ms);
        let known = self.endpoints.get_mut(id)?;
        if known.endpoint.started_ms != started_ms || !known.endpoint.is_ready() {
            return None;
        }
        Arc::make_mut(&mut known.endpoint).state = EndpointState::Draining;
        Some(known.endpoint.clone())
    }

    fn record_draining(&mut self, now: Instant, id: &EndpointId, started_ms: Option<u64>) {
        self.draining
            .retain(|_, since| now.saturating_duration_since(*since) < DRAINING_RETENTION);
        self.draining.insert((id.clone(), started_ms), now);
    }

    /// Returns whether the incarnation of an endpoint that started at `started_ms` has reported that
    /// it drains.
    #[must_use]
    pub fn is_draining(&self, id: &EndpointId, started_ms: Option<u64>) -> bool {
        self.draining.contains_key(&(id.clone(), started_ms))
    }

    /// Handles the absence of the entry of `id`. Returns true if the endpoint was removed.
    pub fn remove(&mut self, now: Instant, id: &str, policy: MissingPolicy) -> bool {
        match policy {
            MissingPolicy::Remove => self.remove_now(now, id),
            MissingPolicy::KeepUntil(until) => {
                if let Some(known) = self.endpoints.get_mut(id) {
                    known.expires_at.get_or_insert(until);
                }
                false
            }
        }
    }

    fn remove_now(&mut self, now: Instant, id: &str) -> bool {
        let Some(known) = self.endpoints.remove(id) else {
            return false;
        };
        self.removed
            .retain(|_, since| now.saturating_duration_since(*since) < DRAINING_RETENTION);
        let key = (known.endpoint.id.clone(), known.endpoint.started_ms);
        self.removed.insert(key, now);
        true
    }

    /// Returns the start times of the incarnations of an endpoint that were removed; none while an entry
    /// of it is known.
    pub fn removed_incarnations(&self, id: &str) -> impl Iterator<Item = Option<u64>> {
        let is_known = self.endpoints.contains_key(id);
        let removed = self
            .removed
            .keys()
            .filter(move |(i, _)| !is_known && **i == *id);
        removed.map(|(_, started_ms)| *started_ms)
    }

    /// Returns whether an entry of an older copy of the registry says less than is known: the
    /// incarnation was removed since, or another one has started since.
    #[must_use]
    pub fn is_outdated(&self, entry: &Endpoint) -> bool {
        let key = (entry.id.clone(), entry.started_ms);
        let known = self.endpoints.get(&entry.id);
        known.is_some_and(|k| entry.started_ms < k.endpoint.started_ms)
            || known.is_none() && self.removed.contains_key(&key)
    }

    /// Handles a full listing: every endpoint for which `is_listed` returns false is missing.
    /// Returns the endpoints that were removed.
    pub fn retain(
        &mut self,
        now: Instant,
        is_listed: impl Fn(&str) -> bool,
        policy: MissingPolicy,
    ) -> Vec<EndpointId> {
        let missing = self.endpoints.keys().filter(|id| !is_listed(id));
        let missing: Vec<EndpointId> = missing.cloned().collect();
        missing
            .into_iter()
            .filter(|id| self.remove(now, id, policy))
            .collect()
    }

    /// Removes the endpoints whose missing entries did not come back in time, and returns their
    /// ids.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointId> {
        let is_expired = |k: &Known| k.expires_at.is_some_and(|at| now >= at);
        let expired: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, k)| is_expired(k))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove_now(now, id);
        }
        expired
    }

    /// Returns the endpoint with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id).map(|k| &k.endpoint)
    }

    /// Returns the time since the entry of an endpoint was last read, or `None` if the endpoint is
    /// not known.
    #[must_use]
    pub fn age(&self, now: Instant, id: &str) -> Option<Duration> {
        let known = self.endpoints.get(id)?;
        Some(now.saturating_duration_since(known.read_at))
    }

    /// Returns the endpoints of a service, in arbitrary order.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.all().filter(move |e| &*e.service == service)
    }

    /// Returns every endpoint, in arbitrary order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values().map(|k| &k.endpoint)
    }

    /// Returns the number of known endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

/// Compares the entries of an endpoint that was already known.
fn classify(old: &Endpoint, new: &Endpoint) -> Change {
    if old.started_ms != new.started_ms || old.addr != new.addr {
        Change::Reborn
    } else if old == new {
        Change::Same
    } else {
        Change::Updated
    }
}
