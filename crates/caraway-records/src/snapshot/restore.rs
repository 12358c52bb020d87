//! Restores a [`State`] from the rows of a snapshot.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use super::{
    SnapshotId,
    row::{Row, TextRow},
};
use crate::{
    Body, Record, State,
    head::{Head, Kept, Standing},
    record::Reading,
};

/// The reason why a snapshot could not be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotError {
    /// No complete snapshot covers enough records.
    Incomplete,
    /// The rows do not match their checksum.
    Sum,
    /// The record of this offset does not parse.
    Record(Offset),
    /// The restored state does not match the digest of the snapshot.
    Digest,
}

/// The key whose records are being restored, with the latest body in force.
struct Restored {
    name: Arc<str>,
    key: Arc<str>,
    head: Head,
    body: Option<Body>,
}

/// Restores the state from the rows of a snapshot, in order.
pub(crate) fn state<'a>(
    id: SnapshotId,
    limit: Option<u32>,
    rows: impl Iterator<Item = &'a Row>,
) -> Result<State, SnapshotError> {
    let mut state = State::limited(limit);
    state.next = id.covered;
    let mut open = None;
    for row in rows {
        match row {
            Row::Ids(ids) => ids.iter().for_each(|seen| state.ids.push(*seen)),
            Row::Text(row) => {
                open = Some(add(&mut state, open, row)?);
            }
        }
    }
    if let Some(restored) = open {
        close(&mut state, restored);
    }
    if state.digest() != id.digest {
        return Err(SnapshotError::Digest);
    }
    Ok(state)
}

/// Adds a record to the pending key, or completes that key and starts the record's own.
fn add(
    state: &mut State,
    open: Option<Restored>,
    row: &TextRow,
) -> Result<Restored, SnapshotError> {
    let fault = SnapshotError::Record(row.offset);
    let record = Record::parse(&row.text).map_err(|_| fault)?;
    let name = record.name();
    let mut restored = match open {
        Some(open) if open.name == name => open,
        other => {
            if let Some(done) = other {
                close(state, done);
            }
            Restored {
                name,
                key: record.key.clone(),
                head: Head::default(),
                body: None,
            }
        }
    };
    let (standing, body) = judge(&record, state.limit, row.standing, fault)?;
    if body.is_some() {
        restored.body = body;
    }
    let kept = Kept {
        offset: row.offset,
        schema: record.schema,
        standing,
        text: row.text.clone(),
    };
    restored.head.author = record.author;
    if row.deleted {
        restored.head.delete(kept);
    } else {
        restored.head.push(kept);
    }
    Ok(restored)
}

/// Determines the status of a record, as the writer of the snapshot may support other schemas.
fn judge(
    record: &Record,
    limit: Option<u32>,
    written: Standing,
    fault: SnapshotError,
) -> Result<(Standing, Option<Body>), SnapshotError> {
    match (record.read(limit), written) {
        (Ok(Reading::Newer), _) => Ok((Standing::Held, None)),
        (_, Standing::Void) | (Err(_), Standing::Held) => Ok((Standing::Void, None)),
        (Ok(Reading::Body(_, body)), _) => Ok((Standing::Valid, Some(*body))),
        (Ok(Reading::Tombstone(_)), _) => Ok((Standing::Valid, None)),
        (Err(_), Standing::Valid) => Err(fault),
    }
}

/// Inserts a completed key into the state.
fn close(state: &mut State, restored: Restored) {
    if let Some(body) = restored.body {
        state.values.set(&restored.key, body);
    }
    state.put_head(restored.name, restored.head);
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str("no snapshot is complete"),
            Self::Sum => f.write_str("the rows do not match their hash"),
            Self::Record(offset) => write!(f, "the record of offset {offset} does not parse"),
            Self::Digest => f.write_str("the state does not match the digest"),
        }
    }
}

impl std::error::Error for SnapshotError {}
