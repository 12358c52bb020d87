//! [`Peers`]: selects the peer to request records from if the log does not deliver them.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Offset};

use super::{FollowerSettings, Offer};

/// Time after which an offer expires unless the peer sends a new one.
const OFFER_LIFE: Duration = Duration::from_mins(1);

/// The offers of all peers and the request in flight.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: BTreeMap<InstanceId, Known>,
    asked: Option<(InstanceId, Instant)>,
    behind: Option<Instant>,
    told: BTreeMap<InstanceId, Offset>,
}

/// The latest offer of one peer.
#[derive(Debug)]
struct Known {
    offer: Offer,
    heard: Instant,
    retry: Option<Instant>,
}

impl Peers {
    /// Records that a peer's digest differs at an offset; returns whether this was not reported yet.
    pub(crate) fn diverge(&mut self, peer: &InstanceId, offset: Offset) -> bool {
        self.told.insert(peer.clone(), offset) != Some(offset)
    }

    /// Returns whether some peer has records and no peer has any from `next` on.
    pub(crate) fn are_level(&self, next: Offset) -> bool {
        let most = self.known.values().map(|k| k.offer.next).max();
        most.is_some_and(|most| most > 0 && most <= next)
    }

    /// Handles an offer.
    pub(crate) fn on_offer(&mut self, now: Instant, peer: InstanceId, offer: Offer) {
        let retry = self.known.get(&peer).and_then(|k| k.retry);
        let known = Known {
            offer,
            heard: now,
            retry,
        };
        self.known.insert(peer, known);
    }

    /// Removes a peer and its request in flight.
    pub(crate) fn remove(&mut self, peer: &InstanceId) {
        self.known.remove(peer);
        self.told.remove(peer);
        if self.asked.as_ref().is_some_and(|(asked, _)| asked == peer) {
            self.asked = None;
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
        if self.asked.as_ref().is_some_and(|(asked, _)| asked == peer) {
            self.asked = None;
        }
        if let Some(known) = self.known.get_mut(peer) {
            known.retry = (!advanced).then(|| now + settings.stale_ms.get());
        }
    }

    /// Handles progress of the log, which restarts the wait before peers are asked.
    pub(crate) fn on_log_progress(&mut self) {
        self.behind = None;
    }

    /// Returns the peer to send a request to now, and records the request as sent.
    ///
    /// If `wait_for_log` is true, the log first gets some time to deliver the records itself.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        next: Offset,
        log_serves: bool,
        settings: &FollowerSettings,
    ) -> Option<InstanceId> {
        self.expire(now, settings);
        if self.known.values().all(|k| k.offer.next <= next) {
            self.behind = None;
            return None;
        }
        let since = *self.behind.get_or_insert(now);
        let waits = log_serves && now < since + settings.stale_ms.get();
        if waits || self.asked.is_some() {
            return None;
        }
        let peer = self.best(now, next)?;
        self.asked = Some((peer.clone(), now));
        Some(peer)
    }

    /// Drops expired offers, and fails a request that exceeded its timeout.
    fn expire(&mut self, now: Instant, settings: &FollowerSettings) {
        self.known.retain(|_, k| now < k.heard + OFFER_LIFE);
        let late = |at: Instant| now >= at + settings.request_ms.get();
        if let Some((peer, _)) = self.asked.clone().filter(|(_, at)| late(*at)) {
            self.on_answer(now, &peer, false, settings);
        }
    }

    /// Returns the peer with the largest offset that is not excluded.
    fn best(&self, now: Instant, next: Offset) -> Option<InstanceId> {
        let waits = |k: &Known| k.retry.is_some_and(|at| now < at);
        let ahead = self.known.iter().filter(|(_, k)| k.offer.next > next);
        let free = ahead.filter(|(_, k)| !waits(k));
        free.max_by_key(|(_, k)| k.offer.next)
            .map(|(peer, _)| peer.clone())
    }
}
