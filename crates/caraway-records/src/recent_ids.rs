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
pub(crate) struct RecentIds {
    order: VecDeque<RecentId>,
    offsets: HashMap<u128, (Offset, u64)>,
    digest_sum: u64,
}

/// A remembered record id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(String, u64, Offset)", try_from = "(String, u64, Offset)")]
pub(crate) struct RecentId {
    /// 128-bit hash of the id.
    pub(crate) id: u128,
    /// Hash of the record's JSON.
    pub(crate) record: u64,
    /// Offset of the first record with this id.
    pub(crate) offset: Offset,
}

impl RecentIds {
    /// Returns the offset of the first record with this id and the hash of its JSON.
    pub(crate) fn find(&self, id: &str) -> Option<(Offset, u64)> {
        self.offsets.get(&xxh3_128(id.as_bytes())).copied()
    }

    /// Adds an id that is not in the window yet.
    pub(crate) fn insert(&mut self, id: &str, record: u64, offset: Offset) {
        self.push(RecentId {
            id: xxh3_128(id.as_bytes()),
            record,
            offset,
        });
    }

    /// Adds a hashed id and drops the oldest one if the window is full.
    pub(crate) fn push(&mut self, entry: RecentId) {
        self.order.push_back(entry);
        self.offsets.insert(entry.id, (entry.offset, entry.record));
        self.digest_sum = self.digest_sum.wrapping_add(entry.digest());
        if self.order.len() > ID_WINDOW {
            self.drop_oldest();
        }
    }

    /// Returns the remembered ids, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RecentId> {
        self.order.iter()
    }

    /// Returns the contribution of the ids to the digest of the state.
    pub(crate) fn digest(&self) -> u64 {
        self.digest_sum
    }

    fn drop_oldest(&mut self) {
        if let Some(dropped) = self.order.pop_front() {
            self.offsets.remove(&dropped.id);
            self.digest_sum = self.digest_sum.wrapping_sub(dropped.digest());
        }
    }
}

impl RecentId {
    fn digest(self) -> u64 {
        digest::id(self.id, self.record, self.offset)
    }
}

impl From<RecentId> for (String, u64, Offset) {
    fn from(entry: RecentId) -> Self {
        (format!("{:x}", entry.id), entry.record, entry.offset)
    }
}

impl TryFrom<(String, u64, Offset)> for RecentId {
    type Error = std::num::ParseIntError;

    fn try_from((id, record, offset): (String, u64, Offset)) -> Result<Self, Self::Error> {
        Ok(Self {
            id: u128::from_str_radix(&id, 16)?,
            record,
            offset,
        })
    }
}
