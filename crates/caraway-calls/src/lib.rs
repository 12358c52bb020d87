//! Decisions about calls: which answer belongs to which attempt, what may be sent again, what ran
//! at most once, and how long to wait. Nothing here does I/O; the daemon feeds events and carries
//! out the decisions.
//!
//! - [`Answer`] joins an engine's [`Chunk`]s into each [`Token`] exactly once, in order.
//! - [`RetryPolicy`] turns what an attempt [`Saw`] into a [`Decision`], within a [`RetryBudget`].
//! - [`Once`] carries out each [`KeyedCall`] at most once, agreed through the platform's log:
//!   [`OnceAction`]s out, [`LogPage`]s, [`Appending`] and [`Ended`] in, each sending's [`Reply`]
//!   and each question's [`Found`] at the end.
//! - [`PoolHealth`] tells by [`Generation`] which connection pools went silent.
//! - [`CallFold`] folds the [`CallRecord`]s of the `calls` stream into what is [`Known`] of each
//!   [`CallKey`].

mod answer;
mod budget;
mod call_fold;
mod call_key;
mod call_record;
mod once;
mod pool_health;
mod retry;

pub use answer::{Accepted, Answer, Attempt, Chunk, Dropped, Token};
pub use budget::{BudgetSettings, RetryBudget};
pub use call_fold::{CallFold, Known};
pub use call_key::{CallKey, KEY_LIMIT, Owner, RequestHash, key_time};
pub use call_record::{Body, CallRecord, Outcome, Recorded, Step};
pub use once::{
    Appending, Ended, Found, KeyedCall, LogPage, LogRecord, Once, OnceAction, OnceSettings, Reply,
};
pub use pool_health::{Generation, PoolHealth};
pub use retry::{Decision, Repeat, RetryPolicy, Saw};
