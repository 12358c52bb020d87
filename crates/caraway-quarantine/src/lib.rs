//! Which segments of prompts and which requests crash endpoints, from the crashes that all instances have
//! seen.
//!
//! - [`CrashEvidence`] adds up reports of crashes and progress, and decides on quarantines.
//! - [`EvidenceSettings`] are the numbers by which it does.
//! - [`CrashReport`] is a crash as one instance has seen it.
//! - [`Suspect`] is what a request has that may crash endpoints: a [`SegmentId`] of its prompt, or its
//!   [`RequestDigest`].
//! - [`Quarantine`] is a set of suspects; requests with all of them are not sent to endpoints.

mod causes;
mod evidence;
mod incident;
mod progress;
mod quarantine;
mod report;
mod settings;
mod suspect;

pub use evidence::{CrashEvidence, Verdict};
pub use quarantine::Quarantine;
pub use report::CrashReport;
pub use settings::EvidenceSettings;
pub use suspect::{RequestDigest, SegmentId, Suspect};
