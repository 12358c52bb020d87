//! The records of the `calls` stream: [`CallRecord`] and the [`Outcome`] of a call.

use std::{fmt::Write, sync::Arc};

use caraway_types::Refusal;
use serde::{Deserialize, Serialize};

use crate::{CallKey, Owner, RequestHash};

/// Schema version of the records that this program writes.
pub(crate) const SCHEMA_VERSION: u32 = 1;

/// One record of the `calls` stream, serialized as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallRecord {
    /// Schema version of the record.
    pub schema: u32,
    /// Key of the call.
    pub call: CallKey,
    /// Hash of the request.
    pub hash: RequestHash,
    /// Instance and nonce that identify the intent to which the record belongs.
    pub owner: Owner,
    /// Step of the call that the record reports.
    pub step: Step,
}

/// Step of a call that a [`CallRecord`] reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The owner proposes to send the call; the first intent in the log wins.
    Intent,
    /// The call ended.
    Outcome(Outcome),
    /// A step of a newer schema that this version cannot parse.
    #[default]
    Unknown,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The service answered.
    Answered(RecordedAnswer),
    /// The call may have run, but its answer was lost.
    InDoubt(Refusal),
    /// The call did not run and its owner will not send it; the key is free again.
    NotRun,
}

/// Answer of a service as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type; empty if the answer had none.
    #[serde(rename = "content")]
    pub content_type: Arc<str>,
    /// Body of the answer.
    pub body: Body,
}

/// Body of a [`RecordedAnswer`], in a form that JSON can hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A body that is valid UTF-8.
    Text(Arc<str>),
    /// Any other body, in hexadecimal.
    Hex(Arc<str>),
    /// The body was too large to be recorded; only the caller whose request was sent received it.
    TooLarge,
}

impl Body {
    /// Encodes a body, or returns [`Body::TooLarge`] if it exceeds `limit` bytes.
    #[must_use]
    pub fn encode(bytes: &[u8], limit: usize) -> Self {
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

    /// Returns the original body, or `None` if it was not recorded.
    #[must_use]
    pub fn decode(&self) -> Option<Vec<u8>> {
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

    /// Returns the size of the encoded body in memory, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        match self {
            Self::Text(text) | Self::Hex(text) => text.len(),
            Self::TooLarge => 0,
        }
    }
}

/// Fields that records of every schema have.
#[derive(Deserialize)]
struct Envelope {
    schema: u32,
    call: CallKey,
}

impl CallRecord {
    /// Creates a record of the current schema.
    #[must_use]
    pub fn new(call: CallKey, hash: RequestHash, owner: Owner, step: Step) -> Self {
        Self {
            schema: SCHEMA_VERSION,
            call,
            hash,
            owner,
            step,
        }
    }

    /// Serializes the record for the log.
    ///
    /// # Panics
    ///
    /// Never: every field can be serialized as JSON.
    #[must_use]
    pub fn to_text(&self) -> Arc<str> {
        let text = serde_json::to_string(self);
        text.expect("the record has string keys only").into()
    }

    /// Parses a record. One of a newer schema that cannot be parsed becomes [`Step::Unknown`], so
    /// that its key stays occupied.
    ///
    /// # Errors
    ///
    /// Returns the parser's error if the text is not a call record.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text).or_else(|error| {
            let envelope: Envelope = serde_json::from_str(text)?;
            if envelope.schema <= SCHEMA_VERSION {
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
