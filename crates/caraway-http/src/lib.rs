//! HTTP/1.1 client connections to endpoints, peers and the platform's store, connection pools, and
//! message bodies.
//!
//! A connection is never shared between concurrent calls, so unexpected bytes on it fail only the
//! call that uses it.

mod allowance;
mod link;
mod payload;
mod pool;
mod whole;

pub use allowance::Allowance;
pub use link::{Answer, ConnectLimits, Link, tune};
pub use payload::{Aborted, Payload};
pub use pool::{Pool, PoolLimits, Pooled};
pub use whole::{BodyError, read_whole, read_within};
