//! [`Schedule`]: when each peer is due a heartbeat, and what the heartbeat contains.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Millis, ZoneId};

use crate::{
    Ack, Heartbeat, Holding, Members, Stage, heartbeat::Contact, peer::Peer, rendezvous,
    replica::Replica,
};

/// Heartbeats other than the regular ones to each peer of the zone.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Schedule {
    /// Peers to send a heartbeat immediately.
    urgent: BTreeSet<InstanceId>,
    /// When the next heartbeat to another zone is due; `None` means immediately.
    next_remote: Option<Instant>,
    /// Number of heartbeats sent to other zones, which selects the next zone and instance.
    turn: u64,
}

impl Members {
    /// Returns the peers that are due a heartbeat at `now`, and schedules their next one. The
    /// caller sends each of them a [`Self::heartbeat_to`].
    ///
    /// Every peer of the zone is due one in each interval, even one that the list has dropped,
    /// since two instances that dropped each other would otherwise never recover contact. In each
    /// interval of [`remote_beat`](crate::MemberSettings::remote_beat), one instance of another
    /// zone is due one. A new departure makes some peers in any zone due immediately.
    pub fn due_peers(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        let mut due = std::mem::take(&mut self.schedule.urgent);
        let interval = self.settings.interval(self.zone_size());
        for (id, peer) in &mut self.peers {
            let ended = self.departures.stage(id, peer.incarnation) == Some(Stage::Ended);
            if peer.same_zone && !ended && peer.next_heartbeat <= now {
                peer.next_heartbeat = now + interval;
                due.insert(id.clone());
            }
        }
        due.extend(self.next_remote_peer(now));
        due
    }

    /// Builds the heartbeat to one peer. A peer of the zone gets holdings, objections and an
    /// acknowledgement of its own heartbeat; a peer of another zone gets contacts instead.
    pub fn heartbeat_to(&mut self, now: Instant, peer: &InstanceId) -> Heartbeat {
        let id = peer;
        let Some(peer) = self.peers.get(id) else {
            return self.heartbeat(now);
        };
        if peer.same_zone {
            let acks = ack(peer).into_iter().collect();
            let objections = self.objections(now, id, &peer.held);
            let mut heartbeat = self.build_heartbeat(now, acks, Vec::new());
            heartbeat.objections = objections;
            heartbeat
        } else {
            let contacts = self.contacts(now);
            let mut heartbeat = self.build_heartbeat(now, Vec::new(), contacts);
            heartbeat.held.clear();
            heartbeat
        }
    }

    /// Builds one heartbeat that can be sent to every peer.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        let acks = self.zone_peers().filter_map(|(_, p)| ack(p)).collect();
        let contacts = self.contacts(now);
        let contested = |(id, p): (&InstanceId, &Peer)| self.objections(now, id, &p.held);
        let objections = self.zone_peers().flat_map(contested).collect();
        let mut heartbeat = self.build_heartbeat(now, acks, contacts);
        heartbeat.objections = objections;
        heartbeat
    }

    /// Makes a heartbeat to every peer of the zone due immediately.
    pub(crate) fn expedite_heartbeats(&mut self, now: Instant) {
        self.last_evaluation = None;
        for peer in self.peers.values_mut().filter(|p| p.same_zone) {
            peer.next_heartbeat = now;
        }
    }

    /// Makes heartbeats due immediately that report the departure of member `departed`: to the peers
    /// of the zone, to the next and previous live instance in the order of ids, which reaches all
    /// instances eventually, and to some others chosen by hash, which is faster.
    pub(crate) fn spread_departure(&mut self, now: Instant, departed: &str) {
        self.expedite_heartbeats(now);
        let me = &self.identity.id;
        let live: Vec<&InstanceId> = self
            .peers
            .iter()
            .filter(|(id, p)| p.up_since.is_some() && &***id != departed)
            .map(|(id, _)| id)
            .collect();
        let index = live.partition_point(|id| *id < me);
        let next = live.get(index).or(live.first()).copied().cloned();
        let previous = index
            .checked_sub(1)
            .and_then(|i| live.get(i))
            .or(live.last());
        let previous = previous.copied().cloned();
        let mut by_weight: Vec<&InstanceId> = live.clone();
        let salt = format!("{me}/{departed}");
        by_weight.sort_by_cached_key(|id| rendezvous::weight(&salt, id));
        let fanout = usize::try_from(self.settings.fanout).unwrap_or(usize::MAX);
        let others = by_weight.into_iter().take(fanout).cloned();
        let targets: Vec<_> = others.chain(next).chain(previous).collect();
        self.schedule.urgent.extend(targets);
    }

    /// Builds a heartbeat without objections and records that it is sent.
    fn build_heartbeat(
        &mut self,
        now: Instant,
        acks: Vec<Ack>,
        contacts: Vec<Contact>,
    ) -> Heartbeat {
        let lease = self.settings.lease_for(self.zone_size());
        self.seq += 1;
        self.sent.record(now, self.seq, lease);
        let mut departures = self
            .departures
            .recent(now, self.settings.departure_spread.get());
        if self.handed_over() {
            departures.retain(|d| d.id != self.identity.id);
            departures.push(self.own_departure(Stage::Ended));
        }
        Heartbeat {
            from: self.identity.id.clone(),
            zone: self.identity.zone.clone(),
            incarnation: self.identity.incarnation,
            seq: self.seq,
            lease: lease.into(),
            listed: self.listed,
            tag: self.tag,
            acks,
            contacts,
            held: self.reported_holdings(),
            objections: Vec::new(),
            departures,
        }
    }

    fn reported_holdings(&self) -> Vec<Holding> {
        let reported = self.replicas.values().map(Replica::reported);
        reported.flatten().collect()
    }

    /// Returns how long ago each live peer of the zone sent a heartbeat.
    fn contacts(&self, now: Instant) -> Vec<Contact> {
        let contact = |p: &Peer| {
            let age = now.saturating_duration_since(p.last_heartbeat?);
            Some(Contact {
                tag: p.tag,
                age: round_up_to_tenths(age),
            })
        };
        let up = self.zone_peers().filter(|(_, p)| p.up_since.is_some());
        up.filter_map(|(_, p)| contact(p)).collect()
    }

    /// Returns the instance of another zone that is due a heartbeat. Each call takes the next zone.
    fn next_remote_peer(&mut self, now: Instant) -> Option<InstanceId> {
        if self.schedule.next_remote.is_some_and(|at| now < at) {
            return None;
        }
        self.schedule.next_remote = Some(now + self.settings.remote_beat.get());
        self.schedule.turn += 1;
        let turn = self.schedule.turn;
        let zones: BTreeSet<&ZoneId> = self
            .peers
            .values()
            .filter(|p| !p.same_zone)
            .map(|p| &p.zone)
            .collect();
        let index = usize::try_from(turn).ok()?.checked_rem(zones.len())?;
        let zone = *zones.iter().nth(index)?;
        let in_zone = |(id, p): &(&InstanceId, &Peer)| {
            p.zone == *zone && self.departures.stage(id, p.incarnation) < Some(Stage::Dropped)
        };
        let ids = self.peers.iter().filter(in_zone).map(|(id, _)| &**id);
        let key = format!("{}/{turn}", self.identity.id);
        rendezvous::choose(&key, ids).map(InstanceId::from)
    }
}

fn ack(peer: &Peer) -> Option<Ack> {
    peer.last_heartbeat.map(|_| Ack {
        tag: peer.tag,
        seq: peer.seq,
    })
}

/// Rounds up to tenths of a second: the number is short to send, and never less than the true age.
fn round_up_to_tenths(age: Duration) -> Millis {
    let tenth = Duration::from_millis(100);
    let count = age.as_millis().div_ceil(tenth.as_millis());
    Millis::new(u64::try_from(count).unwrap_or(u64::MAX).saturating_mul(100))
}
