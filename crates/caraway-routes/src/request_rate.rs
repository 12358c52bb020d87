//! [`RequestRate`]: a number of requests per second.

use serde::{Deserialize, Serialize};

/// A number of requests per second, from [`RequestRate::MIN`] to [`RequestRate::MAX`].
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Smallest rate. An endpoint that accepts fewer requests still gets one every 10 s, whose
    /// answer tells when its limit changes.
    pub const MIN: Self = Self(0.1);
    /// Largest rate, more than any endpoint can answer.
    pub const MAX: Self = Self(1e6);

    /// Creates a rate; values outside the range are set to its ends. Returns `None` for negative
    /// numbers and for those that are not a number.
    #[must_use]
    pub fn clamped(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.clamp(Self::MIN.0, Self::MAX.0)))
    }

    /// Returns the number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns this part of the rate, which may be below [`Self::MIN`].
    #[must_use]
    pub fn scaled(self, share: f64) -> Self {
        Self(self.0 * share)
    }
}
