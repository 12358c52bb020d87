//! [`ResolveError`]: why a model name names no adapter version.

use std::fmt;

/// Says why a model name names no adapter version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolveError {
    /// The text is neither `adapter` nor `adapter@version`.
    BadName,
    /// No such adapter is published.
    UnknownAdapter,
    /// The adapter is published, but not this version; or it names no version to serve.
    UnknownVersion,
}

impl fmt::Display for ResolveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadName => "expected adapter or adapter@version",
            Self::UnknownAdapter => "no such adapter is published",
            Self::UnknownVersion => "no such version of the adapter is published",
        })
    }
}

impl std::error::Error for ResolveError {}
