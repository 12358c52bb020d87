//! [`Outcome`]: what became of one record in the fold.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use caraway_types::{Findings, Offset};

/// Says what became of the record at an offset; the same on every instance of one program version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The record is in force.
    Applied,
    /// The record is accepted and kept; its schema or kind is newer than this program, so what it
    /// governs stays as it was.
    Held,
    /// The record took its key's revision, but its body is invalid; what it governs stays as it
    /// was.
    Void(Findings),
    /// A record with the same id and text was already judged at an earlier offset.
    Duplicate(Offset),
    /// The record changed nothing.
    Refused(RefusedRecord),
    /// The record is a chunk of a snapshot.
    Chunk,
    /// The offset was already folded; nothing happened.
    Old,
    /// Records up to this offset are missing; nothing happened.
    Gap(Offset),
}

/// Says why a record changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedRecord {
    /// It exceeds the limit, in bytes.
    TooLarge {
        /// Size of the record, in bytes.
        bytes: usize,
    },
    /// Its envelope does not parse.
    Malformed(Findings),
    /// It was made against another revision than the current one.
    Conflict {
        /// The revision it was made against.
        base: Option<Offset>,
        /// The current revision of the key.
        current: Option<Offset>,
        /// Who made the current revision.
        author: Option<Arc<str>>,
    },
    /// Its id was used at this offset for another text.
    IdReused(Offset),
    /// The fold holds as many keys or bytes as it may.
    Full,
}

impl Outcome {
    /// Tells whether the record took its key's revision.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Applied | Self::Held | Self::Void(_))
    }
}

impl fmt::Display for RefusedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { bytes } => write!(f, "too large, {bytes} bytes"),
            Self::Malformed(found) => write!(f, "malformed: {found}"),
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
