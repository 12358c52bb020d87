//! [`Fences`]: issues fencing tokens that are unique and increase for each replica.
//!
//! A token has a counter in its high 32 bits and the tag of the issuing instance in its low 32
//! bits. The counter exceeds every one seen for the replica, and the tags of known instances
//! differ.

use std::collections::BTreeMap;

use caraway_types::{EndpointId, FencingToken, Incarnation};

use crate::rendezvous;

/// Number of low bits in a token that hold the tag.
const TAG_BITS: u32 = 32;

/// Returns the tag of one incarnation of an instance for a given `salt`.
///
/// An instance starts with salt 0 and uses the next one while a known peer has the same tag.
#[must_use]
pub fn instance_tag(id: &str, incarnation: Incarnation, salt: u32) -> u32 {
    let key = format!("{incarnation}/{salt}");
    let hash = rendezvous::weight(&key, id) >> TAG_BITS;
    u32::try_from(hash).unwrap_or_default()
}

/// Returns the tag of the instance that issued a token.
#[must_use]
pub fn issuer_tag(fence: FencingToken) -> u32 {
    u32::try_from(fence & FencingToken::from(u32::MAX)).unwrap_or_default()
}

/// The largest known token of each replica.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Fences {
    largest: BTreeMap<EndpointId, FencingToken>,
}

impl Fences {
    /// Records a token that a peer or an engine reported.
    pub(crate) fn observe(&mut self, endpoint: &EndpointId, fence: FencingToken) {
        let largest = self.largest.entry(endpoint.clone()).or_default();
        *largest = fence.max(*largest);
    }

    /// Returns the largest known token, or 0 if there is none.
    pub(crate) fn largest(&self, endpoint: &EndpointId) -> FencingToken {
        self.largest.get(endpoint).copied().unwrap_or_default()
    }

    /// Issues a token larger than every known one.
    pub(crate) fn issue(&mut self, endpoint: &EndpointId, tag: u32) -> FencingToken {
        let largest = self.largest(endpoint);
        let fence = (((largest >> TAG_BITS) + 1) << TAG_BITS) | FencingToken::from(tag);
        self.observe(endpoint, fence);
        fence
    }
}
