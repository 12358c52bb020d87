//! [`AdapterVersion`]: that a version of an adapter exists.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Findings;

use crate::fields::Fields;

/// Longest base model name and note, in bytes.
const TEXT_BYTES: usize = 1024;

/// Says that the weight store holds a version of an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdapterVersion {
    /// The base model it was trained for; empty where there is only one.
    pub base_model: Arc<str>,
    /// Remark of its author.
    pub note: Arc<str>,
}

impl AdapterVersion {
    /// Reads schema 1.
    pub(crate) fn read(fields: &mut Fields<'_>, found: &mut Findings) -> Self {
        let expected = format!("a text of at most {TEXT_BYTES} bytes");
        let mut text = |name| {
            fields
                .optional_text(name, &expected, |t| t.len() <= TEXT_BYTES, found)
                .unwrap_or_default()
        };
        Self {
            base_model: text("base_model"),
            note: text("note"),
        }
    }
}
