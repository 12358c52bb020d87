//! [`EventSplitter`] splits a server-sent event stream at event boundaries.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of a server-sent event stream and releases only whole events, so that a stream
/// that breaks off can be resumed after its last whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event_id: Option<Arc<str>>,
    event_count: u64,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that they complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let search_from = self.partial.len().saturating_sub(MAX_BOUNDARY_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let end = last_boundary_end(&self.partial, search_from)?;
        let events = self.partial.split_to(end).freeze();
        self.record_ids(&events);
        Some(events)
    }

    /// Returns the id of the last whole event, `None` before the first.
    #[must_use]
    pub fn last_event_id(&self) -> Option<&Arc<str>> {
        self.last_event_id.as_ref()
    }

    /// Returns the number of whole events that have an id.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the stream is in the middle of an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the current event has exceeded the maximum length.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Discards the incomplete event that a broken stream has left.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|b| *b == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            self.event_count += 1;
            if let Ok(id) = std::str::from_utf8(id) {
                self.last_event_id = Some(id.trim().into());
            }
        }
    }
}

/// Maximum length of an event, in bytes. Events hold a few tokens. 200 concurrent streams that
/// never end an event take a twelfth of the memory of the smallest instances (160 MB).
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Length of the longest event boundary, in bytes.
const MAX_BOUNDARY_BYTES: usize = 4;

/// Returns the end of the last event boundary in `bytes`, searching from `from`.
fn last_boundary_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let lf = tail.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = tail
        .windows(MAX_BOUNDARY_BYTES)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + MAX_BOUNDARY_BYTES);
    lf.max(crlf).map(|i| from + i)
}
