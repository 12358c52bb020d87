//! Rendezvous hashing (Thaler and Ravishankar, 1998): the candidate with the highest hash of
//! candidate and key is chosen, so that adding or removing a candidate moves only its own keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous hash of `candidate` for `key`; the highest one is chosen.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the candidate with the highest weight; ties go to the lexicographically larger name.
pub(crate) fn choose<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    candidates.max_by_key(|c| (weight(key, c), *c))
}
