//! Messages and clients of the protocols that the daemons speak. There is one module for each
//! external system, so that a change to its paths or fields touches one file.

pub mod engine;
mod engine_client;
mod event_stream;
mod http_client;
pub mod list;
mod list_client;
pub mod log;
mod log_client;
mod peer_client;
pub mod service;

pub use engine_client::{ChunkStream, EngineCallError, EngineClient};
pub use event_stream::EventStream;
pub use http_client::{CallError, HttpClient};
pub use list_client::ListClient;
pub use log_client::LogClient;
pub use peer_client::PeerClient;
