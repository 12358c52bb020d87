//! Admission, ordering and placement of requests for adapter versions.
//!
//! - [`Limits`] enforces each client account's [`Allowance`].
//! - [`Waiting`] groups pending [`Waiter`]s by adapter version and orders the groups; [`Charges`]
//!   keeps one account from taking all loads.
//! - [`Journal`] queues the residency [`Change`]s for each peer and creates its [`Delta`]s;
//!   [`Directory`] applies the deltas of peers, returns [`Location`]s and reports a [`Gap`].
//! - [`home`], [`adapter_hash`] and [`replica_hash`] choose the replica to which instances send the
//!   requests for an adapter version that is not resident anywhere.
//!
//! This crate does no I/O; the current time is an argument.

mod directory;
mod fairness;
mod home;
mod limits;
mod waiting;

pub use directory::{Change, Delta, Directory, Gap, Journal, Location};
pub use fairness::Charges;
pub use home::{adapter_hash, home, replica_hash};
pub use limits::{Allowance, Limits};
pub use waiting::{Waiter, Waiting};
