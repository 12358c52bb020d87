//! States how much a zone's endpoints can take.

use std::time::Instant;

use super::Placer;

impl Placer {
    /// Returns the number of requests that the usable endpoints can take at once in addition.
    #[must_use]
    pub fn free_slots(&self, now: Instant) -> usize {
        let usable = self.replicas.values().filter(|r| r.is_usable(now));
        let free = usable.map(|r| r.endpoint.slots.saturating_sub(r.running));
        free.map(|slots| slots as usize).sum()
    }
}
