//! Gossip of a [`Node`] with its peers: heartbeats, residency changes, permits and capacity.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use caraway_routing::Change;
use caraway_types::{AdapterRef, EndpointId, InstanceId};

use crate::{CapacityReport, Gossip, Node, Output, engine::store_id, orders::to_f32};

/// Maximum number of peers to send every residency change to. With more peers, a change is sent
/// only to the home of the adapter version, see [`Node::find_home`].
const MAX_BROADCAST_PEERS: usize = 16;
/// Time after which an unchanged permit request is sent again, before owners drop the last one.
const REQUEST_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two permit requests in a small deployment.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Relative difference up to which two scores count as equal.
const SCORE_TOLERANCE: f32 = 0.5;
/// Number of peers for each [`MIN_REQUEST_INTERVAL`] of the interval between two permit requests,
/// so that owners receive them at a bounded rate.
const PEERS_PER_INTERVAL: u32 = 8;
/// Time after which a peer's permit request expires.
const REQUEST_LIFETIME: Duration = Duration::from_millis(1500);
/// Maximum number of scores in a permit request.
const MAX_REQUEST_SCORES: usize = 4;

impl Node {
    /// Handles a message from a peer.
    pub(crate) fn on_gossip(&mut self, now: Instant, gossip: Gossip) {
        let from = gossip.from;
        if let Some(heartbeat) = &gossip.heartbeat {
            self.members.on_heartbeat(now, heartbeat);
        }
        if gossip.resend {
            self.change_outbox.send_full_next(&from);
        }
        if let Some(delta) = &gossip.delta
            && self.directory.apply(&from, delta).is_err()
        {
            self.message_to(&from).resend = true;
        }
        if let Some(capacity) = gossip.capacity {
            self.peer_capacity.insert(from.clone(), (capacity, now));
        }
        if let Some(request) = gossip.permit_request {
            self.permit_requests.insert(from.clone(), (request, now));
        }
        for returned in gossip.returns {
            self.load_budget.on_return(now, &from, returned);
        }
        for grant in gossip.grants {
            if let Some(returned) = self.load_budget.on_grant(now, &from, grant) {
                self.message_to(&from).returns.push(returned);
            }
        }
    }

    /// Returns the message to a peer that is sent at the end of the current input.
    pub(crate) fn message_to(&mut self, peer: &InstanceId) -> &mut Gossip {
        self.outgoing.entry(peer.clone()).or_default()
    }

    /// Queues the residency change of an adapter version for the peers that must know it.
    pub(crate) fn record_change(
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
        if peers.len() <= MAX_BROADCAST_PEERS {
            for peer in &peers {
                self.change_outbox.push(peer, &change);
            }
        } else if let Some(home) = self.home_at_next_gossip(adapter) {
            self.change_outbox.push(&home, &change);
        }
    }

    /// Returns the home of an adapter version at the time when the next residency changes are sent.
    fn home_at_next_gossip(&self, adapter: &AdapterRef) -> Option<InstanceId> {
        self.find_home(self.next_gossip, adapter, |_| true)
    }

    /// Returns the borrowed permits beyond `needed` to their owners.
    pub(crate) fn return_permits(&mut self, now: Instant, needed: usize) {
        for (owner, returned) in self.load_budget.return_unused(now, needed) {
            self.message_to(&owner).returns.push(returned);
        }
    }

    /// Requests permits from the owners in all zones, with the scores of the loads that need one,
    /// most urgent first. Does nothing within the minimum interval after the last request, or while
    /// that request is recent and had similar scores.
    pub(crate) fn request_permits(&mut self, now: Instant, mut scores: Vec<f32>) {
        scores.truncate(MAX_REQUEST_SCORES);
        if scores.is_empty() {
            // The last request expires at the owners, so it need not be withdrawn.
            return;
        }
        let interval = self.permit_request_interval();
        let is_current = self.last_request_scores.as_ref().is_some_and(|(at, sent)| {
            let age = now.saturating_duration_since(*at);
            let similar = |(a, b): (&f32, &f32)| (a - b).abs() <= SCORE_TOLERANCE * a.max(*b);
            let unchanged = sent.len() == scores.len() && sent.iter().zip(&scores).all(similar);
            age < interval || unchanged && age < REQUEST_REFRESH_INTERVAL
        });
        if is_current {
            return;
        }
        self.last_request_scores = Some((now, scores.clone()));
        let request = self.load_budget.new_request(now, scores);
        let zones: Vec<_> = self.engine_zones.iter().cloned().collect();
        for zone in zones {
            // The holder of the zone's weight store owns the zone's permits.
            let owner = self.members.holder(&store_id(&zone)).cloned();
            if let Some(owner) = owner.filter(|o| *o != self.settings.id) {
                self.message_to(&owner).permit_request = Some(request.clone());
            }
        }
    }

    /// Returns the minimum interval between two permit requests. It grows with the number of peers,
    /// so that owners in a large deployment do not receive more requests.
    fn permit_request_interval(&self) -> Duration {
        let peers = u32::try_from(self.members.peers().count()).unwrap_or(u32::MAX);
        MIN_REQUEST_INTERVAL * (peers / PEERS_PER_INTERVAL).max(1)
    }

    /// Lends permits to the peers with the most urgent requests, but keeps one for each own load
    /// that is at least as urgent.
    pub(crate) fn lend_permits(&mut self, now: Instant) {
        if self.permit_requests.is_empty() || self.load_budget.lendable(now) == 0 {
            return;
        }
        self.permit_requests
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REQUEST_LIFETIME);
        let mut own_scores = self
            .groups_to_load(now)
            .into_iter()
            .map(|(s, _)| to_f32(s))
            .peekable();
        let mut lendable = self.load_budget.lendable(now);
        while lendable > 0 {
            let best = self
                .permit_requests
                .iter()
                .filter_map(|(peer, (request, _))| Some((*request.scores.first()?, peer)))
                .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| b.1.cmp(a.1)));
            let Some((score, peer)) = best else {
                return;
            };
            lendable -= 1;
            if own_scores.peek().is_some_and(|s| *s >= score) {
                own_scores.next();
                continue;
            }
            let peer = peer.clone();
            self.lend_permit(now, &peer);
        }
    }

    /// Lends a permit to a peer for the most urgent load in its request.
    fn lend_permit(&mut self, now: Instant, peer: &InstanceId) {
        let Some((request, _)) = self.permit_requests.get_mut(peer) else {
            return;
        };
        request.scores.remove(0);
        let number = request.number;
        if let Some(grant) = self.load_budget.lend(now, peer, number) {
            self.message_to(peer).grants.push(grant);
        }
    }

    /// Sends the heartbeats and residency changes that are due, and the messages that the current
    /// input created.
    pub(crate) fn send_gossip(&mut self, now: Instant, out: &mut Vec<Output>) {
        let due = self.members.due_peers(now);
        for peer in &due {
            let heartbeat = self.members.heartbeat_to(now, peer);
            self.message_to(peer).heartbeat = Some(Box::new(heartbeat));
        }
        if !due.is_empty() {
            self.report_capacity(now, &due);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_interval.get();
            self.open_change_messages();
        }
        for (peer, mut gossip) in std::mem::take(&mut self.outgoing) {
            gossip.from = self.settings.id.clone();
            if self.change_outbox.has_changes(&peer) {
                gossip.delta = Some(self.next_delta(now, &peer));
            }
            out.push(Output::Gossip { peer, gossip });
        }
    }

    /// Adds the capacity report and the configuration version to the messages of the `due` peers.
    /// They are sent with the heartbeat, as most of the cost of a separate message is its envelope.
    fn report_capacity(&mut self, now: Instant, due: &BTreeSet<InstanceId>) {
        let costs = self.load_costs(now);
        for peer in due {
            let capacity = CapacityReport {
                costs: costs.clone(),
                running: self.running_requests(),
                evidence: self.evidence,
            };
            let config = self.config_version;
            let message = self.message_to(peer);
            message.capacity = Some(capacity);
            message.config = Some(config);
        }
    }

    /// Creates a message for each peer that has unsent residency changes, if it has none yet;
    /// [`Self::send_gossip`] adds the changes.
    fn open_change_messages(&mut self) {
        let peers: Vec<InstanceId> = self.members.peers().map(|(id, _)| id.clone()).collect();
        for peer in peers.iter().filter(|p| self.change_outbox.has_changes(p)) {
            self.outgoing.entry(peer.clone()).or_default();
        }
    }

    /// Returns the next delta for a peer; a full listing contains what is resident or loading on
    /// the held replicas, as far as the peer must know it.
    fn next_delta(&mut self, now: Instant, peer: &InstanceId) -> caraway_routing::Delta {
        let is_broadcast = self.members.peers().count() <= MAX_BROADCAST_PEERS;
        let mut all = Vec::new();
        for (endpoint, engine) in self.engines.iter().filter(|(_, e)| e.is_held()) {
            for adapter in engine.resident_or_loading() {
                if is_broadcast || self.find_home(now, adapter, |_| true).as_ref() == Some(peer) {
                    all.push(Change {
                        endpoint: endpoint.clone(),
                        adapter: adapter.clone(),
                        gained: true,
                    });
                }
            }
        }
        self.change_outbox.next_delta(peer, || all)
    }
}
