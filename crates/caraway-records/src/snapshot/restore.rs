//! Restores a [`State`] from the rows of a snapshot.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use super::{
    SnapshotId,
    row::{RecordRow, Row},
};
use crate::{
    Body, Record, State,
    key_history::{AcceptedRecord, BodyStatus, KeyHistory},
    record::ParsedBody,
};

/// The reason why a snapshot could not be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotError {
    /// No complete snapshot covers enough records.
    Incomplete,
    /// The rows do not match their checksum.
    #[serde(rename = "sum")]
    ChecksumMismatch,
    /// The record of this offset does not parse.
    Record(Offset),
    /// The restored state does not match the digest of the snapshot.
    #[serde(rename = "digest")]
    DigestMismatch,
}

/// The key whose records are being restored, with the latest body in force.
struct PendingKey {
    state_key: Arc<str>,
    key: Arc<str>,
    history: KeyHistory,
    body: Option<Body>,
}

/// Restores the state from the rows of a snapshot, in order.
pub(crate) fn restore<'a>(
    id: SnapshotId,
    schema_limit: Option<u32>,
    rows: impl Iterator<Item = &'a Row>,
) -> Result<State, SnapshotError> {
    let mut state = State::with_schema_limit(schema_limit);
    state.next = id.covered;
    let mut pending = None;
    for row in rows {
        match row {
            Row::Ids(ids) => ids.iter().for_each(|recent| state.ids.push(*recent)),
            Row::Record(row) => {
                pending = Some(add_record(&mut state, pending, row)?);
            }
        }
    }
    if let Some(key) = pending {
        complete_key(&mut state, key);
    }
    if state.digest() != id.digest {
        return Err(SnapshotError::DigestMismatch);
    }
    Ok(state)
}

/// Adds a record to the pending key, or completes that key and starts the record's own.
fn add_record(
    state: &mut State,
    pending: Option<PendingKey>,
    row: &RecordRow,
) -> Result<PendingKey, SnapshotError> {
    let error = SnapshotError::Record(row.offset);
    let record = Record::parse(&row.json).map_err(|_| error)?;
    let state_key = record.state_key();
    let mut key = match pending {
        Some(pending) if pending.state_key == state_key => pending,
        other => {
            if let Some(previous) = other {
                complete_key(state, previous);
            }
            PendingKey {
                state_key,
                key: record.key.clone(),
                history: KeyHistory::default(),
                body: None,
            }
        }
    };
    let (status, body) = resolve_status(&record, state.schema_limit, row.status, error)?;
    if body.is_some() {
        key.body = body;
    }
    let accepted = AcceptedRecord {
        offset: row.offset,
        schema: record.schema,
        status,
        json: row.json.clone(),
    };
    key.history.author = record.author;
    if row.deleted {
        key.history.delete(accepted);
    } else {
        key.history.push(accepted);
    }
    Ok(key)
}

/// Determines the status of a record, as the writer of the snapshot may support other schemas.
fn resolve_status(
    record: &Record,
    schema_limit: Option<u32>,
    written: BodyStatus,
    error: SnapshotError,
) -> Result<(BodyStatus, Option<Body>), SnapshotError> {
    match (record.parse_body(schema_limit), written) {
        (Ok(ParsedBody::Newer), _) => Ok((BodyStatus::Held, None)),
        (_, BodyStatus::Void) | (Err(_), BodyStatus::Held) => Ok((BodyStatus::Void, None)),
        (Ok(ParsedBody::Body(_, body)), _) => Ok((BodyStatus::Valid, Some(*body))),
        (Ok(ParsedBody::Tombstone(_)), _) => Ok((BodyStatus::Valid, None)),
        (Err(_), BodyStatus::Valid) => Err(error),
    }
}

/// Inserts a completed key into the state.
fn complete_key(state: &mut State, key: PendingKey) {
    if let Some(body) = key.body {
        state.active.set(&key.key, body);
    }
    state.insert_key(key.state_key, key.history);
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str("no snapshot is complete"),
            Self::ChecksumMismatch => f.write_str("the rows do not match their checksum"),
            Self::Record(offset) => write!(f, "the record of offset {offset} does not parse"),
            Self::DigestMismatch => f.write_str("the state does not match the digest"),
        }
    }
}

impl std::error::Error for SnapshotError {}
