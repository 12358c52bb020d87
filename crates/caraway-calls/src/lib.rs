//! Decisions about calls: which answer belongs to which attempt, what may be sent again, and how
//! long to wait. Nothing here does I/O; the daemon feeds events and carries out the decisions.
//!
//! - [`Answer`] joins an engine's [`Chunk`]s into each [`Token`] exactly once, in order.
//! - [`RetryPolicy`] turns what an attempt [`Saw`] into a [`Decision`], within a [`RetryBudget`].

mod answer;
mod budget;
mod retry;

pub use answer::{Accepted, Answer, Attempt, Chunk, Dropped, Token};
pub use budget::{BudgetSettings, RetryBudget};
pub use retry::{Decision, Repeat, RetryPolicy, Saw};
