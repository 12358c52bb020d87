//! Rendezvous hashing (Thaler and Ravishankar, 1998): of the candidates, the one with the highest
//! hash of candidate and key is chosen, so that a change of candidates moves only its own share.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key` in rendezvous hashing.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Chooses the candidate with the highest weight; ties go to the larger name.
pub(crate) fn choose<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|c| (weight(key, c), *c))
}
