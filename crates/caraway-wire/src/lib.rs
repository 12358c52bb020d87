//! Messages and clients of every protocol that a daemon speaks, one module for each outside
//! system, so that a changed path or field touches one file.

pub mod engine;
pub mod list;
pub mod log;
pub mod service;
