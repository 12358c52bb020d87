//! [`Outcome`]: the result of applying one record.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use caraway_types::{Findings, Offset};

/// The result of applying one record; it is the same on all instances that run the same version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The record was accepted and is in force.
    Applied,
    /// The record was accepted, but its schema or kind is newer than this program; the
    /// configuration in force is unchanged.
    Held,
    /// The record was accepted and is the key's new revision, but its body is invalid; the
    /// configuration in force is unchanged.
    Void(Findings),
    /// An identical record with the same id was applied at this earlier offset.
    Duplicate(Offset),
    /// The record was rejected and the key keeps its revision.
    Refused(RefusedRecord),
    /// The record is a snapshot chunk, which does not change the state.
    Chunk,
    /// The record at this offset was applied before; the state is unchanged.
    Old,
    /// The next record to apply is the one at this offset; the state is unchanged.
    Gap(Offset),
}

/// The reason why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedRecord {
    /// The record exceeds [`RECORD_LIMIT`](crate::RECORD_LIMIT) or
    /// [`CHUNK_LIMIT`](crate::CHUNK_LIMIT).
    TooLarge {
        /// Size of the record, in bytes.
        bytes: usize,
    },
    /// The envelope does not parse.
    Malformed(Findings),
    /// The record's base is not the current revision of its key.
    Conflict {
        /// The base of the record; `None` for a new key.
        base: Option<Offset>,
        /// The current revision of the key; `None` if the key does not exist.
        current: Option<Offset>,
        /// Author of the current revision, if it names one.
        author: Option<Arc<str>>,
    },
    /// A different record with the same id was applied at this offset.
    IdReused(Offset),
    /// The record would exceed [`KEY_LIMIT`](crate::KEY_LIMIT) or
    /// [`TOTAL_BYTES_LIMIT`](crate::TOTAL_BYTES_LIMIT).
    Full,
}

impl Outcome {
    /// Returns whether the record became the latest revision of its key, whether or not its body is
    /// in force.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Applied | Self::Held | Self::Void(_))
    }
}

impl fmt::Display for RefusedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes } => write!(f, "too large, {bytes} bytes"),
            Self::Malformed(findings) => write!(f, "malformed: {findings}"),
            Self::Conflict {
                base,
                current,
                author,
            } => {
                write!(f, "made against {base:?}, the current revision is ")?;
                let author = author.as_deref().unwrap_or("an unnamed author");
                match current {
                    Some(offset) => write!(f, "{offset} by {author}"),
                    None => f.write_str("none"),
                }
            }
            Self::IdReused(offset) => write!(f, "its id was used at {offset} for another record"),
            Self::Full => f.write_str("the configuration holds as many keys or bytes as it may"),
        }
    }
}
