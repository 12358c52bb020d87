//! Adapter slots of engine replicas: what is resident, what is pinned and what is on its way.
//!
//! - [`Replica`] keeps the slots of one replica; [`Load`] is one of them, in a [`LoadState`].
//! - [`Snapshot`] of [`Seen`] loads is what an engine reports; [`Changes`] is what it settles.
//! - [`Popularity`] estimates how often each adapter version is asked for, and notices by the
//!   [`Evidence`] of all instances when popularity shifts.
//! - [`Backoffs`] keep failed loads from being repeated at once.
//! - [`Budget`] is this instance's part of the [`StoreLimits`]; instances share it by [`Want`],
//!   [`Grant`] and [`Return`].
//!
//! Nothing here does I/O; time is an argument.

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
