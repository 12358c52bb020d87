//! [`AdapterRef`] names an adapter and one of its versions.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{AdapterId, VersionId};

/// Longest accepted adapter or version name, in bytes.
const NAME_LIMIT: usize = 128;

/// Names one version of one adapter, written `adapter@version`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct AdapterRef {
    /// The adapter.
    pub adapter: AdapterId,
    /// The version of the adapter.
    pub version: VersionId,
}

/// Says why a text is not an [`AdapterRef`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterRefError {
    /// The text has no `@`.
    NoVersion,
    /// A name is empty, too long, or holds a character outside `[A-Za-z0-9._-]`.
    BadName,
}

impl AdapterRef {
    /// Joins two names that are already checked.
    pub fn new(adapter: impl Into<Arc<str>>, version: impl Into<Arc<str>>) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Tells whether `name` may name an adapter or a version.
    #[must_use]
    pub fn is_name(name: &str) -> bool {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
        !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(plain)
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
        if Self::is_name(adapter) && Self::is_name(version) {
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
