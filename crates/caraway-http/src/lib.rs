//! HTTP/1.1 client connections to endpoints, peers and the platform's store, connection pools, and
//! message bodies.
//!
//! A connection is never shared between concurrent calls, so unexpected bytes on it fail only the
//! call that uses it.

mod acceptance;
mod body;
mod connection;
mod memory_budget;
mod paced_stream;
mod payload;
mod pool;
mod response_body;
mod stream_buffer;

pub use acceptance::{Acceptance, check_acceptance};
pub use body::{BodyError, read_body, read_body_within};
pub use connection::{ConnectTimeouts, Connection, IncomingResponse, set_socket_options};
pub use memory_budget::MemoryBudget;
pub use paced_stream::PacedStream;
pub use payload::{Aborted, Payload};
pub use pool::{Pool, PoolTimeouts, PooledConnection};
pub use response_body::{ResponseBody, ResponseError};
pub use stream_buffer::{ReaderGone, StreamBudget, StreamBuffer};
