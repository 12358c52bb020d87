//! [`Helpers`]: the instances that serve requests for one that is cut off.

use std::{collections::HashMap, net::SocketAddr};

use caraway_types::ZoneId;

/// The instances that reach endpoints, by their addresses, as the zones' holders list them.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    lists: HashMap<ZoneId, Vec<SocketAddr>>,
    in_flight: HashMap<SocketAddr, u32>,
    /// Number of choices so far, and that of the last choice of each instance.
    turn: u64,
    last_turns: HashMap<SocketAddr, u64>,
}

impl Helpers {
    /// Replaces the list of a zone's holder.
    pub fn set(&mut self, zone: &ZoneId, list: Vec<SocketAddr>) {
        self.lists.insert(zone.clone(), list);
    }

    /// Removes all lists, as they are outdated once the instance needs no help.
    pub fn clear(&mut self) {
        self.lists.clear();
        self.last_turns.clear();
    }

    /// Returns whether no instance is known to help.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lists.values().all(Vec::is_empty)
    }

    /// Chooses the helper with the fewest requests in flight that is not in `tried`, and counts a
    /// request to it until [`Self::on_end`].
    pub fn choose(&mut self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let load = |addr: &SocketAddr| {
            let in_flight = self.in_flight.get(addr).copied().unwrap_or(0);
            (in_flight, self.last_turns.get(addr).copied().unwrap_or(0))
        };
        let all = self.lists.values().flatten();
        let helper = *all
            .filter(|addr| !tried.contains(addr))
            .min_by_key(|addr| load(addr))?;
        self.turn += 1;
        self.last_turns.insert(helper, self.turn);
        *self.in_flight.entry(helper).or_default() += 1;
        Some(helper)
    }

    /// Records the end of a request that a helper was chosen for.
    pub fn on_end(&mut self, helper: SocketAddr) {
        if let Some(count) = self.in_flight.get_mut(&helper) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&helper);
            }
        }
    }
}
