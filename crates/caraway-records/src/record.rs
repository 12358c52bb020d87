//! [`Record`]: the envelope of a record, which all program versions parse the same way.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use caraway_types::{Findings, Offset};

use crate::{
    Body, Kind,
    fields::{Fields, append_findings},
    limits::{MAX_ID_BYTES, MAX_KEY_BYTES, MAX_KIND_BYTES},
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
pub(crate) enum ParsedBody {
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
        let mut findings = Findings::default();
        let value: Value = match serde_json::from_str(text) {
            Ok(value) => value,
            Err(e) => {
                findings.add("", format!("not JSON: {e}"));
                return Err(findings);
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
        let mut findings = Findings::default();
        let record = Self::parse_envelope(value, false, &mut findings);
        findings.into_result(record)
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
        let mut findings = Findings::default();
        let record = Self::parse_envelope(value, true, &mut findings);
        if value.get("body").is_none() {
            findings.add("/body", "missing; null deletes the key");
        }
        match record.kind.parse::<Kind>() {
            Err(expected) if !record.kind.is_empty() => findings.add("/kind", expected),
            Ok(kind) if record.schema > kind.schema() => {
                let newest = kind.schema();
                findings.add("/schema", format!("expected a schema from 1 to {newest}"));
            }
            _ => {
                let body = record.parse_body(None).err().unwrap_or_default();
                append_findings(&mut findings, &body);
            }
        }
        findings.into_result(record)
    }

    fn parse_envelope(value: &Value, strict: bool, findings: &mut Findings) -> Self {
        let Some(mut fields) = Fields::new(value, "", findings) else {
            return Self::default();
        };
        let f = &mut fields;
        let schema = f.optional("schema").and_then(Value::as_u64);
        let schema = schema.and_then(|s| u32::try_from(s).ok()).unwrap_or(0);
        if schema == 0 {
            findings.add("/schema", "expected a schema version from 1");
        }
        let expected_id = format!("a text of 1 to {MAX_ID_BYTES} bytes");
        let is_valid_id = |t: &str| !t.is_empty() && t.len() <= MAX_ID_BYTES;
        let record = Self {
            schema,
            kind: f.string("kind", "a kind", is_valid_kind, findings),
            key: f.string("key", "a key", is_valid_key, findings),
            base: parse_base(f, findings),
            id: f.string("id", &expected_id, is_valid_id, findings),
            author: f.optional_string("author", &expected_id, is_valid_id, findings),
            body: f.optional("body").cloned().unwrap_or_default(),
        };
        if strict {
            fields.finish(findings);
        }
        record
    }

    /// Returns the record's JSON, to be appended to the log.
    #[must_use]
    pub fn to_json(&self) -> Arc<str> {
        serde_json::to_string(self).unwrap_or_default().into()
    }

    /// Returns `kind/key`, under which the state stores the key.
    pub(crate) fn state_key(&self) -> Arc<str> {
        format!("{}/{}", self.kind, self.key).into()
    }

    /// Parses the body; schemas above `schema_limit` count as newer than this program.
    pub(crate) fn parse_body(&self, schema_limit: Option<u32>) -> Result<ParsedBody, Findings> {
        let Ok(kind) = self.kind.parse::<Kind>() else {
            return Ok(ParsedBody::Newer);
        };
        if self.body.is_null() {
            return Ok(ParsedBody::Tombstone(kind));
        }
        let newest = schema_limit.map_or(kind.schema(), |l| l.min(kind.schema()));
        if self.schema > newest {
            return Ok(ParsedBody::Newer);
        }
        let mut findings = Findings::default();
        kind.check_key(&self.key, &mut findings);
        match Body::parse(kind, self.schema, &self.body) {
            Ok(body) => findings.into_result(ParsedBody::Body(kind, Box::new(body))),
            Err(more) => {
                append_findings(&mut findings, &more);
                Err(findings)
            }
        }
    }
}

/// Parses the revision that a record replaces.
fn parse_base(fields: &mut Fields<'_>, findings: &mut Findings) -> Option<Offset> {
    fields.optional("base")?;
    Some(fields.integer("base", Offset::MAX, 0, findings))
}

/// Returns whether `text` has the syntax of a kind; the kind need not be known.
fn is_valid_kind(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b == b'_';
    !text.is_empty() && text.len() <= MAX_KIND_BYTES && text.bytes().all(allowed)
}

/// Returns whether `text` has the syntax of a key.
fn is_valid_key(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-@".contains(&b);
    !text.is_empty() && text.len() <= MAX_KEY_BYTES && text.bytes().all(allowed)
}
