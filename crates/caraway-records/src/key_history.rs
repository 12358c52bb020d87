//! [`KeyHistory`]: the accepted records of one key that the fold retains.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use caraway_types::Offset;

use crate::{digest, limits::MAX_KEY_RECORDS};

/// The state of one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct KeyHistory {
    /// Offset of the latest accepted record.
    pub(crate) revision: Offset,
    /// Author of the latest accepted record.
    pub(crate) author: Option<Arc<str>>,
    /// Whether the key is deleted.
    pub(crate) deleted: bool,
    /// The retained records in the order of their offsets; the last is the latest accepted one.
    ///
    /// The others are the record in force, if the latest one is not, records in older schemas for
    /// programs that do not support the later ones, and records in newer schemas.
    pub(crate) records: Vec<AcceptedRecord>,
}

/// An accepted record that the fold retains.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct AcceptedRecord {
    /// Offset of the record in the log.
    pub(crate) offset: Offset,
    /// Schema version of the body.
    pub(crate) schema: u32,
    /// Whether the body is in force.
    pub(crate) status: BodyStatus,
    /// The record's JSON.
    pub(crate) json: Arc<str>,
}

/// Whether the body of an accepted record was put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum BodyStatus {
    /// The body was valid and put in force at the record's offset.
    Valid,
    /// The body is invalid.
    Void,
    /// The schema or kind is newer than the program, so the body was not interpreted.
    Held,
}

impl KeyHistory {
    /// Appends the next accepted record and drops those that no program version needs any more.
    pub(crate) fn push(&mut self, record: AcceptedRecord) {
        self.revision = record.offset;
        self.records.retain(|r| r.status != BodyStatus::Void);
        if record.status == BodyStatus::Valid {
            self.records.retain(|r| r.schema < record.schema);
        }
        self.records.push(record);
        while self.records.len() > MAX_KEY_RECORDS {
            self.drop_oldest();
        }
    }

    /// Marks the key as deleted and drops all records but the tombstone.
    pub(crate) fn delete(&mut self, record: AcceptedRecord) {
        self.revision = record.offset;
        self.deleted = true;
        self.records = vec![record];
    }

    /// Returns the contribution of this key to the digest of the state.
    pub(crate) fn digest(&self, name: &str) -> u64 {
        let json = self.records.last().map_or("", |r| &r.json);
        digest::key(name, self.revision, json)
    }

    /// Returns the size of the latest record's JSON, in bytes.
    pub(crate) fn size(&self) -> usize {
        self.records.last().map_or(0, |r| r.json.len())
    }

    /// Returns the record in force.
    pub(crate) fn in_force(&self) -> Option<&AcceptedRecord> {
        let mut newest_first = self.records.iter().rev();
        newest_first.find(|r| r.status == BodyStatus::Valid)
    }

    /// Drops the oldest record that is neither in force nor the latest.
    fn drop_oldest(&mut self) {
        let in_force = self.in_force().map(|r| r.offset);
        let droppable = self.records.iter().position(|r| Some(r.offset) != in_force);
        self.records.remove(droppable.unwrap_or(0));
    }
}
