//! [`Peers`] decides whom to ask for records that the log does not give.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use caraway_types::{InstanceId, Offset};

use super::{FollowerSettings, Offer};

/// Time after which an offer that is not repeated no longer counts.
const OFFER_LIFE: Duration = Duration::from_mins(1);

/// What the peers have.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: BTreeMap<InstanceId, Known>,
    asked: Option<(InstanceId, Instant)>,
    behind: Option<Instant>,
    told: BTreeMap<InstanceId, Offset>,
}

/// What one peer has.
#[derive(Debug)]
struct Known {
    offer: Offer,
    heard: Instant,
    retry: Option<Instant>,
}

impl Peers {
    /// Notes that a peer has another digest at an offset; tells whether that is new.
    pub(crate) fn diverge(&mut self, peer: &InstanceId, offset: Offset) -> bool {
        self.told.insert(peer.clone(), offset) != Some(offset)
    }

    /// Tells whether some peer has records, and none has more than those below `next`.
    pub(crate) fn are_level(&self, next: Offset) -> bool {
        let most = self.known.values().map(|k| k.offer.next).max();
        most.is_some_and(|most| most > 0 && most <= next)
    }

    /// Takes in an offer.
    pub(crate) fn on_offer(&mut self, now: Instant, peer: InstanceId, offer: Offer) {
        let retry = self.known.get(&peer).and_then(|k| k.retry);
        let known = Known {
            offer,
            heard: now,
            retry,
        };
        self.known.insert(peer, known);
    }

    /// Forgets a peer.
    pub(crate) fn remove(&mut self, peer: &InstanceId) {
        self.known.remove(peer);
        self.told.remove(peer);
        if self.asked.as_ref().is_some_and(|(asked, _)| asked == peer) {
            self.asked = None;
        }
    }

    /// Takes in an answer; one that did not advance the state makes the peer wait.
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

    /// Notes that the log gave a record.
    pub(crate) fn on_log_progress(&mut self) {
        self.behind = None;
    }

    /// Returns the peer to ask now, and counts it as asked.
    ///
    /// While the log serves, waits for it for a while first.
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

    /// Counts a question without an answer as failed, and drops old offers.
    fn expire(&mut self, now: Instant, settings: &FollowerSettings) {
        self.known.retain(|_, k| now < k.heard + OFFER_LIFE);
        let late = |at: Instant| now >= at + settings.request_ms.get();
        if let Some((peer, _)) = self.asked.clone().filter(|(_, at)| late(*at)) {
            self.on_answer(now, &peer, false, settings);
        }
    }

    /// Returns the peer that has most and need not wait.
    fn best(&self, now: Instant, next: Offset) -> Option<InstanceId> {
        let waits = |k: &Known| k.retry.is_some_and(|at| now < at);
        let ahead = self.known.iter().filter(|(_, k)| k.offer.next > next);
        let free = ahead.filter(|(_, k)| !waits(k));
        free.max_by_key(|(_, k)| k.offer.next)
            .map(|(peer, _)| peer.clone())
    }
}
