//! [`KeyHistory`]: the accepted records of one key that the fold retains.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use crate::{digest, limits::KEPT_TEXTS};

/// The state of one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Head {
    /// Offset of the latest accepted record.
    pub(crate) revision: Offset,
    /// Author of the latest accepted record.
    pub(crate) author: Option<Arc<str>>,
    /// Whether the key is deleted.
    pub(crate) deleted: bool,
    /// The retained records in the order of their offsets; the last is the latest accepted one.
    ///
    /// The others are the record in force, if the latest one is not, records in older schemas for
    /// programs that do not support the later ones, and records in newer schemas.
    pub(crate) texts: Vec<Kept>,
}

/// An accepted record that the fold retains.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Kept {
    /// Offset of the record in the log.
    pub(crate) offset: Offset,
    /// Schema version of the body.
    pub(crate) schema: u32,
    /// Whether the body is in force.
    pub(crate) standing: Standing,
    /// The record's JSON.
    pub(crate) text: Arc<str>,
}

/// Whether the body of an accepted record was put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Standing {
    /// The body was valid and put in force at the record's offset.
    Valid,
    /// The body is invalid.
    Void,
    /// The schema or kind is newer than the program, so the body was not interpreted.
    Held,
}

impl Head {
    /// Appends the next accepted record and drops those that no program version needs any more.
    pub(crate) fn push(&mut self, kept: Kept) {
        self.revision = kept.offset;
        self.texts.retain(|k| k.standing != Standing::Void);
        if kept.standing == Standing::Valid {
            self.texts.retain(|k| k.schema < kept.schema);
        }
        self.texts.push(kept);
        while self.texts.len() > KEPT_TEXTS {
            self.drop_oldest();
        }
    }

    /// Marks the key as deleted and drops all records but the tombstone.
    pub(crate) fn delete(&mut self, kept: Kept) {
        self.revision = kept.offset;
        self.deleted = true;
        self.texts = vec![kept];
    }

    /// Returns the contribution of this key to the digest of the state.
    pub(crate) fn mark(&self, name: &str) -> u64 {
        let text = self.texts.last().map_or("", |k| &k.text);
        digest::head(name, self.revision, text)
    }

    /// Returns the size of the latest record's JSON, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.texts.last().map_or(0, |k| k.text.len())
    }

    /// Returns the record in force.
    pub(crate) fn valid(&self) -> Option<&Kept> {
        let mut latest_first = self.texts.iter().rev();
        latest_first.find(|k| k.standing == Standing::Valid)
    }

    /// Drops the oldest record that is neither in force nor the latest.
    fn drop_oldest(&mut self) {
        let in_force = self.valid().map(|k| k.offset);
        let spare = self.texts.iter().position(|k| Some(k.offset) != in_force);
        self.texts.remove(spare.unwrap_or(0));
    }
}
