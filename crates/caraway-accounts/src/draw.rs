//! [`Draw`] and [`DrawReply`]: how an instance obtains allowance from a quota pool.

use std::time::Duration;

use caraway_types::AccountId;

/// A request of an instance for allowance from a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Draw {
    /// The account.
    pub account: AccountId,
    /// Units that the instance expects to use.
    pub amount: f64,
    /// Units without which the grant is of little use: what the first waiting request still needs.
    pub least: f64,
    /// Unused units of former grants that the instance gives back.
    pub returned: f64,
}

/// The answer of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawReply {
    /// The account.
    pub account: AccountId,
    /// Units granted; 0 if the pool is empty.
    pub granted: f64,
    /// Time after which the pool has allowance, if nothing was granted.
    pub retry_after: Duration,
}
