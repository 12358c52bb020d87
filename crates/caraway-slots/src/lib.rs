//! Adapter slots of engine replicas: what is resident, what is pinned and what is on its way.
//!
//! - [`Replica`] keeps the slots of one replica; [`Load`] is one of them, in a [`LoadState`].
//! - [`Snapshot`] is what an engine reports; [`Changes`] is what it settles.
//!
//! Nothing here does I/O; time is an argument.

mod load;
mod replica;

pub use load::{Load, LoadState};
pub use replica::{Changes, Replica, Seen, Snapshot};
