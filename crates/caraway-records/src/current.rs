//! [`Current`]: the latest accepted record of one key.

use std::sync::Arc;

use caraway_types::Offset;

use crate::{
    Record, State,
    key_history::{BodyStatus, KeyHistory},
};

/// The latest accepted record of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// Offset of the record, which the next record of the key gives as its base.
    pub revision: Offset,
    /// Whether the record is in force; if not, its body is invalid or its kind or schema is newer
    /// than this program.
    pub in_force: bool,
    /// The parsed record.
    pub record: Record,
    /// The record's JSON, unchanged from the log.
    pub text: Arc<str>,
}

impl State {
    /// Returns the latest accepted record of a key, which may be a tombstone.
    #[must_use]
    pub fn current(&self, kind: &str, key: &str) -> Option<Current> {
        let name = format!("{kind}/{key}");
        self.keys.get(name.as_str()).and_then(|h| current(h))
    }

    /// Returns the latest accepted record of each key, ordered by kind and key.
    pub fn all(&self) -> impl Iterator<Item = Current> {
        self.keys.values().filter_map(|h| current(h))
    }
}

fn current(history: &KeyHistory) -> Option<Current> {
    let last = history.records.last()?;
    Some(Current {
        revision: history.revision,
        in_force: last.status == BodyStatus::Valid,
        record: Record::parse(&last.json).ok()?,
        text: last.json.clone(),
    })
}
