//! [`AdapterRef`], the parsed form of `adapter@version`.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{AdapterId, VersionId};

/// Longest valid adapter or version name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Identifies one version of one adapter; displayed and serialized as `adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct AdapterRef {
    /// Name of the adapter; valid by [`AdapterRef::is_valid_name`] if the reference was parsed.
    pub adapter: AdapterId,
    /// Name of the version, by the same rule as the adapter's.
    pub version: VersionId,
}

/// The error of parsing an [`AdapterRef`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterRefError {
    /// The text has no `@`.
    NoVersion,
    /// The adapter or version name is empty, longer than 128 bytes, or contains a character
    /// outside `[A-Za-z0-9._-]`.
    BadName,
}

impl AdapterRef {
    /// Creates a reference without validating the names; parse the text `adapter@version` to
    /// validate them.
    pub fn new(adapter: impl Into<Arc<str>>, version: impl Into<Arc<str>>) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Returns whether `name` is a valid adapter or version name: 1 to 128 bytes of
    /// `[A-Za-z0-9._-]`.
    #[must_use]
    pub fn is_valid_name(name: &str) -> bool {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

impl FromStr for AdapterRef {
    type Err = AdapterRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (adapter, version) = text.split_once('@').ok_or(AdapterRefError::NoVersion)?;
        if Self::is_valid_name(adapter) && Self::is_valid_name(version) {
            Ok(Self::new(adapter, version))
        } else {
            Err(AdapterRefError::BadName)
        }
    }
}

impl TryFrom<String> for AdapterRef {
    type Error = AdapterRefError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<AdapterRef> for String {
    fn from(value: AdapterRef) -> Self {
        value.to_string()
    }
}

impl fmt::Display for AdapterRefError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoVersion => "expected adapter@version",
            Self::BadName => "names take 1 to 128 of the characters A-Z a-z 0-9 . _ -",
        })
    }
}

impl std::error::Error for AdapterRefError {}
