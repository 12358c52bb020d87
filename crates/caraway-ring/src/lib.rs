//! Bounded queues between the threads of a daemon.
//!
//! Sending never waits: [`Sender::push`] fails on a full ring, which signals backpressure to the
//! caller.

mod ring;

pub use ring::{PushError, Receiver, Sender, ring};
