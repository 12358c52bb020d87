//! [`Current`]: the latest accepted record of one key.

use std::sync::Arc;

use caraway_types::Offset;

use crate::{
    Record, State,
    head::{Head, Standing},
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
        self.heads.get(name.as_str()).and_then(|h| current(h))
    }

    /// Returns the latest accepted record of each key, ordered by kind and key.
    pub fn all(&self) -> impl Iterator<Item = Current> {
        self.heads.values().filter_map(|h| current(h))
    }
}

fn current(head: &Head) -> Option<Current> {
    let last = head.texts.last()?;
    Some(Current {
        revision: head.revision,
        in_force: last.standing == Standing::Valid,
        record: Record::parse(&last.text).ok()?,
        text: last.text.clone(),
    })
}
