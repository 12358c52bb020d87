//! Rendezvous hashing: chooses the home of an adapter version, the replica to which requests go
//! while the version is not resident anywhere.

use caraway_types::{AdapterRef, EndpointId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the hash of an adapter version that [`choose_home`] takes.
#[must_use]
pub fn adapter_hash(adapter: &AdapterRef) -> u64 {
    let name_hash = xxh3_64_with_seed(adapter.adapter.as_bytes(), 0);
    xxh3_64_with_seed(adapter.version.as_bytes(), name_hash)
}

/// Returns the hash of a replica that [`choose_home`] takes.
#[must_use]
pub fn replica_hash(endpoint: &EndpointId) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), 1)
}

/// Chooses one of `replicas`, given with their hashes, by rendezvous hashing (Thaler and
/// Ravishankar, 1996). Instances that know the same replicas choose the same one; if a replica is
/// removed, only the adapter versions that it was chosen for move.
#[must_use]
pub fn choose_home<T>(adapter: u64, replicas: impl Iterator<Item = (u64, T)>) -> Option<T> {
    replicas
        .max_by_key(|(hash, _)| mix(adapter ^ hash))
        .map(|(_, replica)| replica)
}

/// Mixes the bits of a hash with the 64-bit finalizer of `MurmurHash3`.
fn mix(value: u64) -> u64 {
    let mut z = value;
    z = (z ^ (z >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    z = (z ^ (z >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    z ^ (z >> 33)
}
