//! How a [`Node`] talks with its peers.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use caraway_routing::Change;
use caraway_types::{AdapterRef, EndpointId, InstanceId};

use crate::{Gossip, Node, Output, Room, engine::store_id, orders::narrow};

/// Up to this many peers, each hears of all residents; beyond, only of those it is the home of.
const BROADCAST: usize = 16;
/// A want that has not changed is repeated after this time.
const WANT_REPEAT: Duration = Duration::from_secs(1);
/// Two wants to the same peer are at least this far apart in a small fleet.
const WANT_GAP: Duration = Duration::from_millis(100);
/// Scores that differ by less than this share count as unchanged.
const WANT_SLACK: f32 = 0.5;
/// Number of peers beyond which the gap between wants grows with them.
const WANT_PEERS: u32 = 8;
/// A want of a peer is forgotten after this time.
const WANT_AGE: Duration = Duration::from_millis(1500);
/// Scores that a want carries.
const WANT_DEPTH: usize = 4;

impl Node {
    pub(crate) fn on_gossip(&mut self, now: Instant, gossip: Gossip) {
        let from = gossip.from;
        if let Some(beat) = &gossip.heartbeat {
            self.members.on_heartbeat(now, beat);
        }
        if gossip.resend {
            self.journal.send_full_next(&from);
        }
        if let Some(delta) = &gossip.delta
            && self.directory.apply(&from, delta).is_err()
        {
            self.message(&from).resend = true;
        }
        if let Some(room) = gossip.room {
            self.rooms.insert(from.clone(), (room, now));
        }
        if let Some(want) = gossip.want {
            self.wants.insert(from.clone(), (want, now));
        }
        for back in gossip.returns {
            self.budget.on_return(now, &from, back);
        }
        for grant in gossip.grants {
            if let Some(back) = self.budget.on_grant(now, &from, grant) {
                self.message(&from).returns.push(back);
            }
        }
    }

    /// Returns the message to a peer that goes out at the end of this input.
    pub(crate) fn message(&mut self, peer: &InstanceId) -> &mut Gossip {
        self.outbox.entry(peer.clone()).or_default()
    }

    /// Notes that an adapter version came to a replica or left it.
    pub(crate) fn note_change(
        &mut self,
        endpoint: &EndpointId,
        adapter: &AdapterRef,
        gained: bool,
    ) {
        let change = Change {
            endpoint: endpoint.clone(),
            adapter: adapter.clone(),
            gained,
        };
        let peers: Vec<InstanceId> = self.members.peers().map(|(id, _)| id.clone()).collect();
        if peers.len() <= BROADCAST {
            for peer in &peers {
                self.journal.push(peer, &change);
            }
        } else if let Some(home) = self.home_now(adapter) {
            self.journal.push(&home, &change);
        }
    }

    fn home_now(&self, adapter: &AdapterRef) -> Option<InstanceId> {
        self.home(self.next_gossip, adapter, |_| true)
    }

    /// Gives back borrowed permits beyond `needed`.
    pub(crate) fn give_back(&mut self, now: Instant, needed: usize) {
        for (owner, back) in self.budget.return_unused(now, needed) {
            self.message(&owner).returns.push(back);
        }
    }

    /// Tells the owners of permits how urgently this instance wants some.
    pub(crate) fn want(&mut self, now: Instant, mut scores: Vec<f32>) {
        scores.truncate(WANT_DEPTH);
        if scores.is_empty() {
            // Owners forget the last want by themselves.
            return;
        }
        let gap = self.want_gap();
        let told = self.wanted.as_ref().is_some_and(|(at, told)| {
            let age = now.saturating_duration_since(*at);
            let near = |(a, b): (&f32, &f32)| (a - b).abs() <= WANT_SLACK * a.max(*b);
            let close = told.len() == scores.len() && told.iter().zip(&scores).all(near);
            age < gap || close && age < WANT_REPEAT
        });
        if told {
            return;
        }
        self.wanted = Some((now, scores.clone()));
        let want = self.budget.new_request(now, scores);
        let zones: Vec<_> = self.zones.iter().cloned().collect();
        for zone in zones {
            let owner = self.members.holder(&store_id(&zone)).cloned();
            if let Some(owner) = owner.filter(|o| *o != self.settings.id) {
                self.message(&owner).want = Some(want.clone());
            }
        }
    }

    /// Returns the shortest time between two wants, so that a large fleet sends no more of them.
    fn want_gap(&self) -> Duration {
        let peers = u32::try_from(self.members.peers().count()).unwrap_or(u32::MAX);
        WANT_GAP * (peers / WANT_PEERS).max(1)
    }

    /// Lends permits to peers whose wants are more urgent than this instance's own.
    pub(crate) fn lend(&mut self, now: Instant) {
        if self.wants.is_empty() || self.budget.lendable(now) == 0 {
            return;
        }
        self.wants
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < WANT_AGE);
        let mut own = self
            .wanted_loads(now)
            .into_iter()
            .map(|(s, _)| narrow(s))
            .peekable();
        let mut lendable = self.budget.lendable(now);
        while lendable > 0 {
            let best = self
                .wants
                .iter()
                .filter_map(|(peer, (want, _))| Some((*want.scores.first()?, peer)))
                .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
            let Some((score, peer)) = best else {
                return;
            };
            lendable -= 1;
            if own.peek().is_some_and(|s| *s >= score) {
                own.next();
                continue;
            }
            let peer = peer.clone();
            self.lend_to(now, &peer);
        }
    }

    fn lend_to(&mut self, now: Instant, peer: &InstanceId) {
        let Some((want, _)) = self.wants.get_mut(peer) else {
            return;
        };
        want.scores.remove(0);
        let number = want.number;
        if let Some(grant) = self.budget.lend(now, peer, number) {
            self.message(peer).grants.push(grant);
        }
    }

    /// Sends what must go out now.
    pub(crate) fn flush_gossip(&mut self, now: Instant, out: &mut Vec<Output>) {
        let due = self.members.due_peers(now);
        for peer in &due {
            let beat = self.members.heartbeat_to(now, peer);
            self.message(peer).heartbeat = Some(Box::new(beat));
        }
        if !due.is_empty() {
            self.tell_room(now, &due);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_interval.get();
            self.tell_changes();
        }
        for (peer, mut gossip) in std::mem::take(&mut self.outbox) {
            gossip.from = self.settings.id.clone();
            if self.journal.has_changes(&peer) {
                gossip.delta = Some(self.delta(now, &peer));
            }
            out.push(Output::Gossip { peer, gossip });
        }
    }

    /// Tells the peers that hear a heartbeat what loads here would cost, and which configuration is
    /// in force. It rides with the heartbeat, as a message of its own costs mostly its envelope.
    fn tell_room(&mut self, now: Instant, due: &BTreeSet<InstanceId>) {
        let costs = self.room_costs(now);
        for peer in due {
            let room = Room {
                costs: costs.clone(),
                running: self.running(),
                evidence: self.evidence,
            };
            let config = self.config_mark;
            let message = self.message(peer);
            message.room = Some(room);
            message.config = Some(config);
        }
    }

    /// Opens a message to each peer that misses changes of residency.
    fn tell_changes(&mut self) {
        let peers: Vec<InstanceId> = self.members.peers().map(|(id, _)| id.clone()).collect();
        for peer in peers.iter().filter(|p| self.journal.has_changes(p)) {
            self.outbox.entry(peer.clone()).or_default();
        }
    }

    fn delta(&mut self, now: Instant, peer: &InstanceId) -> caraway_routing::Delta {
        let all_peers = self.members.peers().count() <= BROADCAST;
        let mut all = Vec::new();
        for (endpoint, engine) in self.engines.iter().filter(|(_, e)| e.fence.is_some()) {
            for adapter in engine.expected() {
                if all_peers || self.home(now, adapter, |_| true).as_ref() == Some(peer) {
                    all.push(Change {
                        endpoint: endpoint.clone(),
                        adapter: adapter.clone(),
                        gained: true,
                    });
                }
            }
        }
        self.journal.next_delta(peer, || all)
    }
}
