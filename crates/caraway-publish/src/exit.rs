//! [`Exit`]: the exit codes.

use std::{fmt, process::ExitCode};

/// Says how a command ended; the numbers never change their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// Everything was done.
    Done = 0,
    /// The command line is wrong, or something unforeseen failed; nothing was published.
    Usage = 1,
    /// The input has findings; nothing was published.
    Findings = 2,
    /// A record was made against an older revision than the current one.
    Conflict = 3,
    /// The log could not be reached; the report says whether something may be published.
    Unreachable = 4,
    /// Not every live instance has it in force yet.
    Lagging = 5,
    /// Instances have different digests at the same offset.
    Diverged = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Usage => "wrong use",
            Self::Findings => "findings in the input",
            Self::Conflict => "a conflict",
            Self::Unreachable => "the log cannot be reached",
            Self::Lagging => "not in force everywhere",
            Self::Diverged => "instances differ",
        })
    }
}
