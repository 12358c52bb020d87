//! [`Replica`]: a replica of the settings and what this instance has to do with it.

use std::time::Instant;

use caraway_types::{Fence, InstanceId};

use crate::{EndpointInfo, Holding, Phase, fences};

/// What this instance holds or gives up.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Held {
    pub(crate) fence: Fence,
    /// Smallest token whose loads may be used.
    pub(crate) floor: Fence,
    /// Number of the first heartbeat that tells of it.
    pub(crate) claim_seq: u64,
    pub(crate) phase: Phase,
    /// Whether loads of earlier holders were reported as usable.
    pub(crate) adopted: bool,
    /// Whether loads of earlier holders were reported as free to evict.
    pub(crate) cleared: bool,
}

/// A larger token of somebody else that an engine has seen.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct HigherToken {
    pub(crate) tag: u32,
    pub(crate) since: Instant,
}

/// A holder whose orders have all been answered.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct FinishedHolder {
    pub(crate) fence: Fence,
    pub(crate) floor: Fence,
}

/// Whether a replica falls to this instance.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(crate) struct Preferred {
    /// Among all live candidates, for a new claim.
    pub(crate) to_claim: bool,
    /// Among the steady ones, to go on holding.
    pub(crate) to_keep: bool,
}

/// One replica.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Replica {
    pub(crate) info: EndpointInfo,
    pub(crate) holder: Option<InstanceId>,
    pub(crate) preferred: Preferred,
    pub(crate) held: Option<Held>,
    pub(crate) higher_token: Option<HigherToken>,
    /// Largest token that the engine has accepted, as far as is known.
    pub(crate) accepted: Fence,
    /// The newest holder that is known to have settled its orders.
    pub(crate) last_finished: Option<FinishedHolder>,
}

impl Replica {
    /// Makes a replica that nobody holds.
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

    /// Returns what this instance holds, not what it gives up.
    pub(crate) fn holding(&self) -> Option<&Held> {
        self.held.as_ref().filter(|h| h.phase == Phase::Holding)
    }

    /// Returns what to tell peers.
    pub(crate) fn reported(&self) -> Option<Holding> {
        let held = self.held.as_ref()?;
        Some(Holding {
            endpoint: self.info.id.clone(),
            fence: held.fence,
            floor: held.floor,
            phase: held.phase,
        })
    }

    /// Takes a token that the engine has seen.
    pub(crate) fn observe_fence(&mut self, now: Instant, fence: Fence) {
        self.accepted = self.accepted.max(fence);
        let superseded = self.held.as_ref().is_some_and(|h| fence > h.fence);
        if superseded && self.info.checks_fencing {
            self.higher_token = Some(HigherToken {
                tag: fences::issuer_tag(fence),
                since: now,
            });
        }
    }

    /// Starts to hold.
    pub(crate) fn claim(&mut self, fence: Fence, floor: Fence, claim_seq: u64) {
        self.higher_token = None;
        self.held = Some(Held {
            fence,
            floor,
            claim_seq,
            phase: Phase::Holding,
            adopted: floor < fence,
            cleared: false,
        });
    }

    /// Stops to hold.
    pub(crate) fn release(&mut self) {
        if let Some(held) = &mut self.held {
            held.phase = held.phase.max(Phase::Stopping);
        }
    }

    /// Notes that every order of the given-up holding was answered; tells whether that is news.
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

    /// Ends the drain; tells whether that is news.
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

    /// Notes a holder that has settled its orders.
    pub(crate) fn record_finished(&mut self, fence: Fence, floor: Fence) {
        if self.last_finished.is_none_or(|h| h.fence < fence) {
            self.last_finished = Some(FinishedHolder { fence, floor });
        }
    }
}
