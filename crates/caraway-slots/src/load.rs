//! [`Load`]: one adapter version in one slot.

use std::time::Instant;

use caraway_types::{AccountId, AdapterRef};

/// What is known of a load that takes a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// The load was ordered and has not ended.
    Loading,
    /// The adapter answers requests under the load's name.
    Resident,
    /// The unload was ordered and has not ended.
    Unloading,
    /// The answer to an order was lost; only a report taken later settles it.
    InDoubt,
}

/// One adapter version that takes, or may take, a slot of a replica.
#[derive(Clone, Debug)]
pub struct Load {
    /// The adapter version.
    pub adapter: AdapterRef,
    /// What is known of it.
    pub state: LoadState,
    /// Own attempts that run on it.
    pub pins: u32,
    /// Requests of other holders that run on it, as last reported.
    pub foreign: u32,
    /// The client account that it was last used for.
    pub account: Option<AccountId>,
    /// Whether this holder ordered it in its present holding.
    pub own: bool,
    /// When it entered its state.
    pub since: Instant,
    /// When an attempt last used it, of this holder or, as reported, of an earlier one.
    pub used: Instant,
}

impl Load {
    /// Tells whether the load may be unloaded now: resident, and no attempt runs on it.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state == LoadState::Resident && self.pins == 0 && self.foreign == 0
    }
}
