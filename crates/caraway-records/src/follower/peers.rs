//! [`Peers`]: selects the peer to request records from if the log does not deliver them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Offset};

use super::{FollowerSettings, Offer};

/// Time after which an offer expires unless the peer sends a new one.
const OFFER_LIFETIME: Duration = Duration::from_mins(1);

/// The offers of all peers and the request in flight.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    offers: BTreeMap<InstanceId, PeerOffer>,
    in_flight: Option<(InstanceId, Instant)>,
    behind_since: Option<Instant>,
    reported: BTreeMap<InstanceId, Offset>,
}

/// The latest offer of one peer.
#[derive(Debug)]
struct PeerOffer {
    offer: Offer,
    received_at: Instant,
    retry_at: Option<Instant>,
}

impl Peers {
    /// Records that a peer's digest differs at an offset; returns false if this was reported
    /// before.
    pub(crate) fn record_divergence(&mut self, peer: &InstanceId, offset: Offset) -> bool {
        self.reported.insert(peer.clone(), offset) != Some(offset)
    }

    /// Returns whether some peer has records and no peer has any from `next` on.
    pub(crate) fn is_caught_up(&self, next: Offset) -> bool {
        let largest = self.offers.values().map(|p| p.offer.next).max();
        largest.is_some_and(|largest| largest > 0 && largest <= next)
    }

    /// Handles an offer.
    pub(crate) fn on_offer(&mut self, now: Instant, peer: InstanceId, offer: Offer) {
        let retry_at = self.offers.get(&peer).and_then(|p| p.retry_at);
        let entry = PeerOffer {
            offer,
            received_at: now,
            retry_at,
        };
        self.offers.insert(peer, entry);
    }

    /// Removes a peer and its request in flight.
    pub(crate) fn remove(&mut self, peer: &InstanceId) {
        self.offers.remove(peer);
        self.reported.remove(peer);
        if self.in_flight.as_ref().is_some_and(|(to, _)| to == peer) {
            self.in_flight = None;
        }
    }

    /// Handles an answer; a peer whose answer did not advance the state is excluded for a while.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        peer: &InstanceId,
        advanced: bool,
        settings: &FollowerSettings,
    ) {
        if self.in_flight.as_ref().is_some_and(|(to, _)| to == peer) {
            self.in_flight = None;
        }
        if let Some(entry) = self.offers.get_mut(peer) {
            entry.retry_at = (!advanced).then(|| now + settings.stale_ms.get());
        }
    }

    /// Handles progress of the log, which restarts the wait before peers are asked.
    pub(crate) fn on_log_progress(&mut self) {
        self.behind_since = None;
    }

    /// Returns the peer to send a request to now, and records the request as sent.
    ///
    /// If `wait_for_log` is true, the log first gets some time to deliver the records itself.
    pub(crate) fn start_request(
        &mut self,
        now: Instant,
        next: Offset,
        wait_for_log: bool,
        settings: &FollowerSettings,
    ) -> Option<InstanceId> {
        self.expire(now, settings);
        if self.offers.values().all(|p| p.offer.next <= next) {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let waiting = wait_for_log && now < since + settings.stale_ms.get();
        if waiting || self.in_flight.is_some() {
            return None;
        }
        let peer = self.best_candidate(now, next)?;
        self.in_flight = Some((peer.clone(), now));
        Some(peer)
    }

    /// Drops expired offers, and fails a request that exceeded its timeout.
    fn expire(&mut self, now: Instant, settings: &FollowerSettings) {
        self.offers
            .retain(|_, p| now < p.received_at + OFFER_LIFETIME);
        let timed_out = |at: Instant| now >= at + settings.request_ms.get();
        if let Some((peer, _)) = self.in_flight.clone().filter(|(_, at)| timed_out(*at)) {
            self.on_answer(now, &peer, false, settings);
        }
    }

    /// Returns the peer with the largest offset that is not excluded.
    fn best_candidate(&self, now: Instant, next: Offset) -> Option<InstanceId> {
        let excluded = |p: &PeerOffer| p.retry_at.is_some_and(|at| now < at);
        let ahead = self.offers.iter().filter(|(_, p)| p.offer.next > next);
        let candidates = ahead.filter(|(_, p)| !excluded(p));
        candidates
            .max_by_key(|(_, p)| p.offer.next)
            .map(|(peer, _)| peer.clone())
    }
}
