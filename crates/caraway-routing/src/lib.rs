//! Admission, ordering and placement of requests for adapter versions.
//!
//! - [`RateLimiter`] enforces each client account's [`RateLimit`].
//! - [`PendingRequests`] groups [`PendingRequest`]s by adapter version and orders the groups;
//!   [`Charges`] keeps one account from taking all loads.
//! - [`Outbox`] queues the residency [`Change`]s for each peer and creates its [`Delta`]s;
//!   [`Directory`] applies the deltas of peers, returns [`Location`]s and reports a [`Gap`].
//! - [`choose_home`], [`adapter_hash`] and [`replica_hash`] choose the replica to which instances
//!   send the requests for an adapter version that is not resident anywhere.
//!
//! This crate does no I/O; the current time is an argument.

mod charges;
mod directory;
mod pending;
mod rate_limiter;
mod rendezvous;

pub use charges::Charges;
pub use directory::{Change, Delta, Directory, Gap, Location, Outbox};
pub use pending::{PendingRequest, PendingRequests};
pub use rate_limiter::{RateLimit, RateLimiter};
pub use rendezvous::{adapter_hash, choose_home, replica_hash};
