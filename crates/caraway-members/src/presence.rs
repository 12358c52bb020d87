//! How [`Members`] learns who is live, leaving or gone.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{Incarnation, InstanceId, ZoneId};

use crate::{
    Departure, Heartbeat, Holding, ListedMember, MemberEvent, Members, Phase, Stage,
    departures::UNKNOWN_INCARNATION,
    fences,
    members::{ListEntry, ListedEndpoint},
    peer::Peer,
};

/// Listings in a row that must miss a member before it counts as dropped.
const DROP_AFTER_MISSED: u8 = 2;
/// Listings in a row that must miss a silent instance that no listing ever named.
const DROP_UNLISTED_AFTER_MISSED: u8 = 30;
/// How long an answer of an endpoint outweighs that the list dropped it.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(10);

impl ListedEndpoint {
    /// Tells whether it answered a short while ago.
    fn answered_recently(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < ANSWER_MAX_AGE;
        self.last_call.is_some_and(|(ok, at)| ok && recent(at))
    }
}

impl Members {
    /// Takes a peer's heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if heartbeat.from == self.identity.id {
            return;
        }
        for departure in &heartbeat.departures {
            self.on_departure(now, departure);
        }
        for holding in &heartbeat.held {
            self.fences.observe(&holding.endpoint, holding.fence);
        }
        if self.apply_heartbeat(now, heartbeat) {
            self.apply_contacts(now, heartbeat);
        }
    }

    /// Takes what the platform's list shows. One without any instance is ignored: it tells of a
    /// fault of the list, since this instance lives.
    pub fn on_listing(&mut self, now: Instant, list: &[ListedMember]) {
        if list.iter().all(|m| m.endpoint) {
            return;
        }
        self.count_missed_listings();
        for member in list {
            if member.id == self.identity.id {
                self.update_own_entry(now, member);
            } else if member.endpoint {
                self.update_endpoint(now, member);
            } else {
                self.update_instance(now, member);
            }
        }
        self.last_listing = Some(now);
        self.confirm_listed(now, self.missed_listings == 0);
        self.last_evaluation = None;
    }

    /// Marks members that the list has dropped and that are not heard.
    pub(crate) fn drop_unlisted(&mut self, now: Instant) {
        let guard = self.guard();
        let is_missed = |p: &Peer| {
            let limit = if p.was_listed {
                DROP_AFTER_MISSED
            } else {
                DROP_UNLISTED_AFTER_MISSED
            };
            p.missed_listings >= limit
        };
        let should_drop = |p: &Peer| is_missed(p) && p.lease_expired(now, guard);
        let peers = self
            .peers
            .iter()
            .filter(|(_, p)| should_drop(p))
            .map(|(id, p)| (id.clone(), p.incarnation));
        let endpoints = self
            .listed_endpoints
            .iter()
            .filter(|(_, e)| e.missed_listings >= DROP_AFTER_MISSED && !e.answered_recently(now))
            .map(|(id, e)| (id.clone(), e.incarnation));
        let dropped: Vec<_> = peers.chain(endpoints).collect();
        for (id, incarnation) in dropped {
            let departure = Departure {
                id,
                incarnation,
                stage: Stage::Dropped,
            };
            self.clear_finished();
            self.record_departure(now, &departure);
        }
    }

    /// Reports peers that came up or went down.
    pub(crate) fn update_peers(&mut self, now: Instant, events: &mut Vec<MemberEvent>) {
        let ids: Vec<InstanceId> = self.peers.keys().cloned().collect();
        for instance in ids {
            let is_up = self.is_up(now, &instance);
            let Some(peer) = self.peers.get_mut(&instance) else {
                continue;
            };
            if is_up == peer.up_since.is_some() {
                continue;
            }
            peer.up_since = is_up.then_some(now);
            events.push(if is_up {
                MemberEvent::PeerUp { instance }
            } else {
                MemberEvent::PeerDown { instance }
            });
        }
    }

    /// Tells whether the list has dropped this instance.
    pub(crate) fn is_dropped(&self) -> bool {
        let own = self
            .departures
            .stage(&self.identity.id, self.identity.incarnation);
        self.missed_listings >= DROP_AFTER_MISSED || own.is_some_and(|s| s >= Stage::Dropped)
    }

    fn on_departure(&mut self, now: Instant, departure: &Departure) {
        let is_own = departure.id == self.identity.id;
        let is_reachable = self.peers.get(&departure.id).is_some_and(|p| {
            p.incarnation >= departure.incarnation
                && p.last_heartbeat.is_some()
                && !p.lease_expired(now, self.guard())
        });
        let answered = self
            .listed_endpoints
            .get(&departure.id)
            .is_some_and(|e| e.answered_recently(now));
        if departure.stage == Stage::Dropped && (is_reachable || answered) {
            return;
        }
        if is_own
            && departure.incarnation == self.identity.incarnation
            && departure.stage == Stage::Leaving
        {
            self.leaving = true;
        }
        if departure.stage == Stage::Dropped && self.peers.contains_key(&departure.id) {
            self.clear_finished();
        }
        self.record_departure(now, departure);
    }

    /// Forgets which holders have settled, since an instance that ended without a word may have
    /// followed them.
    fn clear_finished(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.last_finished = None;
        }
    }

    /// Makes a peer that was not heard yet; it may rely on what an earlier life of this instance
    /// acknowledged to it, for a lease.
    fn new_peer(&self, now: Instant, zone: &ZoneId, incarnation: Incarnation, tag: u32) -> Peer {
        let same_zone = *zone == self.identity.zone;
        let lease_end = now + self.settings.lease_for(self.zone_size());
        Peer::new(zone.clone(), same_zone, incarnation, tag, lease_end, now)
    }

    /// Takes a new incarnation of a peer in place of the known one.
    fn replace_incarnation(&mut self, now: Instant, id: &InstanceId, mut new: Peer) {
        if let Some(known) = self.peers.get_mut(id) {
            if known.incarnation == UNKNOWN_INCARNATION {
                known.incarnation = new.incarnation;
                return;
            }
            new.previous_listed = known.listed_incarnation;
            let ended = self.departures.stage(id, known.incarnation) == Some(Stage::Ended);
            if !ended {
                self.clear_finished();
                new.claim_after = Some(now + self.settings.guard.get());
            }
        }
        self.peers.insert(id.clone(), new);
    }

    /// Notes the holdings that a peer no longer tells of: it settled them.
    fn record_finished_holdings(&mut self, before: &[Holding], after: &[Holding]) {
        for holding in before {
            let reported = after.iter().find(|h| h.endpoint == holding.endpoint);
            if reported.is_none_or(|h| h.fence != holding.fence) {
                self.record_finished(holding);
            }
        }
        for holding in after.iter().filter(|h| h.phase == Phase::Draining) {
            self.record_finished(holding);
        }
    }

    fn record_finished(&mut self, holding: &Holding) {
        if let Some(replica) = self.replicas.get_mut(&holding.endpoint) {
            replica.record_finished(holding.fence, holding.floor);
        }
    }

    /// Takes what a heartbeat says of its sender; tells whether it was new.
    fn apply_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.from).map(|p| p.incarnation);
        if known.is_none_or(|k| k < heartbeat.incarnation) {
            let new = self.new_peer(now, &heartbeat.zone, heartbeat.incarnation, heartbeat.tag);
            self.replace_incarnation(now, &heartbeat.from, new);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else {
            return false;
        };
        if heartbeat.incarnation < peer.incarnation || heartbeat.seq <= peer.seq {
            return false;
        }
        let same_zone = heartbeat.zone == self.identity.zone;
        let before = peer.held.clone();
        let changed = peer.last_heartbeat.is_none() || same_zone && before != heartbeat.held;
        peer.on_heartbeat(now, heartbeat);
        if let Some(ack) = heartbeat.acks.iter().find(|a| a.tag == self.tag) {
            peer.acked_seq = peer.acked_seq.max(ack.seq);
            peer.own_lease = peer.own_lease.max(self.sent.lease_end(ack.seq));
        }
        self.last_evaluation = self.last_evaluation.filter(|_| !same_zone);
        if changed && same_zone {
            peer.next_heartbeat = now;
            self.record_finished_holdings(&before, &heartbeat.held);
        }
        self.departures
            .refute_drop(&heartbeat.from, heartbeat.incarnation);
        true
    }

    fn apply_contacts(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if heartbeat.contacts.is_empty() || heartbeat.zone == self.identity.zone {
            return;
        }
        let ages: BTreeMap<u32, Duration> = heartbeat
            .contacts
            .iter()
            .map(|c| (c.tag, c.age.get()))
            .collect();
        for peer in self.peers.values_mut().filter(|p| p.zone == heartbeat.zone) {
            let age = ages.get(&peer.tag);
            let Some(at) = age.and_then(|a| now.checked_sub(*a)) else {
                continue;
            };
            peer.call_failed = peer.call_failed.filter(|failed| at <= *failed);
            peer.indirect_contact = peer.indirect_contact.max(Some(at));
        }
    }

    fn count_missed_listings(&mut self) {
        if self.listed {
            self.missed_listings = self.missed_listings.saturating_add(1);
        }
        for peer in self.peers.values_mut() {
            peer.missed_listings = peer.missed_listings.saturating_add(1);
        }
        for endpoint in self.listed_endpoints.values_mut() {
            endpoint.missed_listings = endpoint.missed_listings.saturating_add(1);
        }
    }

    /// Takes its own entry of the list. The list numbers lives in its own way, and may still show
    /// an earlier life: that one's leaving is not meant.
    fn update_own_entry(&mut self, now: Instant, member: &ListedMember) {
        self.listed = true;
        self.missed_listings = 0;
        self.departures
            .refute_drop(&member.id, self.identity.incarnation);
        let is_first = self.own_entry.is_none();
        let entry = self.own_entry.get_or_insert(ListEntry {
            incarnation: member.incarnation,
            leaving: member.leaving,
        });
        let is_newer = member.incarnation > entry.incarnation;
        let starts_leaving = member.leaving && (is_newer || !entry.leaving);
        *entry = ListEntry {
            incarnation: member.incarnation,
            leaving: member.leaving,
        };
        if starts_leaving && !is_first {
            self.leave(now);
        }
    }

    fn update_endpoint(&mut self, now: Instant, member: &ListedMember) {
        let entry = self
            .listed_endpoints
            .entry(member.id.clone())
            .or_insert(ListedEndpoint {
                incarnation: member.incarnation,
                missed_listings: 0,
                last_call: None,
            });
        if member.incarnation >= entry.incarnation {
            entry.incarnation = member.incarnation;
            entry.missed_listings = 0;
            self.departures.refute_drop(&member.id, member.incarnation);
        }
        if member.leaving {
            let departure = Departure {
                id: member.id.clone(),
                incarnation: member.incarnation,
                stage: Stage::Leaving,
            };
            self.record_departure(now, &departure);
        }
    }

    /// Takes a peer's entry of the list, which numbers lives in its own way. An entry that an
    /// earlier life had is not believed to say that this one leaves.
    fn update_instance(&mut self, now: Instant, member: &ListedMember) {
        if !self.peers.contains_key(&member.id) {
            let tag = fences::instance_tag(&member.id, UNKNOWN_INCARNATION, 0);
            let new = self.new_peer(now, &member.zone, UNKNOWN_INCARNATION, tag);
            self.peers.insert(member.id.clone(), new);
        }
        let Some(peer) = self.peers.get_mut(&member.id) else {
            return;
        };
        peer.was_listed = true;
        peer.missed_listings = 0;
        peer.listed_incarnation = peer.listed_incarnation.max(Some(member.incarnation));
        let is_earlier = peer.previous_listed >= Some(member.incarnation);
        let incarnation = peer.incarnation;
        self.departures.refute_drop(&member.id, incarnation);
        if member.leaving && !is_earlier {
            let departure = Departure {
                id: member.id.clone(),
                incarnation,
                stage: Stage::Leaving,
            };
            self.record_departure(now, &departure);
        }
    }

    fn is_up(&self, now: Instant, id: &InstanceId) -> bool {
        let peer = &self.peers[id];
        let stage = self.departures.stage(id, peer.incarnation);
        if stage.is_some_and(|s| s >= Stage::Dropped) {
            return false;
        }
        if peer.same_zone {
            return peer.last_heartbeat.is_some() && !peer.lease_expired(now, self.guard());
        }
        let timeout = self.settings.remote_timeout.get();
        let recent = |at| now.saturating_duration_since(at) <= timeout;
        let contacted = peer
            .last_heartbeat
            .max(peer.indirect_contact)
            .is_some_and(recent);
        peer.call_failed.is_none() && (contacted || peer.was_listed && peer.missed_listings == 0)
    }
}
