//! How [`Members`] claims, keeps and releases replicas of its zone.
//!
//! A heartbeat that tells of a claim, once acknowledged, keeps the peer from ordering on that
//! replica until the lease and the guard have passed in silence.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use caraway_types::{EndpointId, FencingToken, InstanceId};

use crate::{
    EndpointInfo, Holding, MemberEvent, Members, Phase, Presence, Stage, fences,
    peer::Peer,
    rendezvous,
    replica::{Preferred, Replica, Rival},
};

impl Members {
    /// Doubts the holdings after a pause, and gives peers time to be heard again.
    pub(crate) fn notice_pause(&mut self, now: Instant) {
        if !self.paused(now) {
            return;
        }
        self.doubt = Some(now);
        let until = now + self.settings.lease.get();
        for peer in self.peers.values_mut() {
            peer.promised = peer.promised.max(until);
        }
    }

    /// Ends the doubt once the peers of the zone were heard since, or could have been.
    ///
    /// A listing that names this instance is waited for as well, since peers may have taken over
    /// after the list dropped it; without the list, all peers must be heard.
    pub(crate) fn resolve_doubt(&mut self, now: Instant) {
        let Some(since) = self.doubt else {
            return;
        };
        let listed = self.missing == 0 && self.last_listing.is_some_and(|at| at >= since);
        let heard = |p: &Peer| p.heard.is_some_and(|at| at >= since);
        let all_heard = self.zone_peers().all(|(_, p)| heard(p));
        let passed = now > since + self.settings.lease.get() + self.guard();
        let named = self.listed && listed;
        let settled = now >= since + self.guard();
        let sure = all_heard && named && settled;
        if sure || passed && (all_heard || named || !self.listed) {
            self.doubt = None;
        }
    }

    /// Tells whether the list has dropped this instance and some peer may act on that.
    pub(crate) fn outcast(&self, now: Instant) -> bool {
        let trusts = |p: &Peer| p.granted.is_some_and(|end| now < end);
        let may_act = |(id, p): (&InstanceId, &Peer)| {
            let ended = self.marks.stage(id, p.incarnation) == Some(Stage::Ended);
            p.local && !ended && !trusts(p)
        };
        self.dropped() && self.peers.iter().any(may_act)
    }

    /// Tells whether no peer can order an eviction on a claimed replica.
    pub(crate) fn granted(
        &self,
        now: Instant,
        endpoint: &EndpointId,
        claim_seq: u64,
        checks: bool,
    ) -> bool {
        let guard = self.guard();
        let fenced = |p: &Peer| checks && p.silent(now, guard);
        let objects = |p: &Peer| !checks && p.objections.contains(endpoint);
        let grants = |p: &Peer| p.grants(now, endpoint, claim_seq) && !objects(p);
        let keeps_away = |p: &Peer| fenced(p) || grants(p);
        let sole = checks || self.listed && self.surely_sole(now);
        sole && self.zone_peers().all(|(_, p)| keeps_away(p))
    }

    /// Returns the replicas of `claimed` that another heard peer than their claimant orders on. The
    /// two may not hear each other.
    pub(crate) fn objections(
        &self,
        now: Instant,
        claimant: &str,
        claimed: &[Holding],
    ) -> Vec<EndpointId> {
        let rival = |(id, p): (&InstanceId, &Peer), endpoint: &EndpointId| {
            **id != *claimant && self.heard(now, p) && p.orders(endpoint)
        };
        let contested = |h: &&Holding| self.zone_peers().any(|peer| rival(peer, &h.endpoint));
        let claims = claimed.iter().filter(|h| h.phase == Phase::Holding);
        claims
            .filter(contested)
            .map(|h| h.endpoint.clone())
            .collect()
    }

    /// Tells whether no instance outside the zone's live peers can hold anything: none was dropped
    /// a short while ago, and without peers the list still names this instance, as otherwise one
    /// that started since may have seen it dropped.
    fn surely_sole(&self, now: Instant) -> bool {
        let alone = self.zone_peers().next().is_none();
        !self.dropped_lately(now) && (!alone || self.assured_lately(now))
    }

    /// Tells whether a peer of the zone was dropped so lately that it may not know it yet.
    fn dropped_lately(&self, now: Instant) -> bool {
        let lately = |(id, p): (&InstanceId, &Peer)| {
            let dropped = self.marks.stage(id, p.incarnation) == Some(Stage::Dropped);
            let age = self.marks.ended_for(now, id, p.incarnation);
            dropped && p.local && age < Some(self.settings.idle.get())
        };
        self.peers.iter().any(lately)
    }

    /// Tells whether no peer can have seen the list drop this instance, as of a short while ago.
    pub(crate) fn assured_lately(&self, now: Instant) -> bool {
        let half = self.settings.idle.get() / 2;
        let recent = |at| now.saturating_duration_since(at) < half;
        self.assured.is_some_and(recent)
    }

    /// Notes that nobody can have seen the list drop this instance: every peer trusts it, or a
    /// listing names it and either all live peers do or it was assured shortly before.
    pub(crate) fn assure(&mut self, now: Instant, named: bool) {
        let trusts = |p: &Peer| p.granted.is_some_and(|end| now < end);
        let mut all = self.peers.values().filter(|p| p.local).peekable();
        let trusted = all.peek().is_some() && all.all(trusts);
        let live = || self.zone_peers().all(|(_, p)| trusts(p));
        if trusted || named && (self.assured_lately(now) || live()) {
            self.assured = Some(now);
        }
    }

    /// Tells whether no peer can start requests or give orders on a replica.
    pub(crate) fn all_clear(&self, now: Instant, endpoint: &EndpointId) -> bool {
        let clear = |p: &Peer| self.heard(now, p) && p.holding(endpoint).is_none();
        self.zone_peers().all(|(_, p)| clear(p)) && !self.dropped_lately(now)
    }

    /// Chooses and tells holders, claims and releases.
    pub(crate) fn tick_replicas(&mut self, now: Instant, events: &mut Vec<MemberEvent>) {
        self.choose_candidates(now);
        let ids: Vec<EndpointId> = self.replicas.keys().cloned().collect();
        let mut changed = false;
        for endpoint in ids {
            changed |= self.tick_replica(now, &endpoint, events);
        }
        self.tell_holders(now);
        if changed {
            self.hurry(now);
        }
    }

    /// Takes another tag while a known peer of the zone with a smaller id has the same.
    pub(crate) fn settle_tag(&mut self) {
        let idle = self.replicas.values().all(|r| r.held.is_none());
        let taken = |tag: u32| {
            self.zone_peers()
                .any(|(id, p)| p.tag == tag && *id < self.me.id)
        };
        if !idle || !taken(self.tag) {
            return;
        }
        self.salt += 1;
        self.tag = fences::tag(&self.me.id, self.me.incarnation, self.salt);
    }

    fn heard(&self, now: Instant, peer: &Peer) -> bool {
        peer.heard.is_some() && !peer.silent(now, self.guard())
    }

    /// Chooses the candidates for new claims from all live instances, and those to release to
    /// from the ones that were up for a lease.
    fn choose_candidates(&mut self, now: Instant) {
        let lease = self.settings.lease.get();
        let for_a_lease = |since| now.saturating_duration_since(since) >= lease;
        let candidates = self.candidates_of(now, |p| p.up.is_some());
        let steady = self.candidates_of(now, |p| p.up.is_some_and(for_a_lease));
        if candidates != self.candidates || steady != self.steady {
            self.candidates = candidates;
            self.steady = steady;
            self.choose_preferred();
        }
    }

    fn choose_preferred(&mut self) {
        let me = &*self.me.id;
        for replica in self.replicas.values_mut() {
            let mine = |candidates: &BTreeSet<InstanceId>| {
                let ids = candidates.iter().map(|id| &**id);
                rendezvous::choose(&replica.info.id, ids) == Some(me)
            };
            replica.preferred = Preferred {
                to_claim: mine(&self.candidates),
                to_keep: mine(&self.steady),
            };
        }
    }

    /// Returns this instance and the peers that `eligible` accepts, unless they leave; of those,
    /// the ones that the list has named if there are any.
    fn candidates_of(
        &self,
        now: Instant,
        eligible: impl Fn(&Peer) -> bool,
    ) -> BTreeSet<InstanceId> {
        let staying = |id: &str| self.presence(now, id) != Some(Presence::Leaving);
        let peers = self
            .zone_peers()
            .filter(|(id, p)| eligible(p) && staying(id))
            .map(|(id, p)| (id.clone(), p.listed));
        let own = (!self.leaving).then(|| (self.me.id.clone(), self.listed));
        let all: Vec<_> = peers.chain(own).collect();
        let any_listed = all.iter().any(|(_, listed)| *listed);
        let chosen = all.into_iter().filter(|(_, listed)| *listed || !any_listed);
        chosen.map(|(id, _)| id).collect()
    }

    fn tick_replica(
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
                self.report_clearance(now, endpoint, events);
                false
            }
            None if self.may_claim(now, endpoint) => {
                self.claim(now, endpoint, events);
                true
            }
            None => false,
        }
    }

    fn must_release(&self, now: Instant, endpoint: &EndpointId, fence: FencingToken) -> bool {
        let replica = &self.replicas[endpoint];
        let outranked = |p: &Peer| {
            let rival = p.holding(endpoint).filter(|h| h.phase == Phase::Holding);
            rival.is_some_and(|h| h.fence > fence)
        };
        let rival = self
            .zone_peers()
            .any(|(_, p)| self.heard(now, p) && outranked(p));
        let fenced = replica.rival.is_some();
        let elsewhere = self.doubt.is_none() && !replica.preferred.to_keep;
        rival || fenced || elsewhere || self.outcast(now)
    }

    fn release(&mut self, endpoint: &EndpointId, events: &mut Vec<MemberEvent>) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.release();
        }
        events.push(MemberEvent::Lost {
            endpoint: endpoint.clone(),
        });
    }

    /// A replica is claimed when it falls to this instance and nobody else orders on it, as far
    /// as can be told. Silent peers had their lease and guard.
    fn may_claim(&self, now: Instant, endpoint: &EndpointId) -> bool {
        let replica = &self.replicas[endpoint];
        let ready = self.doubt.is_none() && !self.leaving && !self.outcast(now);
        let draining = replica.held.is_some();
        let blocked = replica.rival.is_some_and(|r| self.blocked_by(now, r));
        let free = |p: &Peer| {
            let quiet = p.quiet.is_none_or(|until| now >= until);
            let known = self.heard(now, p) || p.silent(now, self.guard());
            let taken = self.heard(now, p) && p.orders(endpoint);
            quiet && known && !taken
        };
        let free = || self.zone_peers().all(|(_, p)| free(p));
        ready && !draining && !blocked && replica.preferred.to_claim && free()
    }

    /// A larger token keeps this instance away while its maker may still use it.
    fn blocked_by(&self, now: Instant, rival: Rival) -> bool {
        match self.zone_peers().find(|(_, p)| p.tag == rival.tag) {
            Some((_, peer)) => !self.heard(now, peer),
            None => now < rival.since + self.settings.lease.get() + self.guard(),
        }
    }

    fn claim(&mut self, now: Instant, endpoint: &EndpointId, events: &mut Vec<MemberEvent>) {
        let floor = self.inherited_floor(now, endpoint);
        let fence = self.fences.next(endpoint, self.tag);
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.claim(fence, floor.unwrap_or(fence), self.seq + 1);
        }
        events.push(MemberEvent::Acquired {
            endpoint: endpoint.clone(),
            fence,
            adopt: floor.is_some(),
        });
        self.report_clearance(now, endpoint, events);
    }

    /// Returns the floor of the last holder when its orders are known to have settled.
    ///
    /// After any other end, an order of the last holder may still come, however late, and would
    /// unload a load by the name that it knows.
    fn inherited_floor(&self, now: Instant, endpoint: &EndpointId) -> Option<FencingToken> {
        let settled = self.replicas[endpoint].settled?;
        let newest = self.fences.largest(endpoint) == settled.fence;
        let all_heard = self.zone_peers().all(|(_, p)| self.heard(now, p));
        (newest && all_heard).then_some(settled.floor)
    }

    /// Uses every earlier load once a checking engine has accepted the own token: it refuses all
    /// earlier orders from then on.
    fn adopt_fenced(&mut self, endpoint: &EndpointId) -> bool {
        let Some(replica) = self.replicas.get_mut(endpoint) else {
            return false;
        };
        let Some(held) = &mut replica.held else {
            return false;
        };
        let fenced = replica.info.checks_fencing && replica.accepted == held.fence;
        if !fenced || held.adopted {
            return false;
        }
        held.adopted = true;
        held.floor = 0;
        true
    }

    fn report_clearance(
        &mut self,
        now: Instant,
        endpoint: &EndpointId,
        events: &mut Vec<MemberEvent>,
    ) {
        if self.adopt_fenced(endpoint) {
            events.push(MemberEvent::Adopt {
                endpoint: endpoint.clone(),
            });
        }
        let cleared = self.cleared(now, endpoint);
        let replica = self.replicas.get_mut(endpoint);
        let Some(held) = replica.and_then(|r| r.held.as_mut()) else {
            return;
        };
        if cleared && !held.cleared {
            events.push(MemberEvent::Cleared {
                endpoint: endpoint.clone(),
            });
        }
        held.cleared = cleared;
    }

    /// Notes who holds each replica of the zone.
    fn tell_holders(&mut self, now: Instant) {
        let mut holders: BTreeMap<EndpointId, (FencingToken, InstanceId)> = BTreeMap::new();
        let own = self.replicas.values().filter_map(Replica::told);
        let own = own.map(|h| (h, &self.me.id));
        let peers = self.zone_peers().filter(|(_, p)| self.heard(now, p));
        let theirs = peers.flat_map(|(id, p)| p.held.iter().map(move |h| (h.clone(), id)));
        for (holding, id) in theirs.chain(own) {
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

    /// Returns the instance of another zone that a replica there falls to, as seen from here.
    pub(crate) fn likely_holder(&self, replica: &EndpointInfo) -> Option<&InstanceId> {
        let there = |(id, p): &(&InstanceId, &Peer)| {
            let staying = self.marks.stage(id, p.incarnation).is_none();
            p.zone == replica.zone && p.up.is_some() && staying
        };
        let ids = self.peers.iter().filter(there).map(|(id, _)| &**id);
        let chosen = rendezvous::choose(&replica.id, ids)?;
        self.peers.get_key_value(chosen).map(|(id, _)| id)
    }
}
