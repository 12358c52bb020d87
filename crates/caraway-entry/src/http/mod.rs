//! The http thread: takes requests of callers, peers and operators.

mod admin;
mod ask;
mod caller;
mod completions;
mod engine_attempt;
mod gate;
mod peer;
mod reply;
mod server;
mod service_call;
mod service_path;
mod source;
mod tally;

pub(crate) use server::{Server, start};
