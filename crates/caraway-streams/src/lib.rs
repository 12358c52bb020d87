//! At which version of an endpoint's software a stream began.
//!
//! - [`VersionHistory`] knows which versions of a service served when.
//! - [`HistoryRecord`] is that history as instances share it.
//! - [`StreamOrigins`] remembers the versions at which single streams began.

mod history;
mod origins;
mod record;

pub use history::{Origin, VersionHistory};
pub use origins::StreamOrigins;
pub use record::{HistoryRecord, VersionRecord};
