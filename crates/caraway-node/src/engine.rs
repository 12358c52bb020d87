//! [`Engine`]: one engine of this zone, as the node knows it.

use std::time::Instant;

use caraway_slots::{Load, LoadState, Replica};
use caraway_types::{AdapterRef, EndpointId, FencingToken, LoadName};

use crate::EndpointSettings;

/// One engine of this zone.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EndpointSettings,
    pub(crate) replica: Replica,
    /// Fencing token of every order, while this instance holds the replica.
    pub(crate) fence: Option<FencingToken>,
    /// Whether the engine has reported since the replica was acquired.
    pub(crate) reported: bool,
    /// Own attempts that run.
    pub(crate) running: u32,
    /// Orders that have not ended.
    pub(crate) orders: u32,
    /// No load is tried before this time.
    pub(crate) blocked: Option<Instant>,
    /// Whether a lost replica still has orders or attempts that members must hear the end of.
    pub(crate) releasing: bool,
}

impl Engine {
    pub(crate) fn new(settings: &EndpointSettings) -> Self {
        Self {
            settings: settings.clone(),
            replica: Replica::new(settings.slots),
            fence: None,
            reported: false,
            running: 0,
            orders: 0,
            blocked: None,
            releasing: false,
        }
    }

    /// Takes the replica over.
    pub(crate) fn acquire(&mut self, fence: FencingToken) {
        self.fence = Some(fence);
        self.replica.clear();
        self.reported = false;
        self.blocked = None;
    }

    /// Gives the replica up.
    pub(crate) fn release(&mut self) {
        self.fence = None;
        self.releasing = true;
    }

    /// Returns the number of requests that the batch holds.
    pub(crate) fn batch(&self) -> u32 {
        let foreign: u32 = self.replica.loads().map(|(_, l)| l.foreign_requests).sum();
        self.running + foreign
    }

    /// Tells whether another request would run at once.
    pub(crate) fn has_place(&self) -> bool {
        self.batch() < self.settings.max_batch
    }

    /// Tells whether free slots are known to be free and may be filled now.
    pub(crate) fn may_load(&self, now: Instant) -> bool {
        let blocked = self.blocked.is_some_and(|until| now < until);
        self.fence.is_some() && self.reported && !blocked
    }

    /// Counts loads that take a place in transit.
    pub(crate) fn in_transit(&self) -> u32 {
        let moving = |l: &&Load| {
            l.ordered_here && matches!(l.state, LoadState::Loading | LoadState::InDoubt)
        };
        let count = self.replica.loads().map(|(_, l)| l).filter(moving).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Counts unloads that have not ended.
    pub(crate) fn unloading(&self) -> usize {
        let unloading = |l: &&Load| l.state == LoadState::Unloading;
        self.replica
            .loads()
            .map(|(_, l)| l)
            .filter(unloading)
            .count()
    }

    /// Returns the adapter versions that are resident or on their way.
    pub(crate) fn expected(&self) -> impl Iterator<Item = &AdapterRef> {
        let expected = |l: &&Load| matches!(l.state, LoadState::Resident | LoadState::Loading);
        self.replica
            .loads()
            .map(|(_, l)| l)
            .filter(expected)
            .map(|l| &l.adapter)
    }
}

/// Names a load uniquely for its holder: `adapter@version#fence.number`.
pub(crate) fn load_name(adapter: &AdapterRef, fence: FencingToken, number: u64) -> LoadName {
    format!("{adapter}#{fence:x}.{number}").into()
}

/// Returns the fencing token in a load's name; zero when it has none.
pub(crate) fn load_fence(name: &str) -> FencingToken {
    let text = name.rsplit_once('#').and_then(|(_, t)| t.split_once('.'));
    text.and_then(|(fence, _)| FencingToken::from_str_radix(fence, 16).ok())
        .unwrap_or(0)
}

/// Names the replica whose holder owns the permits of a zone; no endpoint can have this name.
pub(crate) fn store_id(zone: &str) -> EndpointId {
    format!("store/{zone}").into()
}
