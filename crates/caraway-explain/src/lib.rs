//! Finds the log lines of several gateways that explain the course of one request: the lines that
//! carry its id, and lines that show the state of the instances that served it.
//!
//! `docs/GATEWAY-EVENTS.md` lists the events of the gateway.

mod explanation;
mod line;
mod logs;

pub use explanation::{ContextLine, Explanation};
pub use line::Line;
pub use logs::Logs;
