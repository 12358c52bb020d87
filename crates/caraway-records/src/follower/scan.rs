//! [`Scan`]: searches the log for a snapshot if the log no longer retains the next record to fold.

use caraway_types::Offset;

use super::{LogRecord, Notice};
use crate::{SnapshotAssembly, SnapshotError, State};

/// Collects the snapshots in the retained part of the log without folding its records.
#[derive(Debug)]
pub(crate) struct Scan {
    next_offset: Offset,
    assembly: SnapshotAssembly,
    reported: Option<SnapshotError>,
}

impl Scan {
    pub(crate) fn new(oldest: Offset, schema_limit: Option<u32>) -> Self {
        Self {
            next_offset: oldest,
            assembly: SnapshotAssembly::with_schema_limit(schema_limit),
            reported: None,
        }
    }

    /// Returns the next offset to read.
    pub(crate) fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Handles the next record of the log.
    pub(crate) fn on_record(&mut self, record: &LogRecord) {
        self.next_offset = self.next_offset.max(record.offset + 1);
        self.assembly.add(record.offset, &record.data);
    }

    /// Restores the snapshot that covers most, if the log retains all records after it.
    ///
    /// # Errors
    ///
    /// Returns the notice to report, or `None` if the same fault was reported before.
    pub(crate) fn restore(&mut self, oldest: Offset) -> Result<State, Option<Notice>> {
        let error = match self.assembly.restore(oldest) {
            Ok(state) => return Ok(state),
            Err(error) => error,
        };
        if self.reported.replace(error) == Some(error) {
            return Err(None);
        }
        Err(Some(match error {
            SnapshotError::Incomplete => Notice::HistoryLost { oldest },
            other => Notice::SnapshotRejected(other),
        }))
    }
}
