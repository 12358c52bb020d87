//! [`Members`]: the state machine of one instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::{EndpointId, Fence, Incarnation, InstanceId, ZoneId};

use crate::{
    EndpointInfo, Heartbeat, Holding, ListedMember, Mark, Me, MemberEvent, MemberSettings, Right,
    rendezvous,
};

/// Low bits of a fencing token that tell instances apart.
const TAG_BITS: u32 = 32;

/// A peer as heard.
#[derive(Clone, Debug)]
struct Peer {
    zone: ZoneId,
    incarnation: Incarnation,
    heard: Instant,
    up: bool,
}

/// Knows who is live and which replicas this instance holds.
#[derive(Clone, Debug)]
pub struct Members {
    me: Me,
    settings: MemberSettings,
    endpoints: BTreeMap<EndpointId, EndpointInfo>,
    peers: BTreeMap<InstanceId, Peer>,
    marks: BTreeSet<Mark>,
    held: BTreeMap<EndpointId, Fence>,
    fences: BTreeMap<EndpointId, Fence>,
    holders: BTreeMap<EndpointId, InstanceId>,
    leaving: bool,
    seq: u64,
    tag: u32,
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
        let _ = now;
        let key = format!("{}/{}", me.id, me.incarnation);
        let tag = u32::try_from(rendezvous::weight("tag", &key) >> TAG_BITS).unwrap_or(0);
        Self {
            me,
            settings,
            endpoints: endpoints.into_iter().map(|e| (e.id.clone(), e)).collect(),
            peers: BTreeMap::new(),
            marks: BTreeSet::new(),
            held: BTreeMap::new(),
            fences: BTreeMap::new(),
            holders: BTreeMap::new(),
            leaving: false,
            seq: 0,
            tag,
        }
    }

    /// Takes a peer's heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, beat: &Heartbeat) {
        if beat.from == self.me.id {
            return;
        }
        let up = self.peers.get(&beat.from).is_some_and(|p| p.up);
        let peer = Peer {
            zone: beat.zone.clone(),
            incarnation: beat.incarnation,
            heard: now,
            up,
        };
        self.peers.insert(beat.from.clone(), peer);
        self.marks.extend(beat.marks.iter().cloned());
        for holding in &beat.held {
            self.on_fence(now, &holding.endpoint, holding.fence);
        }
    }

    /// Takes what the platform's list shows.
    pub fn on_listing(&mut self, now: Instant, list: &[ListedMember]) {
        let _ = now;
        for member in list.iter().filter(|m| m.leaving) {
            self.marks.insert(Mark {
                id: member.id.clone(),
                incarnation: member.incarnation,
                gone: false,
            });
        }
    }

    /// Learns the largest fencing token that an engine has seen.
    pub fn on_fence(&mut self, now: Instant, endpoint: &EndpointId, fence: Fence) {
        let _ = now;
        let largest = self.fences.entry(endpoint.clone()).or_default();
        *largest = fence.max(*largest);
    }

    /// Brings states and holdings up to `now`.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberEvent> {
        let mut events = Vec::new();
        self.tick_peers(now, &mut events);
        let ids: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for id in ids {
            self.tick_endpoint(&id, &mut events);
        }
        events
    }

    /// Makes the heartbeat to send to every peer.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        let _ = now;
        self.seq += 1;
        Heartbeat {
            from: self.me.id.clone(),
            zone: self.me.zone.clone(),
            incarnation: self.me.incarnation,
            seq: self.seq,
            lease: self.settings.lease,
            listed: true,
            tag: self.tag,
            acks: Vec::new(),
            held: self.holdings(),
            marks: self.marks.iter().cloned().collect(),
        }
    }

    /// Says what this instance may do on the replica at `now`.
    #[must_use]
    pub fn right(&self, now: Instant, endpoint: &EndpointId) -> Right {
        let _ = now;
        if self.held.contains_key(endpoint) {
            Right::Full
        } else {
            Right::None
        }
    }

    /// Returns the token of a held replica.
    #[must_use]
    pub fn fence(&self, endpoint: &EndpointId) -> Option<Fence> {
        self.held.get(endpoint).copied()
    }

    /// Returns the instance that holds the replica, as far as is known here.
    #[must_use]
    pub fn holder(&self, endpoint: &EndpointId) -> Option<&InstanceId> {
        self.holders.get(endpoint)
    }

    /// Tells whether an instance or endpoint may get new work.
    #[must_use]
    pub fn accepts_work(&self, now: Instant, id: &str) -> bool {
        let _ = now;
        let leaving = id == &*self.me.id && self.leaving;
        !leaving && !self.marks.iter().any(|m| &*m.id == id)
    }

    /// Iterates over live peers and their zones.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &ZoneId)> {
        self.peers
            .iter()
            .filter(|(_, p)| p.up)
            .map(|(id, p)| (id, &p.zone))
    }

    /// Starts to hand over everything that this instance holds.
    pub fn leave(&mut self, now: Instant) {
        let _ = now;
        self.leaving = true;
        self.marks.insert(Mark {
            id: self.me.id.clone(),
            incarnation: self.me.incarnation,
            gone: false,
        });
    }

    /// Learns that no request or order of a lost replica is in flight any more.
    pub fn drained(&mut self, now: Instant, endpoint: &EndpointId) {
        let _ = (now, endpoint);
    }

    fn holdings(&self) -> Vec<Holding> {
        let holding = |(endpoint, fence): (&EndpointId, &Fence)| Holding {
            endpoint: endpoint.clone(),
            fence: *fence,
            draining: false,
        };
        self.held.iter().map(holding).collect()
    }

    fn tick_peers(&mut self, now: Instant, events: &mut Vec<MemberEvent>) {
        let silence: Duration = self.settings.lease.get() + self.settings.guard.get();
        for (id, peer) in &mut self.peers {
            let up = now.saturating_duration_since(peer.heard) <= silence;
            if up == peer.up {
                continue;
            }
            peer.up = up;
            let instance = id.clone();
            events.push(if up {
                MemberEvent::PeerUp { instance }
            } else {
                MemberEvent::PeerDown { instance }
            });
        }
    }

    fn tick_endpoint(&mut self, id: &EndpointId, events: &mut Vec<MemberEvent>) {
        if self.endpoints[id].zone != self.me.zone {
            return;
        }
        let holder = self.preferred(id);
        let mine = holder.as_ref() == Some(&self.me.id);
        match holder {
            Some(holder) => self.holders.insert(id.clone(), holder),
            None => self.holders.remove(id),
        };
        let endpoint = id.clone();
        if mine && !self.held.contains_key(id) {
            let fence = self.next_fence(id);
            self.held.insert(id.clone(), fence);
            events.push(MemberEvent::Acquired {
                endpoint,
                fence,
                adopt: true,
            });
        } else if !mine && self.held.remove(id).is_some() {
            events.push(MemberEvent::Lost { endpoint });
        }
    }

    fn preferred(&self, id: &EndpointId) -> Option<InstanceId> {
        let leaving = |id: &Arc<str>, inc| {
            self.marks
                .iter()
                .any(|m| &m.id == id && m.incarnation >= inc)
        };
        let peers = self
            .peers
            .iter()
            .filter(|(id, p)| p.up && p.zone == self.me.zone && !leaving(id, p.incarnation))
            .map(|(id, _)| &**id);
        let own = (!self.leaving).then_some(&*self.me.id);
        rendezvous::choose(id, peers.chain(own)).map(Arc::from)
    }

    fn next_fence(&mut self, id: &EndpointId) -> Fence {
        let largest = self.fences.entry(id.clone()).or_default();
        *largest = (((*largest >> TAG_BITS) + 1) << TAG_BITS) | Fence::from(self.tag);
        *largest
    }
}
