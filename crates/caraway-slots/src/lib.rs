//! Adapter slots of engine replicas: which adapters are resident, being loaded or in use, and how
//! many loads may start. The crate does no I/O; the current time is an argument.
//!
//! - [`Replica`] tracks the slots of one replica; each occupied slot holds a [`Load`] in a
//!   [`LoadState`].
//! - An engine reports its [`Seen`] loads in a [`Snapshot`]; [`Changes`] lists what differs.
//! - [`Popularity`] estimates the request rate of each adapter version and detects from the
//!   [`Evidence`] of all instances that popularity has shifted.
//! - [`Backoffs`] delay the retry of failed loads.
//! - [`Budget`] enforces the [`StoreLimits`] for this instance; instances lend each other permits
//!   by [`Want`], [`Grant`] and [`Return`].

mod backoff;
mod budget;
mod load;
mod popularity;
mod replica;

pub use backoff::Backoffs;
pub use budget::{Budget, GRANT_LAPSE, Grant, Return, StoreLimits, Want};
pub use load::{Load, LoadState};
pub use popularity::{Evidence, Popularity};
pub use replica::{Changes, Replica, Seen, Snapshot};
