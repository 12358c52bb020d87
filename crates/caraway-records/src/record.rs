//! [`Record`]: the envelope of a record, which every program version reads the same way.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use caraway_types::{Findings, Offset};

use crate::{
    Body, Kind,
    fields::{Fields, merge},
    limits::{ID_BYTES, KEY_BYTES, KIND_BYTES},
};

/// One record as operators publish it, in JSON.
///
/// The envelope alone decides whether a record is accepted; so instances of different program
/// versions accept the same records, also those whose schema only some of them know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Schema version of the body, from 1.
    pub schema: u32,
    /// What it governs; see [`Kind`].
    pub kind: Arc<str>,
    /// Which one of its kind.
    pub key: Arc<str>,
    /// Offset of the accepted record it was made against; absent for a new key.
    pub base: Option<Offset>,
    /// Unique per intended change; a repetition with the same id is no second change.
    pub id: Arc<str>,
    /// Who made it, for people.
    pub author: Option<Arc<str>>,
    /// The content; null is a tombstone.
    pub body: Value,
}

/// What a program makes of a body.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reading {
    /// A body in the newest schema.
    Body(Kind, Box<Body>),
    /// The key is deleted.
    Tombstone(Kind),
    /// The kind or the schema is newer than this program.
    Newer,
}

impl Record {
    /// Reads the envelope; fields that it does not know are ignored.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut found = Findings::default();
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(e) => {
                found.add("", format!("not JSON: {e}"));
                return Err(found);
            }
        };
        Self::from_value(&value)
    }

    /// Reads the envelope from JSON that is already parsed.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn from_value(value: &Value) -> Result<Self, Findings> {
        let mut found = Findings::default();
        let record = Self::read_envelope(value, false, &mut found);
        found.into_result(record)
    }

    /// Checks a record before it is published, more strictly than the fold does.
    ///
    /// Also reports unknown fields of the envelope, kinds and schemas that this program does not
    /// know, and a body that is left out rather than null.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn check(value: &Value) -> Result<Self, Findings> {
        let mut found = Findings::default();
        let record = Self::read_envelope(value, true, &mut found);
        if value.get("body").is_none() {
            found.add("/body", "missing; null deletes the key");
        }
        match record.kind.parse::<Kind>() {
            Err(expected) if !record.kind.is_empty() => found.add("/kind", expected),
            Ok(kind) if record.schema > kind.schema() => {
                let newest = kind.schema();
                found.add("/schema", format!("expected a schema from 1 to {newest}"));
            }
            _ => {
                let body = record.read(None).err().unwrap_or_default();
                merge(&mut found, &body);
            }
        }
        found.into_result(record)
    }

    fn read_envelope(value: &Value, strict: bool, found: &mut Findings) -> Self {
        let Some(mut fields) = Fields::new(value, "", found) else {
            return Self::default();
        };
        let f = &mut fields;
        let schema = f.optional("schema").and_then(Value::as_u64);
        let schema = schema.and_then(|s| u32::try_from(s).ok()).unwrap_or(0);
        if schema == 0 {
            found.add("/schema", "expected a schema version from 1");
        }
        let id = format!("a text of 1 to {ID_BYTES} bytes");
        let short = |t: &str| !t.is_empty() && t.len() <= ID_BYTES;
        let record = Self {
            schema,
            kind: f.text("kind", "a kind", is_kind, found),
            key: f.text("key", "a key", is_key, found),
            base: base(f, found),
            id: f.text("id", &id, short, found),
            author: f.optional_text("author", &id, short, found),
            body: f.optional("body").cloned().unwrap_or_default(),
        };
        if strict {
            fields.finish(found);
        }
        record
    }

    /// Returns the record as the text to publish.
    #[must_use]
    pub fn text(&self) -> Arc<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns the name by which the fold knows the key, `kind/key`.
    pub(crate) fn name(&self) -> Arc<str> {
        format!("{}/{}", self.kind, self.key).into()
    }

    /// Reads the body, in schemas up to `limit` of those that this program knows.
    pub(crate) fn read(&self, limit: Option<u32>) -> Result<Reading, Findings> {
        let Ok(kind) = self.kind.parse::<Kind>() else {
            return Ok(Reading::Newer);
        };
        if self.body.is_null() {
            return Ok(Reading::Tombstone(kind));
        }
        let newest = limit.map_or(kind.schema(), |l| l.min(kind.schema()));
        if self.schema > newest {
            return Ok(Reading::Newer);
        }
        let mut found = Findings::default();
        kind.check_key(&self.key, &mut found);
        match Body::read(kind, self.schema, &self.body) {
            Ok(body) => found.into_result(Reading::Body(kind, Box::new(body))),
            Err(more) => {
                merge(&mut found, &more);
                Err(found)
            }
        }
    }
}

/// Reads the revision that a record was made against.
fn base(fields: &mut Fields<'_>, found: &mut Findings) -> Option<Offset> {
    fields.optional("base")?;
    Some(fields.whole("base", Offset::MAX, 0, found))
}

/// Tells whether `text` may be a kind.
fn is_kind(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b == b'_';
    !text.is_empty() && text.len() <= KIND_BYTES && text.bytes().all(plain)
}

/// Tells whether `text` may be a key.
fn is_key(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-@".contains(&b);
    !text.is_empty() && text.len() <= KEY_BYTES && text.bytes().all(plain)
}
