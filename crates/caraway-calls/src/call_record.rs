//! The records of the `calls` stream: [`CallRecord`] and the [`Outcome`] of a call.

use std::{fmt::Write, sync::Arc};

use caraway_types::Refusal;
use serde::{Deserialize, Serialize};

use crate::{CallKey, Owner, RequestHash};

/// Schema of the records that this version writes.
pub(crate) const SCHEMA: u32 = 1;

/// One record of the `calls` stream, written in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallRecord {
    /// Version of the record's form.
    pub schema: u32,
    /// The call.
    pub call: CallKey,
    /// Hash of the request.
    pub hash: RequestHash,
    /// Who may carry the call out.
    pub owner: Owner,
    /// What the record says.
    pub step: Step,
}

/// What a [`CallRecord`] says of its call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The owner wants to carry the call out; the first intent wins.
    Intent,
    /// The call has ended.
    Outcome(Outcome),
    /// A newer version wrote something that this one does not know.
    #[default]
    Unknown,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The service answered.
    Answered(Recorded),
    /// The call may have run and its answer is lost.
    InDoubt(Refusal),
    /// The call certainly did not run and its owner will not send it; the key is free again.
    NotRun,
}

/// An answer of a service as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty where there was none.
    pub content: Arc<str>,
    /// The body.
    pub body: Body,
}

/// The body of a [`Recorded`] answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A body in UTF-8.
    Text(Arc<str>),
    /// Any other body, in hexadecimal.
    Hex(Arc<str>),
    /// The body exceeds what a record may hold; only the first sending got it.
    TooLarge,
}

impl Body {
    /// Records a body of at most `limit` bytes.
    #[must_use]
    pub fn record(bytes: &[u8], limit: usize) -> Self {
        if bytes.len() > limit {
            return Self::TooLarge;
        }
        if let Ok(text) = std::str::from_utf8(bytes) {
            return Self::Text(text.into());
        }
        let mut hex = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            let _ = write!(hex, "{byte:02x}");
        }
        Self::Hex(hex.into())
    }

    /// Returns the body as it was, or `None` where it was not recorded.
    #[must_use]
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.as_bytes().to_vec()),
            Self::Hex(hex) => hex
                .as_bytes()
                .chunks(2)
                .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
                .collect(),
            Self::TooLarge => None,
        }
    }

    /// Returns the memory that the body takes, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Text(text) | Self::Hex(text) => text.len(),
            Self::TooLarge => 0,
        }
    }
}

/// What every schema of a record has.
#[derive(Deserialize)]
struct Envelope {
    schema: u32,
    call: CallKey,
}

impl CallRecord {
    /// Makes a record in the current schema.
    #[must_use]
    pub fn new(call: CallKey, hash: RequestHash, owner: Owner, step: Step) -> Self {
        Self {
            schema: SCHEMA,
            call,
            hash,
            owner,
            step,
        }
    }

    /// Writes the record as the log keeps it.
    ///
    /// # Panics
    ///
    /// Never: every field has a form in JSON.
    #[must_use]
    pub fn to_text(&self) -> Arc<str> {
        let text = serde_json::to_string(self);
        text.expect("the record has string keys only").into()
    }

    /// Reads a record; a step of a newer schema comes out as [`Step::Unknown`].
    ///
    /// # Errors
    ///
    /// Returns the parser's error when the text is not a record of a call.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text).or_else(|error| {
            let envelope: Envelope = serde_json::from_str(text)?;
            if envelope.schema <= SCHEMA {
                return Err(error);
            }
            Ok(Self {
                schema: envelope.schema,
                call: envelope.call,
                hash: RequestHash::default(),
                owner: Owner::default(),
                step: Step::Unknown,
            })
        })
    }
}
