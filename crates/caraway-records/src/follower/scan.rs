//! [`Scan`]: searches the log for a snapshot if the log no longer retains the next record to fold.

use caraway_types::Offset;

use super::{LogRecord, Notice};
use crate::{Assembly, SnapshotError, State};

/// Collects the snapshots in the retained part of the log without folding its records.
#[derive(Debug)]
pub(crate) struct Scan {
    at: Offset,
    assembly: Assembly,
    told: Option<SnapshotError>,
}

impl Scan {
    pub(crate) fn new(oldest: Offset, limit: Option<u32>) -> Self {
        Self {
            at: oldest,
            assembly: Assembly::limited(limit),
            told: None,
        }
    }

    /// Returns the next offset to read.
    pub(crate) fn at(&self) -> Offset {
        self.at
    }

    /// Handles the next record of the log.
    pub(crate) fn add(&mut self, record: &LogRecord) {
        self.at = self.at.max(record.offset + 1);
        self.assembly.add(record.offset, &record.data);
    }

    /// Restores the snapshot that covers most, if the log retains all records after it.
    ///
    /// # Errors
    ///
    /// Returns the notice to report, or `None` if the same fault was reported before.
    pub(crate) fn restore(&mut self, oldest: Offset) -> Result<State, Option<Notice>> {
        let fault = match self.assembly.restore(oldest) {
            Ok(state) => return Ok(state),
            Err(fault) => fault,
        };
        if self.told.replace(fault) == Some(fault) {
            return Err(None);
        }
        Err(Some(match fault {
            SnapshotError::Incomplete => Notice::HistoryLost { oldest },
            other => Notice::SnapshotRejected(other),
        }))
    }
}
