//! [`Tail`]: the latest records, retained for peers that are behind.

use std::collections::VecDeque;

use caraway_types::Offset;

use super::LogRecord;

/// Maximum number of retained records.
const MAX_RECORDS: usize = 2_048;
/// Maximum total size of the retained records, in bytes.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of the records in one answer, in bytes, unless a single record is larger.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Replaces a snapshot chunk, whose content a peer does not need as the fold ignores it.
const CHUNK_PLACEHOLDER: &str = r#"{"schema":1,"kind":"snapshot"}"#;

/// The latest records, without the content of snapshot chunks.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    records: VecDeque<LogRecord>,
    bytes: usize,
    next_offset: Offset,
}

impl Tail {
    /// Appends the next record and drops the oldest ones above the limits.
    pub(crate) fn push(&mut self, record: &LogRecord, is_chunk: bool) {
        let mut record = record.clone();
        if is_chunk {
            record.data = CHUNK_PLACEHOLDER.into();
        }
        self.next_offset = record.offset + 1;
        self.bytes += record.data.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let dropped = self.records.pop_front();
            self.bytes -= dropped.map_or(0, |r| r.data.len());
        }
    }

    /// Removes all records; the next one has offset `next_offset`.
    pub(crate) fn reset(&mut self, next_offset: Offset) {
        self.records.clear();
        self.bytes = 0;
        self.next_offset = next_offset;
    }

    /// Returns whether all records from `from` on are retained.
    pub(crate) fn covers(&self, from: Offset) -> bool {
        let first = self.records.front().map_or(self.next_offset, |r| r.offset);
        from >= first
    }

    /// Returns the records from `from` on, as many as fit in one answer but at least one.
    ///
    /// Returns `None` if some of them are no longer retained.
    pub(crate) fn records_from(&self, from: Offset) -> Option<Vec<LogRecord>> {
        if !self.covers(from) {
            return None;
        }
        let mut bytes = 0;
        let fits = |r: &&LogRecord| {
            let first = bytes == 0;
            bytes += r.data.len();
            first || bytes <= MAX_ANSWER_BYTES
        };
        let rest = self.records.iter().filter(|r| r.offset >= from);
        Some(rest.take_while(fits).cloned().collect())
    }
}
