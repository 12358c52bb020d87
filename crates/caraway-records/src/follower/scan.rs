//! [`Scan`] looks for a snapshot when the log has dropped records that are still to be folded.

use caraway_types::Offset;

use super::{LogRecord, Notice};
use crate::{Assembly, SnapshotError, State};

/// Reads the kept part of the log for snapshots without folding it.
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

    /// Takes in a record of the log.
    pub(crate) fn add(&mut self, record: &LogRecord) {
        self.at = self.at.max(record.offset + 1);
        self.assembly.add(record.offset, &record.data);
    }

    /// Restores the snapshot that covers most, if the log still has what follows it.
    ///
    /// # Errors
    ///
    /// Returns what operators should know, once.
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
