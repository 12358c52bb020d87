//! [`Current`]: the last accepted record of one key.

use std::sync::Arc;

use caraway_types::Offset;

use crate::{
    Record, State,
    head::{Head, Standing},
};

/// The last accepted record of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// Offset at which it was accepted; the base of the next record.
    pub revision: Offset,
    /// Whether it is in force; otherwise its body is invalid or newer than this program.
    pub in_force: bool,
    /// The record.
    pub record: Record,
    /// The record as it stands in the log.
    pub text: Arc<str>,
}

impl State {
    /// Returns the last accepted record of a key.
    #[must_use]
    pub fn current(&self, kind: &str, key: &str) -> Option<Current> {
        let name = format!("{kind}/{key}");
        self.heads.get(name.as_str()).and_then(|h| current(h))
    }

    /// Returns the last accepted record of each key, in the order of kinds and keys.
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
