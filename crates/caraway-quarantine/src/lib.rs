//! Which segments of prompts crash engines, from the crashes that all instances have seen.
//!
//! - [`CrashEvidence`] adds up reports of crashes and progress, and decides on quarantines.
//! - [`EvidenceSettings`] are the numbers by which it does.
//! - [`CrashReport`] is a crash as one instance has seen it.
//! - [`Quarantine`] is a set of segments; requests with all of them are not sent to engines.

mod evidence;
mod progress;
mod quarantine;
mod report;
mod settings;
mod suspect;

pub use evidence::{CrashEvidence, Verdict};
pub use quarantine::Quarantine;
pub use report::CrashReport;
pub use settings::EvidenceSettings;
pub use suspect::{RequestDigest, SegmentId};
