//! [`Exit`]: the exit codes of all commands.

use std::{fmt, process::ExitCode};

/// The result of a command, used as exit code; scripts rely on the numbers, so they are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command line is invalid, or an unexpected error occurred; nothing was published.
    Usage = 1,
    /// The input has findings and nothing was published, or a published record was not applied.
    Findings = 2,
    /// A record's base is not the current revision of its key.
    Conflict = 3,
    /// The log could not be reached; the summary states whether records may have been published.
    Unreachable = 4,
    /// Live instances do not respond, are at different offsets, or have not yet folded the
    /// published records.
    Lagging = 5,
    /// Instances have different configuration digests at the same offset.
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
            Self::Usage => "invalid use",
            Self::Findings => "findings in the input",
            Self::Conflict => "a conflict",
            Self::Unreachable => "the log cannot be reached",
            Self::Lagging => "not in force everywhere",
            Self::Diverged => "instances differ",
        })
    }
}
