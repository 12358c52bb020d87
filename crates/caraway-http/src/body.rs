//! Reads the whole body of a received message into memory.

use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

use crate::MemoryBudget;

/// Why a body could not be read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The [`MemoryBudget`] is used up by other bodies that are read concurrently.
    BudgetExceeded,
    /// The connection failed or closed before the end of the body; the cause.
    Incomplete(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body exceeds the size limit"),
            Self::BudgetExceeded => f.write_str("too many large bodies are read concurrently"),
            Self::Incomplete(cause) => write!(f, "the body is incomplete: {cause}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is longer or incomplete.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: fmt::Display> + Unpin,
{
    read_body_within(body, limit, &MemoryBudget::default()).await
}

/// Reads a body of at most `limit` bytes whose memory is counted against `budget` while it is
/// read.
///
/// # Errors
///
/// Returns a [`BodyError`] if the body is longer or incomplete, or if `budget` is used up.
pub async fn read_body_within<B>(
    mut body: B,
    limit: usize,
    budget: &MemoryBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: fmt::Display> + Unpin,
{
    let mut reservation = budget.reserve();
    // A body of a single frame, the usual case, is returned without copying it.
    let mut joined: Option<BytesMut> = None;
    let mut first: Option<Bytes> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Incomplete(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = joined.as_ref().map_or(0, BytesMut::len) + first.as_ref().map_or(0, Bytes::len);
        if len + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if !reservation.grow_to(len + data.len()) {
            return Err(BodyError::BudgetExceeded);
        }
        match (&mut joined, first.take()) {
            (Some(all), _) => all.extend_from_slice(&data),
            (None, None) => first = Some(data),
            (None, Some(start)) => {
                let mut all = BytesMut::from(&start[..]);
                all.extend_from_slice(&data);
                joined = Some(all);
            }
        }
    }
    Ok(joined.map(BytesMut::freeze).or(first).unwrap_or_default())
}
