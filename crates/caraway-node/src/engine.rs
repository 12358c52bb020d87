//! [`Engine`]: state of one engine of this zone, as known to the node.

use std::time::Instant;

use caraway_slots::{Load, LoadState, Replica};
use caraway_types::{AdapterRef, EndpointId, FencingToken, LoadName};

use crate::EndpointSettings;

/// State of one engine of this zone.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EndpointSettings,
    /// Adapter slots of the engine and the loads in them.
    pub(crate) replica: Replica,
    /// Fencing token for orders; `None` while this instance does not hold the replica.
    pub(crate) fence: Option<FencingToken>,
    /// Whether the engine has sent a report since the replica was acquired.
    pub(crate) reported: bool,
    /// Number of attempts of this instance that run on the engine.
    pub(crate) running_attempts: u32,
    /// Number of load and unload orders whose result has not arrived.
    pub(crate) open_orders: u32,
    /// Time until which no load is ordered, after the engine refused one.
    pub(crate) blocked_until: Option<Instant>,
    /// Whether the replica was lost and the end of its orders and attempts is not yet reported to
    /// [`Members`](caraway_members::Members).
    pub(crate) release_pending: bool,
}

impl Engine {
    pub(crate) fn new(settings: &EndpointSettings) -> Self {
        Self {
            settings: settings.clone(),
            replica: Replica::new(settings.slots),
            fence: None,
            reported: false,
            running_attempts: 0,
            open_orders: 0,
            blocked_until: None,
            release_pending: false,
        }
    }

    /// Becomes the holder of the replica. Its loads are unknown until the next report.
    pub(crate) fn acquire(&mut self, fence: FencingToken) {
        self.fence = Some(fence);
        self.replica.clear();
        self.reported = false;
        self.blocked_until = None;
    }

    /// Stops being the holder of the replica.
    pub(crate) fn release(&mut self) {
        self.fence = None;
        self.release_pending = true;
    }

    /// Returns whether this instance holds the replica.
    pub(crate) fn is_held(&self) -> bool {
        self.fence.is_some()
    }

    /// Returns the number of requests in the running batch, including those of earlier holders.
    pub(crate) fn batch_size(&self) -> u32 {
        let foreign: u32 = self.replica.loads().map(|(_, l)| l.foreign_requests).sum();
        self.running_attempts + foreign
    }

    /// Returns whether the batch has room for another request.
    pub(crate) fn has_batch_room(&self) -> bool {
        self.batch_size() < self.settings.max_batch
    }

    /// Returns whether loads may be ordered now: the replica is held, a report has shown which
    /// slots are free, and no refusal delays further loads.
    pub(crate) fn accepts_loads(&self, now: Instant) -> bool {
        let blocked = self.blocked_until.is_some_and(|until| now < until);
        self.is_held() && self.reported && !blocked
    }

    /// Returns the number of loads in transit: ordered here, but not known to be finished.
    pub(crate) fn transit_count(&self) -> u32 {
        let is_in_transit = |l: &&Load| {
            l.ordered_here && matches!(l.state, LoadState::Loading | LoadState::InDoubt)
        };
        let count = self
            .replica
            .loads()
            .map(|(_, l)| l)
            .filter(is_in_transit)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the number of unloads that have not ended.
    pub(crate) fn unloading_count(&self) -> usize {
        let is_unloading = |l: &&Load| l.state == LoadState::Unloading;
        self.replica
            .loads()
            .map(|(_, l)| l)
            .filter(is_unloading)
            .count()
    }

    /// Iterates over the adapter versions that are resident or loading.
    pub(crate) fn resident_or_loading(&self) -> impl Iterator<Item = &AdapterRef> {
        let is_present = |l: &&Load| matches!(l.state, LoadState::Resident | LoadState::Loading);
        self.replica
            .loads()
            .map(|(_, l)| l)
            .filter(is_present)
            .map(|l| &l.adapter)
    }
}

/// Returns the name of a load, `adapter@version#fence.number`. It is unique because a fencing token
/// belongs to one holder, and the holder numbers its loads.
pub(crate) fn load_name(adapter: &AdapterRef, fence: FencingToken, number: u64) -> LoadName {
    format!("{adapter}#{fence:x}.{number}").into()
}

/// Returns the fencing token in the name of a load, or zero if it contains none.
pub(crate) fn load_fence(name: &str) -> FencingToken {
    let parts = name.rsplit_once('#').and_then(|(_, t)| t.split_once('.'));
    parts
        .and_then(|(fence, _)| FencingToken::from_str_radix(fence, 16).ok())
        .unwrap_or(0)
}

/// Returns the identifier of a zone's weight store, which is held like a replica: its holder owns
/// the zone's load permits. No endpoint can have this identifier.
pub(crate) fn store_id(zone: &str) -> EndpointId {
    format!("store/{zone}").into()
}
