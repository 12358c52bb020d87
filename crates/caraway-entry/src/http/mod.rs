//! The `http` thread: serves the requests of callers, peers and operators.

mod admin;
mod api;
mod app_state;
mod completions;
mod engine_attempt;
mod peer;
mod request;
mod request_metrics;
mod response;
mod server;
mod service_call;
mod services;
mod token_source;

pub(crate) use server::{Server, start};
