//! [`Members`]: the state machine of one instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, Fence, Incarnation, InstanceId, ZoneId};

use crate::{
    Departure, EndpointInfo, Identity, MemberEvent, MemberSettings, Permission, Presence, Stage,
    departures::Departures,
    fences::{self, Fences},
    peer::Peer,
    replica::Replica,
    schedule::Schedule,
    sent_heartbeats::SentHeartbeats,
};

/// Least time between two evaluations of states without news.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// How long a mark of an id that nothing else names is kept.
const DEPARTURE_RETENTION: Duration = Duration::from_hours(1);

/// Knows who is live and which replicas this instance holds.
#[derive(Clone, Debug, Hash)]
pub struct Members {
    pub(crate) identity: Identity,
    pub(crate) settings: MemberSettings,
    /// Distinguishes this instance's fencing tokens.
    pub(crate) tag: u32,
    pub(crate) tag_salt: u32,
    pub(crate) seq: u64,
    pub(crate) sent: SentHeartbeats,
    pub(crate) schedule: Schedule,
    pub(crate) peers: BTreeMap<InstanceId, Peer>,
    pub(crate) departures: Departures,
    pub(crate) fences: Fences,
    /// The replicas of this zone.
    pub(crate) replicas: BTreeMap<EndpointId, Replica>,
    /// The replicas of other zones.
    pub(crate) remote_replicas: BTreeMap<EndpointId, EndpointInfo>,
    pub(crate) listed_endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    /// Whether a listing has named this instance since it started.
    pub(crate) listed: bool,
    /// This instance's newest entry of the list.
    pub(crate) own_entry: Option<ListEntry>,
    /// Listings in a row without this instance since.
    pub(crate) missed_listings: u8,
    pub(crate) last_listing: Option<Instant>,
    /// When nobody could have seen the list drop this instance.
    pub(crate) confirmed_at: Option<Instant>,
    pub(crate) last_tick: Instant,
    /// When states were last evaluated, unless there was news since.
    pub(crate) last_evaluation: Option<Instant>,
    /// Since when holdings may be out of date because this instance was paused or is new.
    pub(crate) resync_since: Option<Instant>,
    pub(crate) leaving: bool,
    /// The instances among which a free replica's holder is chosen, as of the last tick.
    pub(crate) candidates: BTreeSet<InstanceId>,
    /// The instances that a holder hands over to, as of the last tick.
    pub(crate) stable_candidates: BTreeSet<InstanceId>,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct ListEntry {
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
}

/// An endpoint as the list shows it.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ListedEndpoint {
    pub(crate) incarnation: Incarnation,
    pub(crate) missed_listings: u8,
    /// Whether the last call to it succeeded or failed, and when.
    pub(crate) last_call: Option<(bool, Instant)>,
}

impl Members {
    /// Starts with what the settings name; peers become known from the list and heartbeats.
    #[must_use]
    pub fn new(
        identity: Identity,
        settings: MemberSettings,
        endpoints: Vec<EndpointInfo>,
        now: Instant,
    ) -> Self {
        let (local, remote): (Vec<_>, Vec<_>) =
            endpoints.into_iter().partition(|e| e.zone == identity.zone);
        let replica = |e: EndpointInfo| (e.id.clone(), Replica::new(e));
        Self {
            tag: fences::instance_tag(&identity.id, identity.incarnation, 0),
            identity,
            settings,
            tag_salt: 0,
            seq: 0,
            sent: SentHeartbeats::default(),
            schedule: Schedule::default(),
            peers: BTreeMap::new(),
            departures: Departures::default(),
            fences: Fences::default(),
            replicas: local.into_iter().map(replica).collect(),
            remote_replicas: remote.into_iter().map(|e| (e.id.clone(), e)).collect(),
            listed_endpoints: BTreeMap::new(),
            listed: false,
            own_entry: None,
            missed_listings: 0,
            last_listing: None,
            confirmed_at: None,
            last_tick: now,
            last_evaluation: None,
            resync_since: Some(now),
            leaving: false,
            candidates: BTreeSet::new(),
            stable_candidates: BTreeSet::new(),
        }
    }

    /// Learns a fencing token that an engine has seen: of a report, of a resident load's name, of
    /// a refusal, or of an own order that was accepted.
    pub fn on_fence(&mut self, now: Instant, endpoint: &EndpointId, fence: Fence) {
        self.fences.observe(endpoint, fence);
        self.last_evaluation = None;
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.observe_fence(now, fence);
        }
    }

    /// Learns whether a call to an instance or endpoint was answered.
    pub fn on_answer(&mut self, now: Instant, id: &str, answered: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.call_failed = (!answered).then_some(now);
        }
        if let Some(endpoint) = self.listed_endpoints.get_mut(id) {
            endpoint.last_call = Some((answered, now));
            if answered {
                self.departures.refute_drop(id, endpoint.incarnation);
            }
        }
    }

    /// Brings states and holdings up to `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        let recent = |at| now.saturating_duration_since(at) < MIN_EVALUATION_INTERVAL;
        if self.last_evaluation.is_some_and(recent) {
            self.last_tick = now;
            return events;
        }
        self.last_evaluation = Some(now);
        self.detect_pause(now);
        self.drop_unlisted(now);
        self.update_peers(now, &mut events);
        self.resolve_tag_collision();
        self.confirm_listed(now, false);
        self.finish_resync(now);
        self.update_replicas(now, &mut events);
        self.remove_departed(now);
        self.last_tick = now;
        events
    }

    /// Says what this instance may do on the replica at `now`.
    #[must_use]
    pub fn permission(&self, now: Instant, endpoint: &EndpointId) -> Permission {
        let Some(replica) = self.replicas.get(endpoint) else {
            return Permission::None;
        };
        let Some(held) = replica.holding() else {
            return Permission::None;
        };
        if self.resync_since.is_some() || self.was_paused(now) || self.may_be_replaced(now) {
            return Permission::None;
        }
        let checks_fencing = replica.info.checks_fencing;
        if self.is_claim_exclusive(now, endpoint, held.claim_seq, checks_fencing) {
            Permission::Full
        } else {
            Permission::Fill
        }
    }

    /// Returns the token of a held replica.
    #[must_use]
    pub fn fence(&self, endpoint: &EndpointId) -> Option<Fence> {
        let held = self.replicas.get(endpoint)?.holding()?;
        Some(held.fence)
    }

    /// Tells whether a load of the given token may be used on a held replica: an own one, or an
    /// earlier one that no order under way can unload.
    #[must_use]
    pub fn usable(&self, endpoint: &EndpointId, load: Fence) -> bool {
        let held = self.replicas.get(endpoint).and_then(Replica::holding);
        held.is_some_and(|h| h.floor <= load && load <= h.fence)
    }

    /// Returns how long a load may have been idle and still be used, if that is limited.
    ///
    /// It is while this instance may have been dropped from the list without knowing it: another
    /// holder may then evict what was idle for [`idle`](MemberSettings::idle).
    #[must_use]
    pub fn idle_limit(&self, now: Instant, endpoint: &EndpointId) -> Option<Duration> {
        let half = self.settings.idle.get() / 2;
        let limited =
            !self.recently_confirmed(now) && self.permission(now, endpoint) > Permission::None;
        limited.then_some(half)
    }

    /// Tells whether loads of earlier holders on a held replica may be evicted, once the engine
    /// has reported them as idle for [`idle`](MemberSettings::idle).
    #[must_use]
    pub fn may_evict_inherited(&self, now: Instant, endpoint: &EndpointId) -> bool {
        self.permission(now, endpoint) == Permission::Full && self.is_unused_by_peers(now, endpoint)
    }

    /// Returns the instance that holds the replica, as far as is known here. In another zone it
    /// is the instance that most likely does.
    #[must_use]
    pub fn holder(&self, endpoint: &EndpointId) -> Option<&InstanceId> {
        match self.replicas.get(endpoint) {
            Some(replica) => replica.holder.as_ref(),
            None => self.likely_holder(self.remote_replicas.get(endpoint)?),
        }
    }

    /// Tells whether an instance or endpoint may get new work.
    #[must_use]
    pub fn accepts_work(&self, now: Instant, id: &str) -> bool {
        matches!(
            self.presence(now, id),
            None | Some(Presence::Live | Presence::Suspected)
        )
    }

    /// Returns the state of an instance or endpoint, if it is known.
    #[must_use]
    pub fn presence(&self, now: Instant, id: &str) -> Option<Presence> {
        if id == &*self.identity.id {
            return Some(self.own_presence(now));
        }
        let (incarnation, is_up) = match (self.peers.get(id), self.listed_endpoints.get(id)) {
            (Some(peer), _) => (peer.incarnation, peer.up_since.is_some()),
            (_, Some(e)) => (e.incarnation, e.last_call.is_none_or(|(ok, _)| ok)),
            _ => return None,
        };
        Some(match self.departures.stage(id, incarnation) {
            Some(Stage::Leaving) => Presence::Leaving,
            Some(Stage::Dropped | Stage::Ended) => Presence::Gone,
            None if is_up => Presence::Live,
            None => Presence::Suspected,
        })
    }

    /// Iterates over live peers and their zones.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &ZoneId)> {
        let live = |(id, p): &(&InstanceId, &Peer)| {
            p.up_since.is_some() && self.departures.stage(id, p.incarnation).is_none()
        };
        self.peers.iter().filter(live).map(|(id, p)| (id, &p.zone))
    }

    /// Returns this instance's tag in fencing tokens.
    #[must_use]
    pub fn tag(&self) -> u32 {
        self.tag
    }

    /// Starts to hand over everything that this instance holds.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.last_evaluation = None;
        self.record_departure(now, &self.own_departure(Stage::Leaving));
    }

    /// Learns that every order to a lost replica was answered, or can no longer take effect.
    pub fn on_orders_done(&mut self, now: Instant, endpoint: &EndpointId) {
        let replica = self.replicas.get_mut(endpoint);
        if replica.is_some_and(Replica::finish_orders) {
            self.expedite_heartbeats(now);
        }
    }

    /// Learns that no request to a lost replica is in flight any more, nor any order.
    pub fn on_drained(&mut self, now: Instant, endpoint: &EndpointId) {
        let replica = self.replicas.get_mut(endpoint);
        if replica.is_some_and(Replica::finish_drain) {
            self.expedite_heartbeats(now);
        }
    }

    /// Tells whether this instance has handed over everything; from then on its heartbeats say
    /// that it has ended, and it may exit after one to each peer.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        self.leaving && self.replicas.values().all(|r| r.held.is_none())
    }

    /// Tells whether so much time has passed since the last tick that others may have acted.
    pub(crate) fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.settings.lease.get()
    }

    pub(crate) fn guard(&self) -> Duration {
        self.settings.guard.get()
    }

    pub(crate) fn own_departure(&self, stage: Stage) -> Departure {
        Departure {
            id: self.identity.id.clone(),
            incarnation: self.identity.incarnation,
            stage,
        }
    }

    /// Takes a mark; news of it goes out at once.
    pub(crate) fn record_departure(&mut self, now: Instant, departure: &Departure) {
        if self.departures.record(now, departure) {
            self.spread_departure(now, &departure.id);
        }
    }

    /// Iterates over the peers of this zone that have not ended.
    pub(crate) fn zone_peers(&self) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let is_gone = |id: &Arc<str>, p: &Peer| {
            matches!(
                self.departures.stage(id, p.incarnation),
                Some(Stage::Dropped | Stage::Ended)
            )
        };
        self.peers
            .iter()
            .filter(move |(id, p)| p.same_zone && !is_gone(id, p))
    }

    /// Counts the known peers of this zone that have not ended.
    pub(crate) fn zone_size(&self) -> usize {
        self.zone_peers().count()
    }

    fn own_presence(&self, now: Instant) -> Presence {
        if self.leaving {
            Presence::Leaving
        } else if self.was_paused(now) {
            Presence::Suspected
        } else {
            Presence::Live
        }
    }

    fn remove_departed(&mut self, now: Instant) {
        let is_old = |id: &str, incarnation| {
            self.departures.time_since_end(now, id, incarnation) > Some(DEPARTURE_RETENTION)
        };
        self.peers.retain(|id, p| !is_old(id, p.incarnation));
        self.listed_endpoints
            .retain(|id, e| !is_old(id, e.incarnation));
        let (peers, endpoints) = (&self.peers, &self.listed_endpoints);
        self.departures.expire(now, DEPARTURE_RETENTION, |id| {
            peers.contains_key(id) || endpoints.contains_key(id)
        });
    }
}
