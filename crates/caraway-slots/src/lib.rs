//! Adapter slots of engine replicas: which adapters are resident, being loaded or in use, and how
//! many loads may start. The crate does no I/O; the current time is an argument.
//!
//! - [`Replica`] tracks the slots of one replica; each occupied slot holds a [`Load`] in a
//!   [`LoadState`].
//! - An engine reports a [`SlotReport`] with a [`SlotLoad`] per load; [`ReportChanges`] lists
//!   what differs from the known state.
//! - [`Popularity`] estimates the request rate of each adapter version and detects from the
//!   [`Evidence`] of all instances that popularity has shifted.
//! - [`LoadBackoffs`] delay the retry of failed loads.
//! - [`LoadBudget`] enforces the [`StoreLimits`] for this instance; instances lend each other
//!   permits by [`PermitRequest`], [`PermitGrant`] and [`PermitReturn`].

mod load;
mod load_backoffs;
mod load_budget;
mod popularity;
mod replica;

pub use load::{Load, LoadState};
pub use load_backoffs::LoadBackoffs;
pub use load_budget::{
    GRANT_LIFETIME, LoadBudget, PermitGrant, PermitRequest, PermitReturn, StoreLimits,
};
pub use popularity::{Evidence, Popularity};
pub use replica::{Replica, ReportChanges, SlotLoad, SlotReport};
