//! [`Ids`] remembers the ids of judged records, so that a repetition is no second change.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use caraway_types::Offset;

use crate::{ID_WINDOW, digest};

/// The latest record ids, up to [`ID_WINDOW`].
///
/// Counts records, not time, so every instance forgets an id at the same offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Ids {
    order: VecDeque<SeenId>,
    offsets: HashMap<u128, (Offset, u64)>,
    sum: u64,
}

/// One remembered id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(String, u64, Offset)", try_from = "(String, u64, Offset)")]
pub(crate) struct SeenId {
    /// Hash of the id.
    pub(crate) id: u128,
    /// Hash of the record's text.
    pub(crate) text: u64,
    /// Where it was judged.
    pub(crate) offset: Offset,
}

impl Ids {
    /// Returns where an id was judged and the hash of its record's text.
    pub(crate) fn find(&self, id: &str) -> Option<(Offset, u64)> {
        self.offsets.get(&xxh3_128(id.as_bytes())).copied()
    }

    /// Remembers an id that is not remembered yet.
    pub(crate) fn insert(&mut self, id: &str, text: u64, offset: Offset) {
        self.push(SeenId {
            id: xxh3_128(id.as_bytes()),
            text,
            offset,
        });
    }

    /// Remembers a hashed id, and forgets the oldest one when there are too many.
    pub(crate) fn push(&mut self, seen: SeenId) {
        self.order.push_back(seen);
        self.offsets.insert(seen.id, (seen.offset, seen.text));
        self.sum = self.sum.wrapping_add(seen.mark());
        if self.order.len() > ID_WINDOW {
            self.forget_oldest();
        }
    }

    /// Returns the remembered ids, the oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &SeenId> {
        self.order.iter()
    }

    /// Returns the part of the digest.
    pub(crate) fn sum(&self) -> u64 {
        self.sum
    }

    fn forget_oldest(&mut self) {
        if let Some(old) = self.order.pop_front() {
            self.offsets.remove(&old.id);
            self.sum = self.sum.wrapping_sub(old.mark());
        }
    }
}

impl SeenId {
    fn mark(self) -> u64 {
        digest::id(self.id, self.text, self.offset)
    }
}

impl From<SeenId> for (String, u64, Offset) {
    fn from(seen: SeenId) -> Self {
        (format!("{:x}", seen.id), seen.text, seen.offset)
    }
}

impl TryFrom<(String, u64, Offset)> for SeenId {
    type Error = std::num::ParseIntError;

    fn try_from((id, text, offset): (String, u64, Offset)) -> Result<Self, Self::Error> {
        Ok(Self {
            id: u128::from_str_radix(&id, 16)?,
            text,
            offset,
        })
    }
}
