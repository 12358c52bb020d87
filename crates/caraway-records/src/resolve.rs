//! [`ResolveError`]: the reason why a model name has no adapter version.

use std::fmt;

/// The reason why a model name could not be resolved to an adapter version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResolveError {
    /// The name is neither `adapter` nor `adapter@version`.
    BadName,
    /// The adapter is not published.
    UnknownAdapter,
    /// The adapter is published, but the requested version is not, or it has no default version.
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
