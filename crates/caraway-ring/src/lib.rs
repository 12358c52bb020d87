//! Bounded rings that join the threads of a daemon.
//!
//! A [`Sender`] never waits: a full ring is the caller's backpressure signal.

mod ring;

pub use ring::{Full, Receiver, Sender, ring};
