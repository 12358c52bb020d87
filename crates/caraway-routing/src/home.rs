//! [`home`]: the replica where requests for an adapter version that is nowhere resident meet.

use caraway_types::{AdapterRef, EndpointId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of an adapter version, from which its homes are chosen.
#[must_use]
pub fn adapter_hash(adapter: &AdapterRef) -> u64 {
    let name = xxh3_64_with_seed(adapter.adapter.as_bytes(), 0);
    xxh3_64_with_seed(adapter.version.as_bytes(), name)
}

/// Hash of a replica.
#[must_use]
pub fn replica_hash(endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), 1)
}

/// Chooses among replicas, given their hashes, by rendezvous hashing (Thaler and Ravishankar,
/// 1996): instances that see the same replicas choose the same one.
#[must_use]
pub fn home<T>(adapter: u64, replicas: impl Iterator<Item = (u64, T)>) -> Option<T> {
    replicas
        .max_by_key(|(hash, _)| mix(adapter ^ hash))
        .map(|(_, replica)| replica)
}

/// Mixes bits, after the finaliser of `MurmurHash3`.
fn mix(value: u64) -> u64 {
    let mut z = value;
    z = (z ^ (z >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    z = (z ^ (z >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    z ^ (z >> 33)
}
