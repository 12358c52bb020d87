//! [`DrawFrame`] and [`AllowanceFrame`]: how draws from quota pools and their replies are sent.

use std::time::Duration;

use caraway_accounts::{Draw, DrawReply};
use caraway_types::{AccountId, Millis};
use serde::{Deserialize, Serialize};

/// A draw from the quota pool of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct DrawFrame {
    /// The account.
    account: AccountId,
    /// Units that the sender expects to use.
    #[serde(default)]
    amount: f64,
    /// Units that the first waiting request still needs.
    #[serde(default)]
    least: f64,
    /// Unused units that the sender gives back.
    #[serde(default)]
    returned: f64,
}

impl From<Draw> for DrawFrame {
    fn from(draw: Draw) -> Self {
        Self {
            account: draw.account,
            amount: draw.amount,
            least: draw.least,
            returned: draw.returned,
        }
    }
}

impl From<DrawFrame> for Draw {
    fn from(frame: DrawFrame) -> Self {
        Self {
            account: frame.account,
            amount: frame.amount,
            least: frame.least,
            returned: frame.returned,
        }
    }
}

/// The reply to a draw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct AllowanceFrame {
    /// The account.
    account: AccountId,
    /// Units granted; 0 if the draw is denied.
    #[serde(default)]
    granted: f64,
    /// Time after which the pool has allowance, if nothing was granted.
    #[serde(default)]
    after: Millis,
}

impl From<DrawReply> for AllowanceFrame {
    fn from(reply: DrawReply) -> Self {
        Self {
            account: reply.account,
            granted: reply.granted,
            after: round_up(reply.retry_after).into(),
        }
    }
}

impl From<AllowanceFrame> for DrawReply {
    fn from(frame: AllowanceFrame) -> Self {
        Self {
            account: frame.account,
            granted: frame.granted,
            retry_after: frame.after.get(),
        }
    }
}

/// Rounds a delay up to whole milliseconds: a caller that is told less comes back too early.
pub(crate) fn round_up(delay: Duration) -> Duration {
    let ms = delay.as_nanos().div_ceil(1_000_000);
    Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
