//! [`Schedule`]: which peers get a heartbeat when.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Millis, ZoneId};

use crate::{
    Ack, Heartbeat, Holding, Members, Stage, heartbeat::Vouch, peer::Peer, rendezvous,
    replica::Replica,
};

/// Which peers outside the zone's own rhythm get a heartbeat.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Schedule {
    /// Peers to tell at once.
    urgent: BTreeSet<InstanceId>,
    /// When the next heartbeat to another zone is due.
    remote_due: Option<Instant>,
    /// Counts heartbeats to other zones, to take zones and instances in turn.
    turn: u64,
}

impl Members {
    /// Returns the peers that a heartbeat is due to at `now`, each to be made by
    /// [`Self::heartbeat_to`].
    ///
    /// Every peer of the zone gets one in each interval, also one that the list dropped: two that
    /// dropped each other would never be heard again otherwise. Each interval of
    /// [`remote_beat`](crate::MemberSettings::remote_beat), one instance of another zone gets one.
    /// News of leaving goes at once to some peers anywhere.
    pub fn due(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        let mut due = std::mem::take(&mut self.schedule.urgent);
        let interval = self.settings.interval(self.zone_size());
        for (id, peer) in &mut self.peers {
            let ended = self.marks.stage(id, peer.incarnation) == Some(Stage::Ended);
            if peer.local && !ended && peer.due <= now {
                peer.due = now + interval;
                due.insert(id.clone());
            }
        }
        due.extend(self.due_remote(now));
        due
    }

    /// Makes the heartbeat to one peer.
    pub fn heartbeat_to(&mut self, now: Instant, peer: &InstanceId) -> Heartbeat {
        let id = peer;
        let Some(peer) = self.peers.get(id) else {
            return self.heartbeat(now);
        };
        if peer.local {
            let acks = ack(peer).into_iter().collect();
            let objections = self.objections(now, id, &peer.held);
            let mut beat = self.make_beat(now, acks, Vec::new());
            beat.objections = objections;
            beat
        } else {
            let vouched = self.vouches(now);
            let mut beat = self.make_beat(now, Vec::new(), vouched);
            beat.held.clear();
            beat
        }
    }

    /// Makes the heartbeat to send to every peer.
    pub fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        let acks = self.zone_peers().filter_map(|(_, p)| ack(p)).collect();
        let vouched = self.vouches(now);
        let contested = |(id, p): (&InstanceId, &Peer)| self.objections(now, id, &p.held);
        let objections = self.zone_peers().flat_map(contested).collect();
        let mut beat = self.make_beat(now, acks, vouched);
        beat.objections = objections;
        beat
    }

    /// Makes heartbeats to every peer of the zone due at once.
    pub(crate) fn hurry(&mut self, now: Instant) {
        self.evaluated = None;
        for peer in self.peers.values_mut().filter(|p| p.local) {
            peer.due = now;
        }
    }

    /// Tells two neighbours in the ring of ids, which reaches everybody in the end, and some
    /// others chosen by hash, which is faster.
    pub(crate) fn spread(&mut self, now: Instant, key: &str) {
        self.hurry(now);
        let me = &self.me.id;
        let live: Vec<&InstanceId> = self
            .peers
            .iter()
            .filter(|(id, p)| p.up.is_some() && &***id != key)
            .map(|(id, _)| id)
            .collect();
        let at = live.partition_point(|id| *id < me);
        let next = live.get(at).or(live.first()).copied().cloned();
        let before = at.checked_sub(1).and_then(|i| live.get(i)).or(live.last());
        let before = before.copied().cloned();
        let mut order: Vec<&InstanceId> = live.clone();
        let salt = format!("{me}/{key}");
        order.sort_by_cached_key(|id| rendezvous::weight(&salt, id));
        let fanout = usize::try_from(self.settings.fanout).unwrap_or(usize::MAX);
        let others = order.into_iter().take(fanout).cloned();
        let targets: Vec<_> = others.chain(next).chain(before).collect();
        self.schedule.urgent.extend(targets);
    }

    fn make_beat(&mut self, now: Instant, acks: Vec<Ack>, vouched: Vec<Vouch>) -> Heartbeat {
        let lease = self.settings.lease_for(self.zone_size());
        self.seq += 1;
        self.sent.add(now, self.seq, lease);
        let mut marks = self.marks.fresh(now, self.settings.mark_spread.get());
        if self.handed_over() {
            marks.retain(|m| m.id != self.me.id);
            marks.push(self.own_mark(Stage::Ended));
        }
        Heartbeat {
            from: self.me.id.clone(),
            zone: self.me.zone.clone(),
            incarnation: self.me.incarnation,
            seq: self.seq,
            lease: lease.into(),
            listed: self.listed,
            tag: self.tag,
            acks,
            vouched,
            held: self.holdings(),
            objections: Vec::new(),
            marks,
        }
    }

    fn holdings(&self) -> Vec<Holding> {
        let told = self.replicas.values().map(Replica::told);
        told.flatten().collect()
    }

    fn vouches(&self, now: Instant) -> Vec<Vouch> {
        let vouch = |p: &Peer| {
            let age = now.saturating_duration_since(p.heard?);
            Some(Vouch {
                tag: p.tag,
                age: tenths(age),
            })
        };
        let up = self.zone_peers().filter(|(_, p)| p.up.is_some());
        up.filter_map(|(_, p)| vouch(p)).collect()
    }

    fn due_remote(&mut self, now: Instant) -> Option<InstanceId> {
        if self.schedule.remote_due.is_some_and(|at| now < at) {
            return None;
        }
        self.schedule.remote_due = Some(now + self.settings.remote_beat.get());
        self.schedule.turn += 1;
        let turn = self.schedule.turn;
        let zones: BTreeSet<&ZoneId> = self
            .peers
            .values()
            .filter(|p| !p.local)
            .map(|p| &p.zone)
            .collect();
        let at = usize::try_from(turn).ok()?.checked_rem(zones.len())?;
        let zone = *zones.iter().nth(at)?;
        let there = |(id, p): &(&InstanceId, &Peer)| {
            p.zone == *zone && self.marks.stage(id, p.incarnation) < Some(Stage::Dropped)
        };
        let ids = self.peers.iter().filter(there).map(|(id, _)| &**id);
        let key = format!("{}/{turn}", self.me.id);
        rendezvous::choose(&key, ids).map(InstanceId::from)
    }
}

fn ack(peer: &Peer) -> Option<Ack> {
    peer.heard.map(|_| Ack {
        tag: peer.tag,
        seq: peer.seq,
    })
}

/// Rounds up to whole tenths of a second, which keeps the number short and never too young.
fn tenths(age: Duration) -> Millis {
    let tenth = Duration::from_millis(100);
    let count = age.as_millis().div_ceil(tenth.as_millis());
    Millis::new(u64::try_from(count).unwrap_or(u64::MAX).saturating_mul(100))
}
