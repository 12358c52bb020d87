//! How [`Members`] learns who is live, leaving or gone.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{Incarnation, InstanceId, ZoneId};

use crate::{
    Heartbeat, Holding, ListedMember, Mark, MemberEvent, Members, Phase, Stage, fences,
    marks::UNHEARD,
    members::{ListEntry, ListedEndpoint},
    peer::Peer,
};

/// Listings in a row that must miss a member before it counts as dropped.
const MISSED_LISTINGS: u8 = 2;
/// Listings in a row that must miss a silent instance that no listing ever named.
const MISSED_UNNAMED: u8 = 30;
/// How long an answer of an endpoint outweighs that the list dropped it.
const ANSWER_AGE: Duration = Duration::from_secs(10);

impl ListedEndpoint {
    /// Tells whether it answered a short while ago.
    fn answers(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < ANSWER_AGE;
        self.answered.is_some_and(|(ok, at)| ok && recent(at))
    }
}

impl Members {
    /// Takes a peer's heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, beat: &Heartbeat) {
        if beat.from == self.me.id {
            return;
        }
        for mark in &beat.marks {
            self.on_mark(now, mark);
        }
        for holding in &beat.held {
            self.fences.see(&holding.endpoint, holding.fence);
        }
        if self.hear(now, beat) {
            self.take_vouches(now, beat);
        }
    }

    /// Takes what the platform's list shows. One without any instance is ignored: it tells of a
    /// fault of the list, since this instance lives.
    pub fn on_listing(&mut self, now: Instant, list: &[ListedMember]) {
        if list.iter().all(|m| m.endpoint) {
            return;
        }
        self.count_missing();
        for member in list {
            if member.id == self.me.id {
                self.see_self(now, member);
            } else if member.endpoint {
                self.see_endpoint(now, member);
            } else {
                self.see_instance(now, member);
            }
        }
        self.last_listing = Some(now);
        self.assure(now, self.missing == 0);
        self.evaluated = None;
    }

    /// Marks members that the list has dropped and that are not heard.
    pub(crate) fn drop_missing(&mut self, now: Instant) {
        let guard = self.guard();
        let missed = |p: &Peer| {
            let limit = if p.named {
                MISSED_LISTINGS
            } else {
                MISSED_UNNAMED
            };
            p.missing >= limit
        };
        let lost = |p: &Peer| missed(p) && p.silent(now, guard);
        let peers = self
            .peers
            .iter()
            .filter(|(_, p)| lost(p))
            .map(|(id, p)| (id.clone(), p.incarnation));
        let endpoints = self
            .listed_endpoints
            .iter()
            .filter(|(_, e)| e.missing >= MISSED_LISTINGS && !e.answers(now))
            .map(|(id, e)| (id.clone(), e.incarnation));
        let dropped: Vec<_> = peers.chain(endpoints).collect();
        for (id, incarnation) in dropped {
            let mark = Mark {
                id,
                incarnation,
                stage: Stage::Dropped,
            };
            self.distrust();
            self.mark(now, &mark);
        }
    }

    /// Reports peers that came up or went down.
    pub(crate) fn tick_peers(&mut self, now: Instant, events: &mut Vec<MemberEvent>) {
        let ids: Vec<InstanceId> = self.peers.keys().cloned().collect();
        for instance in ids {
            let up = self.is_up(now, &instance);
            let Some(peer) = self.peers.get_mut(&instance) else {
                continue;
            };
            if up == peer.up.is_some() {
                continue;
            }
            peer.up = up.then_some(now);
            events.push(if up {
                MemberEvent::PeerUp { instance }
            } else {
                MemberEvent::PeerDown { instance }
            });
        }
    }

    /// Tells whether the list has dropped this instance.
    pub(crate) fn dropped(&self) -> bool {
        let own = self.marks.stage(&self.me.id, self.me.incarnation);
        self.missing >= MISSED_LISTINGS || own.is_some_and(|s| s >= Stage::Dropped)
    }

    fn on_mark(&mut self, now: Instant, mark: &Mark) {
        let mine = mark.id == self.me.id;
        let heard = self.peers.get(&mark.id).is_some_and(|p| {
            p.incarnation >= mark.incarnation && p.heard.is_some() && !p.silent(now, self.guard())
        });
        let answers = self
            .listed_endpoints
            .get(&mark.id)
            .is_some_and(|e| e.answers(now));
        if mark.stage == Stage::Dropped && (heard || answers) {
            return;
        }
        if mine && mark.incarnation == self.me.incarnation && mark.stage == Stage::Leaving {
            self.leaving = true;
        }
        if mark.stage == Stage::Dropped && self.peers.contains_key(&mark.id) {
            self.distrust();
        }
        self.mark(now, mark);
    }

    /// Forgets which holders have settled, since an instance that ended without a word may have
    /// followed them.
    fn distrust(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.settled = None;
        }
    }

    /// Makes a peer that was not heard yet; it may rely on what an earlier life of this instance
    /// acknowledged to it, for a lease.
    fn new_peer(&self, now: Instant, zone: &ZoneId, incarnation: Incarnation, tag: u32) -> Peer {
        let local = *zone == self.me.zone;
        let promised = now + self.settings.lease_for(self.zone_size());
        Peer::new(zone.clone(), local, incarnation, tag, promised, now)
    }

    /// Takes a new incarnation of a peer in place of the known one.
    fn renew(&mut self, now: Instant, id: &InstanceId, mut fresh: Peer) {
        if let Some(known) = self.peers.get_mut(id) {
            if known.incarnation == UNHEARD {
                known.incarnation = fresh.incarnation;
                return;
            }
            fresh.past_entry = known.entry;
            let ended = self.marks.stage(id, known.incarnation) == Some(Stage::Ended);
            if !ended {
                self.distrust();
                fresh.quiet = Some(now + self.settings.guard.get());
            }
        }
        self.peers.insert(id.clone(), fresh);
    }

    /// Notes the holdings that a peer no longer tells of: it settled them.
    fn note_settled(&mut self, before: &[Holding], after: &[Holding]) {
        for holding in before {
            let told = after.iter().find(|h| h.endpoint == holding.endpoint);
            if told.is_none_or(|h| h.fence != holding.fence) {
                self.settle_holding(holding);
            }
        }
        for holding in after.iter().filter(|h| h.phase == Phase::Draining) {
            self.settle_holding(holding);
        }
    }

    fn settle_holding(&mut self, holding: &Holding) {
        if let Some(replica) = self.replicas.get_mut(&holding.endpoint) {
            replica.note_settled(holding.fence, holding.floor);
        }
    }

    /// Takes what a heartbeat says of its sender; tells whether it was new.
    fn hear(&mut self, now: Instant, beat: &Heartbeat) -> bool {
        let known = self.peers.get(&beat.from).map(|p| p.incarnation);
        if known.is_none_or(|k| k < beat.incarnation) {
            let fresh = self.new_peer(now, &beat.zone, beat.incarnation, beat.tag);
            self.renew(now, &beat.from, fresh);
        }
        let Some(peer) = self.peers.get_mut(&beat.from) else {
            return false;
        };
        if beat.incarnation < peer.incarnation || beat.seq <= peer.seq {
            return false;
        }
        let local = beat.zone == self.me.zone;
        let before = peer.held.clone();
        let news = peer.heard.is_none() || local && before != beat.held;
        peer.hear(now, beat);
        if let Some(ack) = beat.acks.iter().find(|a| a.tag == self.tag) {
            peer.acked = peer.acked.max(ack.seq);
            peer.granted = peer.granted.max(self.sent.lease_end(ack.seq));
        }
        self.evaluated = self.evaluated.filter(|_| !local);
        if news && local {
            peer.due = now;
            self.note_settled(&before, &beat.held);
        }
        self.marks.refute_drop(&beat.from, beat.incarnation);
        true
    }

    fn take_vouches(&mut self, now: Instant, beat: &Heartbeat) {
        if beat.vouched.is_empty() || beat.zone == self.me.zone {
            return;
        }
        let ages: BTreeMap<u32, Duration> =
            beat.vouched.iter().map(|v| (v.tag, v.age.get())).collect();
        for peer in self.peers.values_mut().filter(|p| p.zone == beat.zone) {
            let age = ages.get(&peer.tag);
            let Some(at) = age.and_then(|a| now.checked_sub(*a)) else {
                continue;
            };
            peer.failed = peer.failed.filter(|failed| at <= *failed);
            peer.vouched = peer.vouched.max(Some(at));
        }
    }

    fn count_missing(&mut self) {
        if self.listed {
            self.missing = self.missing.saturating_add(1);
        }
        for peer in self.peers.values_mut() {
            peer.missing = peer.missing.saturating_add(1);
        }
        for endpoint in self.listed_endpoints.values_mut() {
            endpoint.missing = endpoint.missing.saturating_add(1);
        }
    }

    /// Takes its own entry of the list. The list numbers lives in its own way, and may still show
    /// an earlier life: that one's leaving is not meant.
    fn see_self(&mut self, now: Instant, member: &ListedMember) {
        self.listed = true;
        self.missing = 0;
        self.marks.refute_drop(&member.id, self.me.incarnation);
        let first = self.own_entry.is_none();
        let entry = self.own_entry.get_or_insert(ListEntry {
            incarnation: member.incarnation,
            leaving: member.leaving,
        });
        let newer = member.incarnation > entry.incarnation;
        let turned = member.leaving && (newer || !entry.leaving);
        *entry = ListEntry {
            incarnation: member.incarnation,
            leaving: member.leaving,
        };
        if turned && !first {
            self.leave(now);
        }
    }

    fn see_endpoint(&mut self, now: Instant, member: &ListedMember) {
        let entry = self
            .listed_endpoints
            .entry(member.id.clone())
            .or_insert(ListedEndpoint {
                incarnation: member.incarnation,
                missing: 0,
                answered: None,
            });
        if member.incarnation >= entry.incarnation {
            entry.incarnation = member.incarnation;
            entry.missing = 0;
            self.marks.refute_drop(&member.id, member.incarnation);
        }
        if member.leaving {
            let mark = Mark {
                id: member.id.clone(),
                incarnation: member.incarnation,
                stage: Stage::Leaving,
            };
            self.mark(now, &mark);
        }
    }

    /// Takes a peer's entry of the list, which numbers lives in its own way. An entry that an
    /// earlier life had is not believed to say that this one leaves.
    fn see_instance(&mut self, now: Instant, member: &ListedMember) {
        if !self.peers.contains_key(&member.id) {
            let tag = fences::tag(&member.id, UNHEARD, 0);
            let fresh = self.new_peer(now, &member.zone, UNHEARD, tag);
            self.peers.insert(member.id.clone(), fresh);
        }
        let Some(peer) = self.peers.get_mut(&member.id) else {
            return;
        };
        peer.named = true;
        peer.missing = 0;
        peer.entry = peer.entry.max(Some(member.incarnation));
        let earlier = peer.past_entry >= Some(member.incarnation);
        let incarnation = peer.incarnation;
        self.marks.refute_drop(&member.id, incarnation);
        if member.leaving && !earlier {
            let mark = Mark {
                id: member.id.clone(),
                incarnation,
                stage: Stage::Leaving,
            };
            self.mark(now, &mark);
        }
    }

    fn is_up(&self, now: Instant, id: &InstanceId) -> bool {
        let peer = &self.peers[id];
        let stage = self.marks.stage(id, peer.incarnation);
        if stage.is_some_and(|s| s >= Stage::Dropped) {
            return false;
        }
        if peer.local {
            return peer.heard.is_some() && !peer.silent(now, self.guard());
        }
        let timeout = self.settings.remote_timeout.get();
        let recent = |at| now.saturating_duration_since(at) <= timeout;
        let heard = peer.heard.max(peer.vouched).is_some_and(recent);
        peer.failed.is_none() && (heard || peer.named && peer.missing == 0)
    }
}
