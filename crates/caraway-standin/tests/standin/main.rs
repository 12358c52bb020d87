//! What the stand-ins do, and each of their faults.

mod binary;
mod common;
mod engine;
mod fleet;
mod platform;
mod tokens;
