//! [`RecentIds`]: the ids of recently folded records, by which duplicates are detected.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use caraway_types::Offset;

use crate::{ID_WINDOW, digest};

/// The latest [`ID_WINDOW`] record ids.
///
/// The window is a number of records rather than a time, so every instance drops an id at the same
/// offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Ids {
    order: VecDeque<SeenId>,
    offsets: HashMap<u128, (Offset, u64)>,
    sum: u64,
}

/// A remembered record id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(String, u64, Offset)", try_from = "(String, u64, Offset)")]
pub(crate) struct SeenId {
    /// 128-bit hash of the id.
    pub(crate) id: u128,
    /// Hash of the record's JSON.
    pub(crate) text: u64,
    /// Offset of the first record with this id.
    pub(crate) offset: Offset,
}

impl Ids {
    /// Returns the offset of the first record with this id and the hash of its JSON.
    pub(crate) fn find(&self, id: &str) -> Option<(Offset, u64)> {
        self.offsets.get(&xxh3_128(id.as_bytes())).copied()
    }

    /// Adds an id that is not in the window yet.
    pub(crate) fn insert(&mut self, id: &str, text: u64, offset: Offset) {
        self.push(SeenId {
            id: xxh3_128(id.as_bytes()),
            text,
            offset,
        });
    }

    /// Adds a hashed id and drops the oldest one if the window is full.
    pub(crate) fn push(&mut self, seen: SeenId) {
        self.order.push_back(seen);
        self.offsets.insert(seen.id, (seen.offset, seen.text));
        self.sum = self.sum.wrapping_add(seen.mark());
        if self.order.len() > ID_WINDOW {
            self.forget_oldest();
        }
    }

    /// Returns the remembered ids, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &SeenId> {
        self.order.iter()
    }

    /// Returns the contribution of the ids to the digest of the state.
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
