//! Decisions about calls to engines and plain services: how chunks become an answer, when an
//! attempt is retried, and how a call with an idempotency key runs at most once. The crate does no
//! I/O: the daemon passes in events and the current time, and carries out the returned actions.
//!
//! - [`Answer`] puts the [`Chunk`]s of an engine in order and yields each [`Token`] exactly once.
//! - [`RetryPolicy`] maps how an attempt ended ([`AttemptResult`]) to a [`Decision`], within a
//!   [`RetryBudget`].
//! - [`CallCoordinator`] runs each [`KeyedCall`] at most once across all instances, coordinated
//!   through the platform's log. It returns [`CoordinatorAction`]s and receives each [`LogPage`],
//!   [`AppendResult`] and [`SendResult`]. Every request ends with a [`Reply`], every outcome lookup
//!   with a [`LookupResult`].
//! - [`PoolHealth`] numbers the connection pools of an endpoint by [`Generation`] and replaces a
//!   pool after a stall.
//! - [`CallTable`] applies the [`CallRecord`]s of the `calls` stream and keeps the [`KeyState`] of
//!   each [`CallKey`].

mod answer;
mod call_key;
mod call_record;
mod call_table;
mod coordinator;
mod pool_health;
mod retry;
mod retry_budget;

pub use answer::{Answer, Attempt, Chunk, ChunkEffect, DropReason, Token};
pub use call_key::{CallKey, MAX_KEY_BYTES, Owner, RequestHash, key_timestamp};
pub use call_record::{Body, CallRecord, Outcome, RecordedAnswer, Step};
pub use call_table::{CallTable, KeyState};
pub use coordinator::{
    AppendResult, CallCoordinator, CoordinatorAction, CoordinatorSettings, KeyedCall, LogPage,
    LogRecord, LookupResult, Reply, SendResult,
};
pub use pool_health::{Generation, PoolHealth};
pub use retry::{AttemptResult, Decision, Idempotency, RetryPolicy};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
