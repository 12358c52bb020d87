//! [`AdapterVersion`]: declares a version of an adapter.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Findings;

use crate::fields::Fields;

/// Maximum length of the base model's name and of the note, each, in bytes.
const MAX_TEXT_BYTES: usize = 1024;

/// Declares that the weight store contains a version of an adapter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdapterVersion {
    /// The base model that the version was trained for; empty if the deployment has only one.
    pub base_model: Arc<str>,
    /// Free-form remark of the author; empty if none was given.
    pub note: Arc<str>,
}

impl AdapterVersion {
    /// Parses a body in schema 1.
    pub(crate) fn parse(fields: &mut Fields<'_>, findings: &mut Findings) -> Self {
        let expected = format!("a text of at most {MAX_TEXT_BYTES} bytes");
        let mut text = |name| {
            fields
                .optional_string(name, &expected, |t| t.len() <= MAX_TEXT_BYTES, findings)
                .unwrap_or_default()
        };
        Self {
            base_model: text("base_model"),
            note: text("note"),
        }
    }
}
