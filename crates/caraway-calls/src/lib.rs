//! Decisions about calls to engines and plain services: how chunks become an answer, when an
//! attempt is retried, and how a call with an idempotency key runs at most once. The crate does no
//! I/O: the daemon passes in events and the current time, and carries out the returned actions.
//!
//! - [`Answer`] puts the [`Chunk`]s of an engine in order and yields each [`Token`] exactly once.
//! - [`RetryPolicy`] maps how an attempt ended ([`Saw`]) to a [`Decision`], within a
//!   [`RetryBudget`].
//! - [`Once`] runs each [`KeyedCall`] at most once across all instances, coordinated through the
//!   platform's log. It returns [`OnceAction`]s and receives each [`LogPage`], [`Appending`] and
//!   [`Ended`]. Every request ends with a [`Reply`], every outcome lookup with a [`Found`].
//! - [`PoolHealth`] numbers the connection pools of an endpoint by [`Generation`] and replaces a
//!   pool after a stall.
//! - [`CallFold`] applies the [`CallRecord`]s of the `calls` stream and keeps the state ([`Known`])
//!   of each [`CallKey`].

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
