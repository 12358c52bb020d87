//! How [`Members`] determines which members are live, leaving or gone.

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

/// Number of listings in a row without a member after which it counts as dropped.
const DROP_AFTER_MISSED: u8 = 2;
/// The same for an instance that no listing has ever named, but that has sent heartbeats.
const DROP_UNLISTED_AFTER_MISSED: u8 = 30;
/// How long after an answered call an endpoint does not count as dropped.
const ANSWER_MAX_AGE: Duration = Duration::from_secs(10);

impl ListedEndpoint {
    /// Returns whether the last call to it was answered, within [`ANSWER_MAX_AGE`].
    fn answered_recently(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < ANSWER_MAX_AGE;
        self.last_call.is_some_and(|(ok, at)| ok && recent(at))
    }
}

impl Members {
    /// Updates the state from a peer's heartbeat.
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

    /// Updates the state from the platform's list. A list without any instance is ignored as
    /// faulty, since this instance is live.
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

    /// Records as dropped the members that the list no longer names and that are unreachable.
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

    /// Updates which peers are up, and reports those that changed.
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

    /// Returns whether the list has dropped this instance, as known here or from a peer.
    pub(crate) fn is_dropped(&self) -> bool {
        let own = self
            .departures
            .stage(&self.identity.id, self.identity.incarnation);
        self.missed_listings >= DROP_AFTER_MISSED || own.is_some_and(|s| s >= Stage::Dropped)
    }

    /// Handles a departure that a peer reports. A drop is ignored after contact with the member.
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

    /// Removes the records of finished holders. An instance that ended without reporting it may
    /// have held their replicas later, so its orders may still be in flight.
    fn clear_finished(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.last_finished = None;
        }
    }

    /// Creates a peer from which no heartbeat was received. It is given a full lease, because an
    /// earlier incarnation of this instance may have granted it one.
    fn new_peer(&self, now: Instant, zone: &ZoneId, incarnation: Incarnation, tag: u32) -> Peer {
        let same_zone = *zone == self.identity.zone;
        let lease_end = now + self.settings.lease_for(self.zone_size());
        Peer::new(zone.clone(), same_zone, incarnation, tag, lease_end, now)
    }

    /// Replaces a known peer by a new incarnation of it.
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
                new.claim_blocked_until = Some(now + self.settings.guard.get());
            }
        }
        self.peers.insert(id.clone(), new);
    }

    /// Records as finished the holdings that a peer no longer reports or reports as draining.
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

    /// Updates the sender of a heartbeat; returns `false` if a newer heartbeat was received before.
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
            peer.received_lease = peer.received_lease.max(self.sent.lease_end(ack.seq));
        }
        self.last_evaluation = self.last_evaluation.filter(|_| !same_zone);
        if changed && same_zone {
            peer.next_heartbeat = now;
            self.record_finished_holdings(&before, &heartbeat.held);
        }
        self.departures
            .cancel_drop(&heartbeat.from, heartbeat.incarnation);
        true
    }

    /// Updates peers of another zone from the contacts that the sender reports.
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
            peer.call_failed_at = peer.call_failed_at.filter(|failed| at <= *failed);
            peer.indirect_contact = peer.indirect_contact.max(Some(at));
        }
    }

    /// Counts a listing as missed by every member; those that it names are reset afterwards.
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

    /// Updates this instance's own entry in the list and leaves if the entry starts to say so.
    ///
    /// The list has incarnation numbers of its own and may still show an earlier incarnation. An
    /// entry that is already leaving when first read is therefore ignored until it changes.
    fn update_own_entry(&mut self, now: Instant, member: &ListedMember) {
        self.listed = true;
        self.missed_listings = 0;
        self.departures
            .cancel_drop(&member.id, self.identity.incarnation);
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

    /// Updates an endpoint from its entry in the list.
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
            self.departures.cancel_drop(&member.id, member.incarnation);
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

    /// Updates a peer from its entry in the list, which numbers incarnations in its own way. An
    /// entry of an earlier incarnation does not make this one leave.
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
        self.departures.cancel_drop(&member.id, incarnation);
        if member.leaving && !is_earlier {
            let departure = Departure {
                id: member.id.clone(),
                incarnation,
                stage: Stage::Leaving,
            };
            self.record_departure(now, &departure);
        }
    }

    /// Returns whether a peer is live: one of this zone by its heartbeats, one of another zone by
    /// direct or indirect contact or the list, unless the last call to it failed.
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
        peer.call_failed_at.is_none() && (contacted || peer.was_listed && peer.missed_listings == 0)
    }
}
