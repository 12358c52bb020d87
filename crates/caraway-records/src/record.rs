//! [`Record`]: the envelope of a record, which all program versions parse the same way.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use caraway_types::{Findings, Offset};

use crate::{
    Body, Kind,
    fields::{Fields, merge},
    limits::{ID_BYTES, KEY_BYTES, KIND_BYTES},
};

/// A record as operators publish it, in JSON.
///
/// Only the envelope decides whether a record is accepted. So instances of different program
/// versions accept the same records, including those whose schema only some of them support.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Schema version of the body, starting at 1.
    pub schema: u32,
    /// Type of object that the record configures; see [`Kind`].
    pub kind: Arc<str>,
    /// Key of the object; unique within its kind.
    pub key: Arc<str>,
    /// Revision of the key that the record replaces; `None` for a new key.
    pub base: Option<Offset>,
    /// Idempotency key of the change: a record that is appended again with the same id is ignored.
    pub id: Arc<str>,
    /// Name of the author, shown in conflicts.
    pub author: Option<Arc<str>>,
    /// The configuration in the schema of the kind; null deletes the key.
    pub body: Value,
}

/// The result of parsing a body.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reading {
    /// A valid body, converted to the newest schema.
    Body(Kind, Box<Body>),
    /// The record deletes its key.
    Tombstone(Kind),
    /// The kind or the schema is newer than this program or than the schema limit.
    Newer,
}

impl Record {
    /// Parses the envelope and ignores unknown fields.
    ///
    /// # Errors
    ///
    /// Returns all findings with their JSON pointers.
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

    /// Extracts the envelope from a JSON value and ignores unknown fields.
    ///
    /// # Errors
    ///
    /// Returns all findings with their JSON pointers.
    pub fn from_value(value: &Value) -> Result<Self, Findings> {
        let mut found = Findings::default();
        let record = Self::read_envelope(value, false, &mut found);
        found.into_result(record)
    }

    /// Validates a record before it is published, more strictly than the fold does.
    ///
    /// Also rejects unknown fields in the envelope, kinds and schemas that this program does not
    /// support, and a missing body, as only an explicit null deletes a key.
    ///
    /// # Errors
    ///
    /// Returns all findings with their JSON pointers.
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

    /// Returns the record's JSON, to be appended to the log.
    #[must_use]
    pub fn text(&self) -> Arc<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns `kind/key`, under which the state stores the key.
    pub(crate) fn name(&self) -> Arc<str> {
        format!("{}/{}", self.kind, self.key).into()
    }

    /// Parses the body; schemas above `schema_limit` count as newer than this program.
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

/// Parses the revision that a record replaces.
fn base(fields: &mut Fields<'_>, found: &mut Findings) -> Option<Offset> {
    fields.optional("base")?;
    Some(fields.whole("base", Offset::MAX, 0, found))
}

/// Returns whether `text` has the syntax of a kind; the kind need not be known.
fn is_kind(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b == b'_';
    !text.is_empty() && text.len() <= KIND_BYTES && text.bytes().all(plain)
}

/// Returns whether `text` has the syntax of a key.
fn is_key(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-@".contains(&b);
    !text.is_empty() && text.len() <= KEY_BYTES && text.bytes().all(plain)
}
