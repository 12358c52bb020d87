//! [`Replica`]: a replica of this zone, and the state of this instance's holding of it.

use std::time::Instant;

use caraway_types::{FencingToken, InstanceId};

use crate::{EndpointInfo, Holding, Phase, fences};

/// This instance's holding of a replica, until it has drained.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Held {
    pub(crate) fence: FencingToken,
    /// Smallest token whose loads this instance may use.
    pub(crate) floor: FencingToken,
    /// Sequence number of the first heartbeat that reports it.
    pub(crate) claim_seq: u64,
    pub(crate) phase: Phase,
    /// Whether the caller has been informed that it may use inherited loads.
    pub(crate) inherited_usable: bool,
    /// Whether the caller has been informed that it may evict inherited loads.
    pub(crate) inherited_evictable: bool,
}

/// A token larger than this instance's own, issued by another instance, that the engine has seen.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct HigherToken {
    /// Tag of the issuer.
    pub(crate) tag: u32,
    pub(crate) since: Instant,
}

/// A holder whose orders were all answered.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct FinishedHolder {
    pub(crate) fence: FencingToken,
    pub(crate) floor: FencingToken,
}

/// Whether rendezvous hashing assigns a replica to this instance.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(crate) struct Preferred {
    /// Among all candidates; required for a new claim.
    pub(crate) to_claim: bool,
    /// Among the stable candidates; required to keep holding.
    pub(crate) to_keep: bool,
}

/// A replica of this zone.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Replica {
    pub(crate) info: EndpointInfo,
    /// The instance that currently holds it, as far as is known.
    pub(crate) holder: Option<InstanceId>,
    pub(crate) preferred: Preferred,
    pub(crate) held: Option<Held>,
    pub(crate) higher_token: Option<HigherToken>,
    /// Largest token that the engine is known to have accepted, or 0.
    pub(crate) accepted: FencingToken,
    /// The newest holder whose orders are known to be finished.
    pub(crate) last_finished: Option<FinishedHolder>,
}

impl Replica {
    /// Creates a replica that nobody holds.
    pub(crate) fn new(info: EndpointInfo) -> Self {
        Self {
            info,
            holder: None,
            preferred: Preferred::default(),
            held: None,
            higher_token: None,
            accepted: 0,
            last_finished: None,
        }
    }

    /// Returns this instance's holding, unless it is giving it up.
    pub(crate) fn holding(&self) -> Option<&Held> {
        self.held.as_ref().filter(|h| h.phase == Phase::Holding)
    }

    /// Returns the holding to report in heartbeats.
    pub(crate) fn reported(&self) -> Option<Holding> {
        let held = self.held.as_ref()?;
        Some(Holding {
            endpoint: self.info.id.clone(),
            fence: held.fence,
            floor: held.floor,
            phase: held.phase,
        })
    }

    /// Records a token that the engine has seen.
    pub(crate) fn observe_fence(&mut self, now: Instant, fence: FencingToken) {
        self.accepted = self.accepted.max(fence);
        let superseded = self.held.as_ref().is_some_and(|h| fence > h.fence);
        if superseded && self.info.checks_fencing {
            self.higher_token = Some(HigherToken {
                tag: fences::issuer_tag(fence),
                since: now,
            });
        }
    }

    /// Makes this instance the holder.
    pub(crate) fn claim(&mut self, fence: FencingToken, floor: FencingToken, claim_seq: u64) {
        self.higher_token = None;
        self.held = Some(Held {
            fence,
            floor,
            claim_seq,
            phase: Phase::Holding,
            inherited_usable: floor < fence,
            inherited_evictable: false,
        });
    }

    /// Starts to give up the replica; orders and requests may still be in flight.
    pub(crate) fn release(&mut self) {
        if let Some(held) = &mut self.held {
            held.phase = held.phase.max(Phase::Stopping);
        }
    }

    /// Records that all orders of a released holding were answered; returns whether that is new.
    pub(crate) fn finish_orders(&mut self) -> bool {
        let Some(held) = &mut self.held else {
            return false;
        };
        if held.phase != Phase::Stopping {
            return false;
        }
        held.phase = Phase::Draining;
        let (fence, floor) = (held.fence, held.floor);
        self.record_finished(fence, floor);
        true
    }

    /// Ends the holding after its requests; returns whether it was draining.
    pub(crate) fn finish_drain(&mut self) -> bool {
        self.finish_orders();
        let drained = self
            .held
            .as_ref()
            .is_some_and(|h| h.phase == Phase::Draining);
        if drained {
            self.held = None;
        }
        drained
    }

    /// Records a holder whose orders are finished, if it is the newest such holder.
    pub(crate) fn record_finished(&mut self, fence: FencingToken, floor: FencingToken) {
        if self.last_finished.is_none_or(|h| h.fence < fence) {
            self.last_finished = Some(FinishedHolder { fence, floor });
        }
    }
}
