//! [`Head`]: the accepted records of one key that still matter.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use crate::{digest, limits::KEPT_TEXTS};

/// What the fold keeps for one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Head {
    /// Offset of the last accepted record.
    pub(crate) revision: Offset,
    /// Who made it.
    pub(crate) author: Option<Arc<str>>,
    /// Whether the key is deleted.
    pub(crate) deleted: bool,
    /// The accepted records, the latest last.
    ///
    /// Before it stand the one in force, if that is another, records of older schemas that
    /// programs fall back to which do not know the later ones, and records of newer schemas.
    pub(crate) texts: Vec<Kept>,
}

/// An accepted record.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Kept {
    /// Where it was accepted.
    pub(crate) offset: Offset,
    /// Schema of its body.
    pub(crate) schema: u32,
    /// What it counts for.
    pub(crate) standing: Standing,
    /// The record.
    pub(crate) text: Arc<str>,
}

/// What an accepted record counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Standing {
    /// It was in force from its offset on.
    Valid,
    /// Its body is invalid.
    Void,
    /// Its schema or kind is newer than the program.
    Held,
}

impl Head {
    /// Takes the next accepted record and drops those that no program needs any more.
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

    /// Forgets every record but the tombstone.
    pub(crate) fn delete(&mut self, kept: Kept) {
        self.revision = kept.offset;
        self.deleted = true;
        self.texts = vec![kept];
    }

    /// Returns the part of the digest.
    pub(crate) fn mark(&self, name: &str) -> u64 {
        let text = self.texts.last().map_or("", |k| &k.text);
        digest::head(name, self.revision, text)
    }

    /// Returns the size of the latest record, in bytes.
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
