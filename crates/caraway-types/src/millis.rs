//! [`Millis`], a [`Duration`] that is serialized as a whole number of milliseconds.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A [`Duration`] that settings, records and messages represent as a number of milliseconds.
///
/// Serialization rounds down to whole milliseconds and is limited to [`u64::MAX`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Millis(Duration);

impl Millis {
    /// Creates a duration of `ms` milliseconds.
    #[must_use]
    pub const fn new(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the duration at full precision.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl From<u64> for Millis {
    fn from(ms: u64) -> Self {
        Self::new(ms)
    }
}

impl From<Duration> for Millis {
    fn from(value: Duration) -> Self {
        Self(value)
    }
}

impl From<Millis> for u64 {
    fn from(value: Millis) -> Self {
        Self::try_from(value.0.as_millis()).unwrap_or(Self::MAX)
    }
}
