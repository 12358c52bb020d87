//! Tests of the behavior of the stand-ins and of each injected fault.

mod binary;
mod common;
mod completions;
mod engine;
mod fleet;
mod platform;
