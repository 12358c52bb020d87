//! Reading a body to its end.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::Allowance;

/// Says why a body could not be read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// Too many long bodies are read at once.
    NoRoom,
    /// It ended early.
    Broken(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is too large"),
            Self::NoRoom => f.write_str("too many long bodies are read at once"),
            Self::Broken(why) => write!(f, "the body broke off: {why}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] when the body is longer or ends early.
pub async fn read_whole(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    read_within(body, limit, &Allowance::default()).await
}

/// Reads a body of at most `limit` bytes, while `allowance` has room for it.
///
/// # Errors
///
/// Returns a [`BodyError`] when the body is longer, finds no room or ends early.
pub async fn read_within(
    mut body: Incoming,
    limit: usize,
    allowance: &Allowance,
) -> Result<Bytes, BodyError> {
    let mut share = allowance.share();
    let mut parts: Option<BytesMut> = None;
    let mut first: Option<Bytes> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let have = parts.as_ref().map_or(0, BytesMut::len) + first.as_ref().map_or(0, Bytes::len);
        if have + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !share.grow_to(have + data.len()) {
            return Err(BodyError::NoRoom);
        }
        match (&mut parts, first.take()) {
            (Some(all), _) => all.extend_from_slice(&data),
            (None, None) => first = Some(data),
            (None, Some(start)) => {
                let mut all = BytesMut::from(&start[..]);
                all.extend_from_slice(&data);
                parts = Some(all);
            }
        }
    }
    Ok(parts.map(BytesMut::freeze).or(first).unwrap_or_default())
}
