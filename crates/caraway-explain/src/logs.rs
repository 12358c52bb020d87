//! [`Logs`]: the merged lines of several log files.

use std::io::{self, BufRead};

use crate::Line;

/// The lines of several log files, ordered by timestamp.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Logs {
    lines: Vec<Line>,
    unreadable: usize,
}

impl Logs {
    /// Adds the lines of a log.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read. Lines that can't be parsed are no error; they are
    /// counted.
    pub fn read(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            let text = std::str::from_utf8(&bytes).unwrap_or_default().trim();
            match Line::parse(text) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += usize::from(!text.is_empty() || !bytes.is_ascii()),
            }
            bytes.clear();
        }
        self.lines.sort_by_key(|l| l.timestamp);
        Ok(())
    }

    /// Returns all lines, ordered by timestamp.
    #[must_use]
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Returns the number of non-empty lines that could not be parsed.
    #[must_use]
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }
}
