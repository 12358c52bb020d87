//! [`Urgency`]: the order in which an engine processes requests.

use std::fmt;

use caraway_routes::TokenCount;

/// The rank of a request within an engine, 0 to 9; lower ranks are processed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(u8);

/// Length of a prompt of rank [`REFERENCE_RANK`], in tokens; about the median of the deployments'
/// short requests.
const REFERENCE_TOKENS: f64 = 700.0;
/// Rank of a prompt of [`REFERENCE_TOKENS`]; leaves room for prompts 50 times as long.
const REFERENCE_RANK: f64 = 3.0;
/// Highest rank that engines know.
const MAX_RANK: f64 = 9.0;

impl Urgency {
    /// Ranks a request by the length of its prompt, one rank for each doubling.
    ///
    /// An engine processes prompts one after the other, so a long one that goes first makes all the
    /// short ones behind it late, while they would delay it by little.
    #[must_use]
    pub fn of(tokens: TokenCount) -> Self {
        let size = f64::from(tokens.prompt.max(1)) / REFERENCE_TOKENS;
        let rank = (REFERENCE_RANK + size.log2()).round().clamp(0.0, MAX_RANK);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to what fits"
        )]
        let rank = rank as u8;
        Self(rank)
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
