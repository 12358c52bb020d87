//! How [`Members`] claims, keeps and releases replicas of its zone.
//!
//! An instance claims a replica by reporting it in its heartbeats. A peer that acknowledges such a
//! heartbeat sends no orders to that replica until the lease and then the setting `guard` have
//! passed without another heartbeat.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use caraway_types::{EndpointId, FencingToken, InstanceId};

use crate::{
    EndpointInfo, Holding, MemberEvent, Members, Phase, Presence, Stage, fences,
    peer::Peer,
    rendezvous,
    replica::{HigherToken, Preferred, Replica},
};

impl Members {
    /// Starts a resync after this process was suspended, and extends the leases of peers, so that
    /// none of them counts as unreachable before its heartbeats can arrive.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        if !self.was_paused(now) {
            return;
        }
        self.resync_since = Some(now);
        let until = now + self.settings.lease.get();
        for peer in self.peers.values_mut() {
            peer.lease_end = peer.lease_end.max(until);
        }
    }

    /// Ends the resync once all peers of the zone have sent a heartbeat and a listing has named
    /// this instance. The listing counts because peers may have taken over replicas after the list
    /// dropped this instance.
    ///
    /// Once the lease and the guard have passed, either the heartbeats or the listing is enough. An
    /// instance that no listing has ever named then needs neither of them.
    pub(crate) fn finish_resync(&mut self, now: Instant) {
        let Some(since) = self.resync_since else {
            return;
        };
        let has_listing =
            self.missed_listings == 0 && self.last_listing.is_some_and(|at| at >= since);
        let contacted = |p: &Peer| p.last_heartbeat.is_some_and(|at| at >= since);
        let all_contacted = self.zone_peers().all(|(_, p)| contacted(p));
        let lease_passed = now > since + self.settings.lease.get() + self.guard();
        let named = self.listed && has_listing;
        let guard_passed = now >= since + self.guard();
        let is_current = all_contacted && named && guard_passed;
        if is_current || lease_passed && (all_contacted || named || !self.listed) {
            self.resync_since = None;
        }
    }

    /// Returns whether the list has dropped this instance and some peer may take over its replicas.
    pub(crate) fn may_be_replaced(&self, now: Instant) -> bool {
        let grants_lease = |p: &Peer| p.received_lease.is_some_and(|end| now < end);
        let may_act = |(id, p): (&InstanceId, &Peer)| {
            let ended = self.departures.stage(id, p.incarnation) == Some(Stage::Ended);
            p.same_zone && !ended && !grants_lease(p)
        };
        self.is_dropped() && self.peers.iter().any(may_act)
    }

    /// Returns whether no peer can order an eviction on a claimed replica.
    pub(crate) fn is_claim_exclusive(
        &self,
        now: Instant,
        endpoint: &EndpointId,
        claim_seq: u64,
        checks_fencing: bool,
    ) -> bool {
        let guard = self.guard();
        let lease_over = |p: &Peer| checks_fencing && p.lease_expired(now, guard);
        let objects = |p: &Peer| !checks_fencing && p.objections.contains(endpoint);
        let accepts = |p: &Peer| p.acknowledges_claim(now, endpoint, claim_seq) && !objects(p);
        let excluded = |p: &Peer| lease_over(p) || accepts(p);
        let no_other = checks_fencing || self.listed && self.no_unknown_holder(now);
        no_other && self.zone_peers().all(|(_, p)| excluded(p))
    }

    /// Returns the replicas in `claimed` to which a reachable peer other than `claimant` sends
    /// orders. The claimant may not receive that peer's heartbeats itself.
    pub(crate) fn objections(
        &self,
        now: Instant,
        claimant: &str,
        claimed: &[Holding],
    ) -> Vec<EndpointId> {
        let is_rival = |(id, p): (&InstanceId, &Peer), endpoint: &EndpointId| {
            **id != *claimant && self.is_reachable(now, p) && p.is_ordering(endpoint)
        };
        let contested = |h: &&Holding| self.zone_peers().any(|peer| is_rival(peer, &h.endpoint));
        let claims = claimed.iter().filter(|h| h.phase == Phase::Holding);
        claims
            .filter(contested)
            .map(|h| h.endpoint.clone())
            .collect()
    }

    /// Returns whether no instance other than the zone's known peers can hold a replica.
    ///
    /// This requires that no peer was dropped recently. Without peers, it must also have been
    /// confirmed recently that this instance is in the list: if the list had dropped it, an
    /// instance that started later could have claimed the replica.
    fn no_unknown_holder(&self, now: Instant) -> bool {
        let no_peers = self.zone_peers().next().is_none();
        !self.peer_recently_dropped(now) && (!no_peers || self.recently_confirmed(now))
    }

    /// Returns whether a peer of the zone was dropped within the setting `idle`. Such a peer may not
    /// know yet that the list has dropped it.
    fn peer_recently_dropped(&self, now: Instant) -> bool {
        let recently = |(id, p): (&InstanceId, &Peer)| {
            let dropped = self.departures.stage(id, p.incarnation) == Some(Stage::Dropped);
            let age = self.departures.time_since_end(now, id, p.incarnation);
            dropped && p.same_zone && age < Some(self.settings.idle.get())
        };
        self.peers.iter().any(recently)
    }

    /// Returns whether `confirmed_at` is less than half of the setting `idle` ago.
    pub(crate) fn recently_confirmed(&self, now: Instant) -> bool {
        let half = self.settings.idle.get() / 2;
        let recent = |at| now.saturating_duration_since(at) < half;
        self.confirmed_at.is_some_and(recent)
    }

    /// Records that no peer can have found this instance dropped from the list, if that holds.
    ///
    /// It holds if every peer of the zone grants it a lease. It also holds if the latest listing
    /// names it (`named`) and either all peers that were not dropped and have not ended grant it a
    /// lease or it was confirmed recently.
    pub(crate) fn confirm_listed(&mut self, now: Instant, named: bool) {
        let grants_lease = |p: &Peer| p.received_lease.is_some_and(|end| now < end);
        let mut peers = self.peers.values().filter(|p| p.same_zone).peekable();
        let all_granted = peers.peek().is_some() && peers.all(grants_lease);
        let live_granted = || self.zone_peers().all(|(_, p)| grants_lease(p));
        if all_granted || named && (self.recently_confirmed(now) || live_granted()) {
            self.confirmed_at = Some(now);
        }
    }

    /// Returns whether no peer can start requests or send orders on a replica.
    pub(crate) fn is_unused_by_peers(&self, now: Instant, endpoint: &EndpointId) -> bool {
        let is_unused = |p: &Peer| self.is_reachable(now, p) && p.holding(endpoint).is_none();
        self.zone_peers().all(|(_, p)| is_unused(p)) && !self.peer_recently_dropped(now)
    }

    /// Claims and releases replicas, and updates who holds each one.
    pub(crate) fn update_replicas(&mut self, now: Instant, events: &mut Vec<MemberEvent>) {
        self.update_candidates(now);
        let ids: Vec<EndpointId> = self.replicas.keys().cloned().collect();
        let mut changed = false;
        for endpoint in ids {
            changed |= self.update_replica(now, &endpoint, events);
        }
        self.update_holders(now);
        if changed {
            self.expedite_heartbeats(now);
        }
    }

    /// Changes the tag in this instance's fencing tokens if a known peer of the zone with
    /// a smaller id has the same one.
    pub(crate) fn resolve_tag_collision(&mut self) {
        let holds_none = self.replicas.values().all(|r| r.held.is_none());
        let taken = |tag: u32| {
            self.zone_peers()
                .any(|(id, p)| p.tag == tag && *id < self.identity.id)
        };
        if !holds_none || !taken(self.tag) {
            return;
        }
        self.tag_salt += 1;
        self.tag =
            fences::instance_tag(&self.identity.id, self.identity.incarnation, self.tag_salt);
    }

    /// Returns whether a heartbeat of the peer was received within its lease and the guard.
    fn is_reachable(&self, now: Instant, peer: &Peer) -> bool {
        peer.last_heartbeat.is_some() && !peer.lease_expired(now, self.guard())
    }

    /// Updates the candidates for new claims, from all live instances, and the stable candidates
    /// for handing over, from those that have been live for a lease.
    fn update_candidates(&mut self, now: Instant) {
        let lease = self.settings.lease.get();
        let is_stable = |since| now.saturating_duration_since(since) >= lease;
        let candidates = self.eligible_candidates(now, |p| p.up_since.is_some());
        let stable_candidates =
            self.eligible_candidates(now, |p| p.up_since.is_some_and(is_stable));
        if candidates != self.candidates || stable_candidates != self.stable_candidates {
            self.candidates = candidates;
            self.stable_candidates = stable_candidates;
            self.update_preferred();
        }
    }

    /// Updates which replicas rendezvous hashing assigns to this instance.
    fn update_preferred(&mut self) {
        let me = &*self.identity.id;
        for replica in self.replicas.values_mut() {
            let is_own = |candidates: &BTreeSet<InstanceId>| {
                let ids = candidates.iter().map(|id| &**id);
                rendezvous::choose(&replica.info.id, ids) == Some(me)
            };
            replica.preferred = Preferred {
                to_claim: is_own(&self.candidates),
                to_keep: is_own(&self.stable_candidates),
            };
        }
    }

    /// Returns the instances that are not leaving, out of this one and the peers that `eligible`
    /// accepts. If the list has named some of them, only those are returned.
    fn eligible_candidates(
        &self,
        now: Instant,
        eligible: impl Fn(&Peer) -> bool,
    ) -> BTreeSet<InstanceId> {
        let is_staying = |id: &str| self.presence(now, id) != Some(Presence::Leaving);
        let peers = self
            .zone_peers()
            .filter(|(id, p)| eligible(p) && is_staying(id))
            .map(|(id, p)| (id.clone(), p.listed));
        let own = (!self.leaving).then(|| (self.identity.id.clone(), self.listed));
        let all: Vec<_> = peers.chain(own).collect();
        let any_listed = all.iter().any(|(_, listed)| *listed);
        let chosen = all.into_iter().filter(|(_, listed)| *listed || !any_listed);
        chosen.map(|(id, _)| id).collect()
    }

    /// Claims, releases or keeps a replica; returns whether this instance's holding changed.
    fn update_replica(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        events: &mut Vec<MemberEvent>,
    ) -> bool {
        let holding = self.replicas[endpoint].holding().map(|h| h.fence);
        match holding {
            Some(fence) if self.must_release(now, endpoint, fence) => {
                self.release(endpoint, events);
                true
            }
            Some(_) => {
                self.report_inherited(now, endpoint, events);
                false
            }
            None if self.may_claim(now, endpoint) => {
                self.claim(now, endpoint, events);
                true
            }
            None => false,
        }
    }

    /// Returns whether this instance must give up a replica: a peer or the engine has a larger
    /// token, the replica is assigned to another instance, or the list has dropped this instance.
    fn must_release(&self, now: Instant, endpoint: &EndpointId, fence: FencingToken) -> bool {
        let replica = &self.replicas[endpoint];
        let has_newer = |p: &Peer| {
            let held = p.holding(endpoint).filter(|h| h.phase == Phase::Holding);
            held.is_some_and(|h| h.fence > fence)
        };
        let superseded = self
            .zone_peers()
            .any(|(_, p)| self.is_reachable(now, p) && has_newer(p));
        let token_superseded = replica.higher_token.is_some();
        let reassigned = self.resync_since.is_none() && !replica.preferred.to_keep;
        superseded || token_superseded || reassigned || self.may_be_replaced(now)
    }

    fn release(&mut self, endpoint: &EndpointId, events: &mut Vec<MemberEvent>) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.release();
        }
        events.push(MemberEvent::Lost {
            endpoint: endpoint.clone(),
        });
    }

    /// Returns whether this instance may claim a replica: it is assigned to this instance, and no
    /// peer sends orders to it. An unreachable peer cannot, once its lease and the guard have
    /// passed.
    fn may_claim(&self, now: Instant, endpoint: &EndpointId) -> bool {
        let replica = &self.replicas[endpoint];
        let ready = self.resync_since.is_none() && !self.leaving && !self.may_be_replaced(now);
        let draining = replica.held.is_some();
        let blocked = replica
            .higher_token
            .is_some_and(|t| self.blocked_by_token(now, t));
        let is_free = |p: &Peer| {
            let claimable = p.claim_blocked_until.is_none_or(|until| now >= until);
            let known = self.is_reachable(now, p) || p.lease_expired(now, self.guard());
            let ordering = self.is_reachable(now, p) && p.is_ordering(endpoint);
            claimable && known && !ordering
        };
        let all_free = || self.zone_peers().all(|(_, p)| is_free(p));
        ready && !draining && !blocked && replica.preferred.to_claim && all_free()
    }

    /// Returns whether a larger token prevents a claim, because its issuer may still use it.
    fn blocked_by_token(&self, now: Instant, token: HigherToken) -> bool {
        match self.zone_peers().find(|(_, p)| p.tag == token.tag) {
            Some((_, peer)) => !self.is_reachable(now, peer),
            None => now < token.since + self.settings.lease.get() + self.guard(),
        }
    }

    fn claim(&mut self, now: Instant, endpoint: &EndpointId, events: &mut Vec<MemberEvent>) {
        let floor = self.inherited_min_token(now, endpoint);
        let fence = self.fences.issue(endpoint, self.tag);
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.claim(fence, floor.unwrap_or(fence), self.seq + 1);
        }
        events.push(MemberEvent::Acquired {
            endpoint: endpoint.clone(),
            fence,
            adopt: floor.is_some(),
        });
        self.report_inherited(now, endpoint, events);
    }

    /// Returns the smallest usable token of the last holder if its orders are known to be finished.
    ///
    /// Otherwise an order of the last holder may still reach the engine, however late, and unload a
    /// load whose name that holder knew.
    fn inherited_min_token(&self, now: Instant, endpoint: &EndpointId) -> Option<FencingToken> {
        let finished = self.replicas[endpoint].last_finished?;
        let newest = self.fences.largest(endpoint) == finished.fence;
        let all_reachable = self.zone_peers().all(|(_, p)| self.is_reachable(now, p));
        (newest && all_reachable).then_some(finished.floor)
    }

    /// Makes all inherited loads usable once an engine that checks tokens has accepted this
    /// instance's token, as it then refuses all earlier orders; returns whether that is new.
    fn allow_inherited(&mut self, endpoint: &EndpointId) -> bool {
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return false;
        };
        let Some(held) = &mut replica.held else {
            return false;
        };
        let fenced = replica.info.checks_fencing && replica.accepted == held.fence;
        if !fenced || held.inherited_usable {
            return false;
        }
        held.inherited_usable = true;
        held.floor = 0;
        true
    }

    /// Reports when inherited loads on a held replica may be used or evicted.
    fn report_inherited(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        events: &mut Vec<MemberEvent>,
    ) {
        if self.allow_inherited(endpoint) {
            events.push(MemberEvent::Adopt {
                endpoint: endpoint.clone(),
            });
        }
        let inherited_evictable = self.may_evict_inherited(now, endpoint);
        let replica = self.replicas.get_mut(endpoint);
        let Some(held) = replica.and_then(|r| r.held.as_mut()) else {
            return;
        };
        if inherited_evictable && !held.inherited_evictable {
            events.push(MemberEvent::EvictionAllowed {
                endpoint: endpoint.clone(),
            });
        }
        held.inherited_evictable = inherited_evictable;
    }

    /// Updates the holder of each replica of the zone: the instance with the largest token that
    /// reports it as held.
    fn update_holders(&mut self, now: Instant) {
        let mut holders: BTreeMap<EndpointId, (FencingToken, InstanceId)> = BTreeMap::new();
        let own = self.replicas.values().filter_map(Replica::reported);
        let own = own.map(|h| (h, &self.identity.id));
        let peers = self.zone_peers().filter(|(_, p)| self.is_reachable(now, p));
        let of_peers = peers.flat_map(|(id, p)| p.held.iter().map(move |h| (h.clone(), id)));
        for (holding, id) in of_peers.chain(own) {
            if holding.phase == Phase::Holding {
                let next = (holding.fence, id.clone());
                let entry = holders.entry(holding.endpoint).or_insert(next.clone());
                *entry = next.max(entry.clone());
            }
        }
        for replica in self.replicas.values_mut() {
            replica.holder = holders.remove(&replica.info.id).map(|(_, id)| id);
        }
    }

    /// Returns the live instance of another zone to which rendezvous hashing assigns a replica
    /// there.
    pub(crate) fn likely_holder(&self, replica: &EndpointInfo) -> Option<&InstanceId> {
        let in_zone = |(id, p): &(&InstanceId, &Peer)| {
            let is_staying = self.departures.stage(id, p.incarnation).is_none();
            p.zone == replica.zone && p.up_since.is_some() && is_staying
        };
        let ids = self.peers.iter().filter(in_zone).map(|(id, _)| &**id);
        let chosen = rendezvous::choose(&replica.id, ids)?;
        self.peers.get_key_value(chosen).map(|(id, _)| id)
    }
}
