//! [`Fences`]: fencing tokens that rise and are unique.
//!
//! A token is a counter in the high 32 bits above the tag of the instance that made it. The
//! counter exceeds the largest seen for the replica, and tags of known instances differ.

use std::collections::BTreeMap;

use caraway_types::{EndpointId, Fence, Incarnation};

use crate::rendezvous;

/// Low bits of a token, which hold the tag.
const TAG_BITS: u32 = 32;

/// Returns the `salt`-th choice of a tag for one incarnation of an instance; it takes the first,
/// zero, unless a known peer has the same.
#[must_use]
pub fn instance_tag(id: &str, incarnation: Incarnation, salt: u32) -> u32 {
    let key = format!("{incarnation}/{salt}");
    let hash = rendezvous::weight(&key, id) >> TAG_BITS;
    u32::try_from(hash).unwrap_or_default()
}

/// Returns the tag of the instance that made a token.
#[must_use]
pub fn issuer_tag(fence: Fence) -> u32 {
    u32::try_from(fence & Fence::from(u32::MAX)).unwrap_or_default()
}

/// Knows the largest token of each replica.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Fences {
    largest: BTreeMap<EndpointId, Fence>,
}

impl Fences {
    /// Notes a token that was seen.
    pub(crate) fn observe(&mut self, endpoint: &EndpointId, fence: Fence) {
        let largest = self.largest.entry(endpoint.clone()).or_default();
        *largest = fence.max(*largest);
    }

    /// Returns the largest token seen, zero if none.
    pub(crate) fn largest(&self, endpoint: &EndpointId) -> Fence {
        self.largest.get(endpoint).copied().unwrap_or_default()
    }

    /// Makes a token larger than every one seen.
    pub(crate) fn issue(&mut self, endpoint: &EndpointId, tag: u32) -> Fence {
        let largest = self.largest(endpoint);
        let fence = (((largest >> TAG_BITS) + 1) << TAG_BITS) | Fence::from(tag);
        self.observe(endpoint, fence);
        fence
    }
}
