//! [`Peer`]: another instance as seen from here.

use std::time::{Duration, Instant};

use caraway_types::{EndpointId, Incarnation, ZoneId};

use crate::{Heartbeat, Holding, Phase};

/// One incarnation of another instance.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneId,
    /// Whether it is in this instance's zone.
    pub(crate) local: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) tag: u32,
    /// When it was last heard, directly.
    pub(crate) heard: Option<Instant>,
    /// When another instance of its zone last heard it, as told.
    pub(crate) vouched: Option<Instant>,
    /// Until when it may rely on what was acknowledged to it.
    pub(crate) promised: Instant,
    /// Since when it is up.
    pub(crate) up: Option<Instant>,
    /// Number of its newest heartbeat.
    pub(crate) seq: u64,
    /// Whether it says that the list has named it.
    pub(crate) listed: bool,
    pub(crate) held: Vec<Holding>,
    /// Replicas of which it hears another instance claim them too.
    pub(crate) objections: Vec<EndpointId>,
    /// Newest own heartbeat that it acknowledged.
    pub(crate) acked: u64,
    /// When the lease from that acknowledgement ends.
    pub(crate) granted: Option<Instant>,
    /// Whether a listing has named it.
    pub(crate) named: bool,
    /// The list's number of its life, as far as shown.
    pub(crate) entry: Option<Incarnation>,
    /// The list's number of the life before.
    pub(crate) past_entry: Option<Incarnation>,
    /// Listings in a row without it since.
    pub(crate) missing: u8,
    /// No claim before this time, while orders of an earlier incarnation may be under way.
    pub(crate) quiet: Option<Instant>,
    /// When the last call to it failed, unless it was heard since.
    pub(crate) failed: Option<Instant>,
    /// When the next heartbeat to it is due.
    pub(crate) due: Instant,
}

impl Peer {
    /// Makes a peer that was not heard yet.
    pub(crate) fn new(
        zone: ZoneId,
        local: bool,
        incarnation: Incarnation,
        tag: u32,
        promised: Instant,
        now: Instant,
    ) -> Self {
        Self {
            zone,
            local,
            incarnation,
            tag,
            heard: None,
            vouched: None,
            promised,
            up: None,
            seq: 0,
            listed: false,
            held: Vec::new(),
            objections: Vec::new(),
            acked: 0,
            granted: None,
            named: false,
            entry: None,
            past_entry: None,
            missing: 0,
            quiet: None,
            failed: None,
            due: now,
        }
    }

    /// Takes a newer heartbeat of this incarnation.
    pub(crate) fn hear(&mut self, now: Instant, beat: &Heartbeat) {
        self.seq = beat.seq;
        self.tag = beat.tag;
        self.listed = beat.listed;
        self.heard = Some(now);
        self.failed = None;
        self.missing = if self.named { self.missing } else { 0 };
        self.promised = self.promised.max(now + beat.lease.get());
        self.held.clone_from(&beat.held);
        self.objections.clone_from(&beat.objections);
    }

    /// Tells whether it can no longer rely on anything acknowledged to it.
    pub(crate) fn silent(&self, now: Instant, guard: Duration) -> bool {
        now > self.promised + guard
    }

    /// Returns what it says of a replica.
    pub(crate) fn holding(&self, endpoint: &EndpointId) -> Option<&Holding> {
        self.held.iter().find(|h| h.endpoint == *endpoint)
    }

    /// Tells whether it gives orders to a replica or has some under way.
    pub(crate) fn orders(&self, endpoint: &EndpointId) -> bool {
        self.holding(endpoint)
            .is_some_and(|h| h.phase < Phase::Draining)
    }

    /// Tells whether it knows of a claim first told in heartbeat `seq` and keeps away from it.
    pub(crate) fn grants(&self, now: Instant, endpoint: &EndpointId, seq: u64) -> bool {
        let leased = self.granted.is_some_and(|end| now < end);
        leased && self.acked >= seq && !self.orders(endpoint)
    }
}
