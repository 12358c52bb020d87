//! HTTP/1.1 on the path of a request: connections to endpoints, peers and the platform's store
//! that their caller owns, pools of them, and message bodies.
//!
//! A connection is never shared, so whatever arrives on it beyond the expected answer ends that
//! connection and nothing else.

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
