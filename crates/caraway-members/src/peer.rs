//! [`Peer`]: what this instance knows of another one.

use std::time::{Duration, Instant};

use caraway_types::{EndpointId, Incarnation, ZoneId};

use crate::{Heartbeat, Holding, Phase};

/// The newest known incarnation of another instance.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Peer {
    pub(crate) zone: ZoneId,
    /// Whether it is in this instance's zone.
    pub(crate) same_zone: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) tag: u32,
    /// When its last heartbeat was received.
    pub(crate) last_heartbeat: Option<Instant>,
    /// When another instance of its zone last received its heartbeat, as reported to other zones.
    pub(crate) indirect_contact: Option<Instant>,
    /// End of the lease that this instance has granted it by acknowledging its heartbeats.
    pub(crate) lease_end: Instant,
    /// When it became live; `None` while it is down.
    pub(crate) up_since: Option<Instant>,
    /// Sequence number of its newest heartbeat.
    pub(crate) seq: u64,
    /// Whether it reports that the platform's list has named it.
    pub(crate) listed: bool,
    pub(crate) held: Vec<Holding>,
    /// Replicas claimed by this instance to which a third instance sends orders, as this peer
    /// reports.
    pub(crate) objections: Vec<EndpointId>,
    /// Sequence number of the newest heartbeat to it that it acknowledged.
    pub(crate) acked_seq: u64,
    /// End of the lease that it has granted this instance by acknowledging heartbeats.
    pub(crate) received_lease: Option<Instant>,
    /// Whether a listing has named it since this incarnation became known.
    pub(crate) was_listed: bool,
    /// Its incarnation number in the list, once a listing has named it. The platform assigns these
    /// numbers independently of [`incarnation`](Self::incarnation).
    pub(crate) listed_incarnation: Option<Incarnation>,
    /// Number in the list of the incarnation before this one.
    pub(crate) previous_listed: Option<Incarnation>,
    /// Number of listings in a row that did not name it.
    pub(crate) missed_listings: u8,
    /// Until when this instance claims no replica, as orders of the peer's previous incarnation may
    /// be in flight.
    pub(crate) claim_blocked_until: Option<Instant>,
    /// When the last call to it failed, unless there was contact with it since.
    pub(crate) call_failed_at: Option<Instant>,
    /// When to send it the next heartbeat.
    pub(crate) next_heartbeat: Instant,
}

impl Peer {
    /// Creates a peer from which no heartbeat has been received.
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
            received_lease: None,
            was_listed: false,
            listed_incarnation: None,
            previous_listed: None,
            missed_listings: 0,
            claim_blocked_until: None,
            call_failed_at: None,
            next_heartbeat: now,
        }
    }

    /// Updates the state from a newer heartbeat of this incarnation.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        self.seq = heartbeat.seq;
        self.tag = heartbeat.tag;
        self.listed = heartbeat.listed;
        self.last_heartbeat = Some(now);
        self.call_failed_at = None;
        self.missed_listings = if self.was_listed {
            self.missed_listings
        } else {
            0
        };
        self.lease_end = self.lease_end.max(now + heartbeat.lease.get());
        self.held.clone_from(&heartbeat.held);
        self.objections.clone_from(&heartbeat.objections);
    }

    /// Returns whether the lease granted to it and the guard have passed.
    pub(crate) fn lease_expired(&self, now: Instant, guard: Duration) -> bool {
        now > self.lease_end + guard
    }

    /// Returns its holding of a replica, if it reports one.
    pub(crate) fn holding(&self, endpoint: &EndpointId) -> Option<&Holding> {
        self.held.iter().find(|h| h.endpoint == *endpoint)
    }

    /// Returns whether it sends orders to a replica or has some in flight.
    pub(crate) fn is_ordering(&self, endpoint: &EndpointId) -> bool {
        self.holding(endpoint)
            .is_some_and(|h| h.phase < Phase::Draining)
    }

    /// Returns whether it has acknowledged a claim that heartbeat `seq` was the first to report,
    /// and sends no orders to the replica itself.
    pub(crate) fn acknowledges_claim(&self, now: Instant, endpoint: &EndpointId, seq: u64) -> bool {
        let leased = self.received_lease.is_some_and(|end| now < end);
        leased && self.acked_seq >= seq && !self.is_ordering(endpoint)
    }
}
