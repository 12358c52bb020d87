//! [`Peer`]: another instance as seen from here.

use std::time::{Duration, Instant};

use caraway_types::{EndpointId, Incarnation, ZoneId};

use crate::{Heartbeat, Holding, Phase};

/// One incarnation of another instance.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneId,
    /// Whether it is in this instance's zone.
    pub(crate) same_zone: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) tag: u32,
    /// When it was last heard, directly.
    pub(crate) last_heartbeat: Option<Instant>,
    /// When another instance of its zone last heard it, as told.
    pub(crate) indirect_contact: Option<Instant>,
    /// Until when it may rely on what was acknowledged to it.
    pub(crate) lease_end: Instant,
    /// Since when it is up.
    pub(crate) up_since: Option<Instant>,
    /// Number of its newest heartbeat.
    pub(crate) seq: u64,
    /// Whether it says that the list has named it.
    pub(crate) listed: bool,
    pub(crate) held: Vec<Holding>,
    /// Replicas of which it hears another instance claim them too.
    pub(crate) objections: Vec<EndpointId>,
    /// Newest own heartbeat that it acknowledged.
    pub(crate) acked_seq: u64,
    /// When the lease from that acknowledgement ends.
    pub(crate) own_lease: Option<Instant>,
    /// Whether a listing has named it.
    pub(crate) was_listed: bool,
    /// The list's number of its life, as far as shown.
    pub(crate) listed_incarnation: Option<Incarnation>,
    /// The list's number of the life before.
    pub(crate) previous_listed: Option<Incarnation>,
    /// Listings in a row without it since.
    pub(crate) missed_listings: u8,
    /// No claim before this time, while orders of an earlier incarnation may be under way.
    pub(crate) claim_after: Option<Instant>,
    /// When the last call to it failed, unless it was heard since.
    pub(crate) call_failed: Option<Instant>,
    /// When the next heartbeat to it is due.
    pub(crate) next_heartbeat: Instant,
}

impl Peer {
    /// Makes a peer that was not heard yet.
    pub(crate) fn new(
        zone: ZoneId,
        same_zone: bool,
        incarnation: Incarnation,
        tag: u32,
        lease_end: Instant,
        now: Instant,
    ) -> Self {
        Self {
            zone,
            same_zone,
            incarnation,
            tag,
            last_heartbeat: None,
            indirect_contact: None,
            lease_end,
            up_since: None,
            seq: 0,
            listed: false,
            held: Vec::new(),
            objections: Vec::new(),
            acked_seq: 0,
            own_lease: None,
            was_listed: false,
            listed_incarnation: None,
            previous_listed: None,
            missed_listings: 0,
            claim_after: None,
            call_failed: None,
            next_heartbeat: now,
        }
    }

    /// Takes a newer heartbeat of this incarnation.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        self.seq = heartbeat.seq;
        self.tag = heartbeat.tag;
        self.listed = heartbeat.listed;
        self.last_heartbeat = Some(now);
        self.call_failed = None;
        self.missed_listings = if self.was_listed {
            self.missed_listings
        } else {
            0
        };
        self.lease_end = self.lease_end.max(now + heartbeat.lease.get());
        self.held.clone_from(&heartbeat.held);
        self.objections.clone_from(&heartbeat.objections);
    }

    /// Tells whether it can no longer rely on anything acknowledged to it.
    pub(crate) fn lease_expired(&self, now: Instant, guard: Duration) -> bool {
        now > self.lease_end + guard
    }

    /// Returns what it says of a replica.
    pub(crate) fn holding(&self, endpoint: &EndpointId) -> Option<&Holding> {
        self.held.iter().find(|h| h.endpoint == *endpoint)
    }

    /// Tells whether it gives orders to a replica or has some under way.
    pub(crate) fn is_ordering(&self, endpoint: &EndpointId) -> bool {
        self.holding(endpoint)
            .is_some_and(|h| h.phase < Phase::Draining)
    }

    /// Tells whether it knows of a claim first told in heartbeat `seq` and keeps away from it.
    pub(crate) fn acknowledges_claim(&self, now: Instant, endpoint: &EndpointId, seq: u64) -> bool {
        let leased = self.own_lease.is_some_and(|end| now < end);
        leased && self.acked_seq >= seq && !self.is_ordering(endpoint)
    }
}
