//! [`Members`]: the state machine with which an instance tracks members and holds replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, FencingToken, Incarnation, InstanceId, ZoneId};

use crate::{
    Departure, EndpointInfo, Identity, MemberEvent, MemberSettings, Permission, Presence, Stage,
    departures::Departures,
    fences::{self, Fences},
    peer::Peer,
    replica::Replica,
    schedule::Schedule,
    sent_heartbeats::SentHeartbeats,
};

/// Minimum interval between two evaluations of the state if nothing was received in between.
const MIN_EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// How long a departure is kept, and with it the peer or endpoint that ended.
const DEPARTURE_RETENTION: Duration = Duration::from_hours(1);

/// Tracks which members are live and which replicas this instance holds.
///
/// The caller passes in heartbeats, listings and results of calls, calls [`Self::tick`] often, and
/// sends a [`Self::heartbeat_to`] each of [`Self::due_peers`].
#[derive(Clone, Debug, Hash)]
pub struct Members {
    pub(crate) identity: Identity,
    pub(crate) settings: MemberSettings,
    /// Low bits of this instance's fencing tokens.
    pub(crate) tag: u32,
    /// Salt of the current tag; it increases when a peer has the same tag.
    pub(crate) tag_salt: u32,
    /// Sequence number of the last heartbeat that was built.
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
    /// Whether a listing has named this instance since the process started.
    pub(crate) listed: bool,
    /// This instance's entry in the newest listing that named it.
    pub(crate) own_entry: Option<ListEntry>,
    /// Number of listings in a row that did not name this instance, after one did.
    pub(crate) missed_listings: u8,
    pub(crate) last_listing: Option<Instant>,
    /// Latest time at which no peer can have found this instance dropped from the list.
    pub(crate) confirmed_at: Option<Instant>,
    pub(crate) last_tick: Instant,
    /// When the state was last evaluated, or `None` if input has arrived since.
    pub(crate) last_evaluation: Option<Instant>,
    /// When this instance started or woke from a pause, until its view of the peers is current
    /// again. It sends no orders and claims nothing in between.
    pub(crate) resync_since: Option<Instant>,
    pub(crate) leaving: bool,
    /// The instances that may claim a replica without a holder, as of the last tick.
    pub(crate) candidates: BTreeSet<InstanceId>,
    /// The candidates that have been live for a lease, as of the last tick; a holder hands over
    /// only to these.
    pub(crate) stable_candidates: BTreeSet<InstanceId>,
}

/// A member's entry in the platform's list.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct ListEntry {
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
}

/// An endpoint that the list names.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ListedEndpoint {
    pub(crate) incarnation: Incarnation,
    /// Number of listings in a row that did not name it.
    pub(crate) missed_listings: u8,
    /// Whether the last call to it succeeded or failed, and when.
    pub(crate) last_call: Option<(bool, Instant)>,
}

impl Members {
    /// Creates the state from the settings; peers become known from the list and from heartbeats.
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

    /// Records a fencing token that an engine has seen, as known from its report, the name of a
    /// resident load, a refusal, or an order of this instance that it accepted.
    pub fn on_fence(&mut self, now: Instant, endpoint: &EndpointId, fence: FencingToken) {
        self.fences.observe(endpoint, fence);
        self.last_evaluation = None;
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.observe_fence(now, fence);
        }
    }

    /// Records whether a call to an instance or endpoint was answered.
    pub fn on_answer(&mut self, now: Instant, id: &str, answered: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.call_failed_at = (!answered).then_some(now);
        }
        if let Some(endpoint) = self.listed_endpoints.get_mut(id) {
            endpoint.last_call = Some((answered, now));
            if answered {
                self.departures.cancel_drop(id, endpoint.incarnation);
            }
        }
    }

    /// Updates members and holdings to `now` and returns what changed.
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

    /// Returns what this instance may do on the replica at `now`.
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
            Permission::LoadOnly
        }
    }

    /// Returns this instance's fencing token for a replica that it holds.
    #[must_use]
    pub fn fence(&self, endpoint: &EndpointId) -> Option<FencingToken> {
        let held = self.replicas.get(endpoint)?.holding()?;
        Some(held.fence)
    }

    /// Returns whether a load with the given token may be used on a held replica: one of this
    /// instance, or an inherited one that no order of an earlier holder can still unload.
    #[must_use]
    pub fn usable(&self, endpoint: &EndpointId, load: FencingToken) -> bool {
        let held = self.replicas.get(endpoint).and_then(Replica::holding);
        held.is_some_and(|h| h.floor <= load && load <= h.fence)
    }

    /// Returns the longest idle time after which a load may still be used, or `None` if any may.
    ///
    /// The limit applies while this instance may have been dropped from the list without knowing
    /// it. Another holder may then evict loads that were idle for [`idle`](MemberSettings::idle);
    /// the limit is half of that.
    #[must_use]
    pub fn idle_limit(&self, now: Instant, endpoint: &EndpointId) -> Option<Duration> {
        let half = self.settings.idle.get() / 2;
        let limited =
            !self.recently_confirmed(now) && self.permission(now, endpoint) > Permission::None;
        limited.then_some(half)
    }

    /// Returns whether inherited loads on a held replica may be evicted, each once the engine has
    /// reported it as idle for [`idle`](MemberSettings::idle).
    #[must_use]
    pub fn may_evict_inherited(&self, now: Instant, endpoint: &EndpointId) -> bool {
        self.permission(now, endpoint) == Permission::Full && self.is_unused_by_peers(now, endpoint)
    }

    /// Returns the instance that holds the replica, as far as is known. For a replica of another
    /// zone, it is the instance that rendezvous hashing assigns the replica to.
    #[must_use]
    pub fn holder(&self, endpoint: &EndpointId) -> Option<&InstanceId> {
        match self.replicas.get(endpoint) {
            Some(replica) => replica.holder.as_ref(),
            None => self.likely_holder(self.remote_replicas.get(endpoint)?),
        }
    }

    /// Returns whether an instance or endpoint may be sent new work. An unknown one may.
    #[must_use]
    pub fn accepts_work(&self, now: Instant, id: &str) -> bool {
        matches!(
            self.presence(now, id),
            None | Some(Presence::Live | Presence::Suspected)
        )
    }

    /// Returns the state of an instance or endpoint, or `None` if it is unknown.
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

    /// Iterates over the live peers with their zones.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &ZoneId)> {
        let live = |(id, p): &(&InstanceId, &Peer)| {
            p.up_since.is_some() && self.departures.stage(id, p.incarnation).is_none()
        };
        self.peers.iter().filter(live).map(|(id, p)| (id, &p.zone))
    }

    /// Returns the tag in this instance's fencing tokens.
    #[must_use]
    pub fn tag(&self) -> u32 {
        self.tag
    }

    /// Starts to leave: announces it to peers and hands over all replicas.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.last_evaluation = None;
        self.record_departure(now, &self.own_departure(Stage::Leaving));
    }

    /// Records that every order to a lost replica was answered, or can no longer take effect.
    pub fn on_orders_done(&mut self, now: Instant, endpoint: &EndpointId) {
        let replica = self.replicas.get_mut(endpoint);
        if replica.is_some_and(Replica::finish_orders) {
            self.expedite_heartbeats(now);
        }
    }

    /// Records that neither requests nor orders to a lost replica are in flight any more.
    pub fn on_drained(&mut self, now: Instant, endpoint: &EndpointId) {
        let replica = self.replicas.get_mut(endpoint);
        if replica.is_some_and(Replica::finish_drain) {
            self.expedite_heartbeats(now);
        }
    }

    /// Returns whether this instance is leaving and has handed over all replicas. From then on its
    /// heartbeats report that it has ended, and it may exit after sending one to each peer.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        self.leaving && self.replicas.values().all(|r| r.held.is_none())
    }

    /// Returns whether the last tick is so long ago that peers may have taken over replicas.
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

    /// Records a departure and, if it is new, sends it to some peers immediately.
    pub(crate) fn record_departure(&mut self, now: Instant, departure: &Departure) {
        if self.departures.record(now, departure) {
            self.spread_departure(now, &departure.id);
        }
    }

    /// Iterates over the peers of this zone that were not dropped and have not ended.
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

    /// Returns the number of peers of this zone that were not dropped and have not ended.
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

    /// Removes members that ended long ago, and their departures.
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
