//! [`Position`]: where a reader of a topic continues.

use serde::{Deserialize, Serialize};

use crate::{Offset, StoreEra};

/// A position in a topic of the platform's store.
///
/// The store gives offsets out again after it has returned from an older copy of itself, so offsets of
/// different eras can't be compared. Positions of a later era come after those of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The era in which the store gave the offset out; 0 if it states none.
    pub era: StoreEra,
    /// Offset in the topic.
    pub offset: Offset,
}

impl Position {
    /// Returns the position at another offset of the same era.
    #[must_use]
    pub fn at(self, offset: Offset) -> Self {
        Self { offset, ..self }
    }
}
