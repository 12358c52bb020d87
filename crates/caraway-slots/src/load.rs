//! [`Load`]: an adapter version that occupies a slot of a replica.

use std::time::Instant;

use caraway_types::{AccountId, AdapterRef};

/// State of a load that occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// The load was ordered and has not completed.
    Loading,
    /// The engine serves requests under the name of the load.
    Resident,
    /// The unload was ordered and has not completed.
    Unloading,
    /// The answer to a load or unload order was lost; a later report of the engine shows the
    /// effect.
    InDoubt,
}

/// An adapter version that occupies, or may occupy, a slot of a replica.
#[derive(Clone, Debug)]
pub struct Load {
    /// Adapter version in the slot.
    pub adapter: AdapterRef,
    /// State of the load.
    pub state: LoadState,
    /// Number of this holder's attempts that run on it.
    pub pins: u32,
    /// Number of requests of earlier holders that run on it, from the last report.
    pub foreign_requests: u32,
    /// Client account that last used it; `None` if this holder has not used it yet.
    pub account: Option<AccountId>,
    /// Whether this holder ordered the load since it last became the holder.
    pub ordered_here: bool,
    /// When the load entered its state.
    pub since: Instant,
    /// When a request last used it: an attempt of this holder, or a reported one of another.
    pub last_used: Instant,
}

impl Load {
    /// Returns whether the load may be unloaded now: it is resident and no request runs on it.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == LoadState::Resident && self.pins == 0 && self.foreign_requests == 0
    }
}
