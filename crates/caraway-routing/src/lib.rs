//! Where a request goes, what waits and in which order.
//!
//! - [`Limits`] hold each client account to its [`Allowance`].
//! - [`Waiting`] groups [`Waiter`]s by adapter version and orders them; [`Charges`] keep one
//!   account from taking all loads.
//! - [`Journal`] keeps the [`Change`]s that each peer must be told and makes its [`Delta`];
//!   [`Directory`] keeps what peers tell, as [`Location`]s, and reports a [`Gap`].
//! - [`home`], [`adapter_hash`] and [`replica_hash`] choose where requests for an adapter version
//!   that is nowhere resident meet.
//!
//! Nothing here does I/O; time is an argument.

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
