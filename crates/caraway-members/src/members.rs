//! [`Members`]: the state machine of one instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, FencingToken, Incarnation, InstanceId, ZoneId};

use crate::{
    EndpointInfo, Mark, Me, MemberEvent, MemberSettings, Presence, Right, Stage,
    fences::{self, Fences},
    marks::Marks,
    peer::Peer,
    replica::Replica,
    schedule::Schedule,
    sent::SentLog,
};

/// Least time between two evaluations of states without news.
const QUIET_TICK: Duration = Duration::from_millis(100);
/// How long a mark of an id that nothing else names is kept.
const MARK_AGE: Duration = Duration::from_hours(1);

/// Knows who is live and which replicas this instance holds.
#[derive(Clone, Debug, Hash)]
pub struct Members {
    pub(crate) me: Me,
    pub(crate) settings: MemberSettings,
    /// Distinguishes this instance's fencing tokens.
    pub(crate) tag: u32,
    pub(crate) salt: u32,
    pub(crate) seq: u64,
    pub(crate) sent: SentLog,
    pub(crate) schedule: Schedule,
    pub(crate) peers: BTreeMap<InstanceId, Peer>,
    pub(crate) marks: Marks,
    pub(crate) fences: Fences,
    /// The replicas of this zone.
    pub(crate) replicas: BTreeMap<EndpointId, Replica>,
    /// The replicas of other zones.
    pub(crate) remote: BTreeMap<EndpointId, EndpointInfo>,
    pub(crate) listed_endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    /// Whether a listing has named this instance since it started.
    pub(crate) listed: bool,
    /// This instance's newest entry of the list.
    pub(crate) own_entry: Option<ListEntry>,
    /// Listings in a row without this instance since.
    pub(crate) missing: u8,
    pub(crate) last_listing: Option<Instant>,
    /// When nobody could have seen the list drop this instance.
    pub(crate) assured: Option<Instant>,
    pub(crate) last_tick: Instant,
    /// When states were last evaluated, unless there was news since.
    pub(crate) evaluated: Option<Instant>,
    /// Since when holdings may be out of date because this instance was paused or is new.
    pub(crate) doubt: Option<Instant>,
    pub(crate) leaving: bool,
    /// The instances among which a free replica's holder is chosen, as of the last tick.
    pub(crate) candidates: BTreeSet<InstanceId>,
    /// The instances that a holder hands over to, as of the last tick.
    pub(crate) steady: BTreeSet<InstanceId>,
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
    pub(crate) missing: u8,
    /// Whether the last call to it succeeded or failed, and when.
    pub(crate) answered: Option<(bool, Instant)>,
}

impl Members {
    /// Starts with what the settings name; peers become known from the list and heartbeats.
    #[must_use]
    pub fn new(
        me: Me,
        settings: MemberSettings,
        endpoints: Vec<EndpointInfo>,
        now: Instant,
    ) -> Self {
        let (local, remote): (Vec<_>, Vec<_>) =
            endpoints.into_iter().partition(|e| e.zone == me.zone);
        let replica = |e: EndpointInfo| (e.id.clone(), Replica::new(e));
        Self {
            tag: fences::tag(&me.id, me.incarnation, 0),
            me,
            settings,
            salt: 0,
            seq: 0,
            sent: SentLog::default(),
            schedule: Schedule::default(),
            peers: BTreeMap::new(),
            marks: Marks::default(),
            fences: Fences::default(),
            replicas: local.into_iter().map(replica).collect(),
            remote: remote.into_iter().map(|e| (e.id.clone(), e)).collect(),
            listed_endpoints: BTreeMap::new(),
            listed: false,
            own_entry: None,
            missing: 0,
            last_listing: None,
            assured: None,
            last_tick: now,
            evaluated: None,
            doubt: Some(now),
            leaving: false,
            candidates: BTreeSet::new(),
            steady: BTreeSet::new(),
        }
    }

    /// Learns a fencing token that an engine has seen: of a report, of a resident load's name, of
    /// a refusal, or of an own order that was accepted.
    pub fn on_fence(&mut self, now: Instant, endpoint: &EndpointId, fence: FencingToken) {
        self.fences.see(endpoint, fence);
        self.evaluated = None;
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.see_fence(now, fence);
        }
    }

    /// Learns whether a call to an instance or endpoint was answered.
    pub fn on_answer(&mut self, now: Instant, id: &str, answered: bool) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.failed = (!answered).then_some(now);
        }
        if let Some(endpoint) = self.listed_endpoints.get_mut(id) {
            endpoint.answered = Some((answered, now));
            if answered {
                self.marks.refute_drop(id, endpoint.incarnation);
            }
        }
    }

    /// Brings states and holdings up to `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        let quiet = |at| now.saturating_duration_since(at) < QUIET_TICK;
        if self.evaluated.is_some_and(quiet) {
            self.last_tick = now;
            return events;
        }
        self.evaluated = Some(now);
        self.notice_pause(now);
        self.drop_missing(now);
        self.tick_peers(now, &mut events);
        self.settle_tag();
        self.assure(now, false);
        self.resolve_doubt(now);
        self.tick_replicas(now, &mut events);
        self.forget(now);
        self.last_tick = now;
        events
    }

    /// Says what this instance may do on the replica at `now`.
    #[must_use]
    pub fn right(&self, now: Instant, endpoint: &EndpointId) -> Right {
        let Some(replica) = self.replicas.get(endpoint) else {
            return Right::None;
        };
        let Some(held) = replica.holding() else {
            return Right::None;
        };
        if self.doubt.is_some() || self.paused(now) || self.outcast(now) {
            return Right::None;
        }
        let checks = replica.info.checks_fencing;
        if self.granted(now, endpoint, held.claim_seq, checks) {
            Right::Full
        } else {
            Right::Fill
        }
    }

    /// Returns the token of a held replica.
    #[must_use]
    pub fn fence(&self, endpoint: &EndpointId) -> Option<FencingToken> {
        let held = self.replicas.get(endpoint)?.holding()?;
        Some(held.fence)
    }

    /// Tells whether a load of the given token may be used on a held replica: an own one, or an
    /// earlier one that no order under way can unload.
    #[must_use]
    pub fn usable(&self, endpoint: &EndpointId, load: FencingToken) -> bool {
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
        let limited = !self.assured_lately(now) && self.right(now, endpoint) > Right::None;
        limited.then_some(half)
    }

    /// Tells whether loads of earlier holders on a held replica may be evicted, once the engine
    /// has reported them as idle for [`idle`](MemberSettings::idle).
    #[must_use]
    pub fn cleared(&self, now: Instant, endpoint: &EndpointId) -> bool {
        self.right(now, endpoint) == Right::Full && self.all_clear(now, endpoint)
    }

    /// Returns the instance that holds the replica, as far as is known here. In another zone it
    /// is the instance that most likely does.
    #[must_use]
    pub fn holder(&self, endpoint: &EndpointId) -> Option<&InstanceId> {
        match self.replicas.get(endpoint) {
            Some(replica) => replica.holder.as_ref(),
            None => self.likely_holder(self.remote.get(endpoint)?),
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
        if id == &*self.me.id {
            return Some(self.own_presence(now));
        }
        let (incarnation, up) = match (self.peers.get(id), self.listed_endpoints.get(id)) {
            (Some(peer), _) => (peer.incarnation, peer.up.is_some()),
            (_, Some(e)) => (e.incarnation, e.answered.is_none_or(|(ok, _)| ok)),
            _ => return None,
        };
        Some(match self.marks.stage(id, incarnation) {
            Some(Stage::Leaving) => Presence::Leaving,
            Some(Stage::Dropped | Stage::Ended) => Presence::Gone,
            None if up => Presence::Live,
            None => Presence::Suspected,
        })
    }

    /// Iterates over live peers and their zones.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &ZoneId)> {
        let live = |(id, p): &(&InstanceId, &Peer)| {
            p.up.is_some() && self.marks.stage(id, p.incarnation).is_none()
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
        self.evaluated = None;
        self.mark(now, &self.own_mark(Stage::Leaving));
    }

    /// Learns that every order to a lost replica was answered, or can no longer take effect.
    pub fn orders_done(&mut self, now: Instant, endpoint: &EndpointId) {
        let replica = self.replicas.get_mut(endpoint);
        if replica.is_some_and(Replica::settle) {
            self.hurry(now);
        }
    }

    /// Learns that no request to a lost replica is in flight any more, nor any order.
    pub fn drained(&mut self, now: Instant, endpoint: &EndpointId) {
        let replica = self.replicas.get_mut(endpoint);
        if replica.is_some_and(Replica::finish_drain) {
            self.hurry(now);
        }
    }

    /// Tells whether this instance has handed over everything; from then on its heartbeats say
    /// that it has ended, and it may exit after one to each peer.
    #[must_use]
    pub fn handed_over(&self) -> bool {
        self.leaving && self.replicas.values().all(|r| r.held.is_none())
    }

    /// Tells whether so much time has passed since the last tick that others may have acted.
    pub(crate) fn paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > self.settings.lease.get()
    }

    pub(crate) fn guard(&self) -> Duration {
        self.settings.guard.get()
    }

    pub(crate) fn own_mark(&self, stage: Stage) -> Mark {
        Mark {
            id: self.me.id.clone(),
            incarnation: self.me.incarnation,
            stage,
        }
    }

    /// Takes a mark; news of it goes out at once.
    pub(crate) fn mark(&mut self, now: Instant, mark: &Mark) {
        if self.marks.add(now, mark) {
            self.spread(now, &mark.id);
        }
    }

    /// Iterates over the peers of this zone that have not ended.
    pub(crate) fn zone_peers(&self) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        let ended = |id: &Arc<str>, p: &Peer| {
            matches!(
                self.marks.stage(id, p.incarnation),
                Some(Stage::Dropped | Stage::Ended)
            )
        };
        self.peers
            .iter()
            .filter(move |(id, p)| p.local && !ended(id, p))
    }

    /// Counts the known peers of this zone that have not ended.
    pub(crate) fn zone_size(&self) -> usize {
        self.zone_peers().count()
    }

    fn own_presence(&self, now: Instant) -> Presence {
        if self.leaving {
            Presence::Leaving
        } else if self.paused(now) {
            Presence::Suspected
        } else {
            Presence::Live
        }
    }

    fn forget(&mut self, now: Instant) {
        let old = |id: &str, inc| self.marks.ended_for(now, id, inc) > Some(MARK_AGE);
        self.peers.retain(|id, p| !old(id, p.incarnation));
        self.listed_endpoints
            .retain(|id, e| !old(id, e.incarnation));
        let (peers, endpoints) = (&self.peers, &self.listed_endpoints);
        self.marks.forget(now, MARK_AGE, |id| {
            peers.contains_key(id) || endpoints.contains_key(id)
        });
    }
}
