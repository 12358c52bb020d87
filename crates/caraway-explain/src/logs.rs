//! [`Logs`]: the lines of several logs.

use std::io::{self, BufRead};

use crate::Line;

/// The lines of several logs, by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Logs {
    lines: Vec<Line>,
    unreadable: usize,
}

impl Logs {
    /// Reads a further log.
    ///
    /// # Errors
    ///
    /// Returns what the log could not be read for; lines that are not a gateway's are only counted.
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
        self.lines.sort_by_key(|l| l.at);
        Ok(())
    }

    /// Returns every line, by time.
    #[must_use]
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// Returns the number of lines that were left out.
    #[must_use]
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }
}
