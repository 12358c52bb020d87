//! [`MessageKind`]: what instances of different builds send each other or write for each other.

use anyhow::{Context, Result, bail};
use caraway_streams::HistoryRecord;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    frame::{self, FromHolder, Received, ToHolder},
    shared::Holder,
};

/// A kind of message that instances of other builds read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A frame from an instance to a zone's holder, without its length.
    ToHolder,
    /// A frame from a zone's holder to an instance, without its length.
    FromHolder,
    /// The record of a zone's holder.
    Holder,
    /// The record of the software versions of a service.
    History,
}

/// A message as this build understands it.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedMessage {
    /// Its fields by name.
    pub fields: Value,
    /// The message as this build encodes it.
    pub encoded: Vec<u8>,
}

impl MessageKind {
    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if this build would not understand it.
    pub fn decode(self, bytes: &[u8]) -> Result<DecodedMessage> {
        match self {
            Self::ToHolder => decode_frame::<ToHolder>(bytes),
            Self::FromHolder => decode_frame::<FromHolder>(bytes),
            Self::Holder => decode_record::<Holder>(bytes),
            Self::History => decode_record::<HistoryRecord>(bytes),
        }
    }
}

fn decode_frame<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Result<DecodedMessage> {
    let frame: T = match frame::decode(bytes) {
        Received::Frame(frame) => frame,
        Received::Skipped(skipped) => bail!("{}: {}", skipped.kind, skipped.problem),
    };
    Ok(DecodedMessage {
        fields: serde_json::to_value(&frame).context("no plain data")?,
        encoded: frame::encode_body(&frame),
    })
}

fn decode_record<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Result<DecodedMessage> {
    let record: T = serde_json::from_slice(bytes)?;
    Ok(DecodedMessage {
        fields: serde_json::to_value(&record).context("no plain data")?,
        encoded: serde_json::to_vec(&record).context("no plain data")?,
    })
}
