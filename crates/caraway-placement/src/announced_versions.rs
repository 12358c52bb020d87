//! [`AnnouncedVersions`]: which versions of an adapter may serve.

use std::time::{Duration, Instant};

/// The announced versions of an adapter.
///
/// An older version may serve for a grace period after its successor was announced, and not any
/// more when a further version is announced later. So all announcements of the grace period are kept.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedVersions {
    /// Each version is newer than the one before.
    announced: Vec<AnnouncedVersion>,
}

/// A version of an adapter, and when it was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedVersion {
    /// The version.
    pub version: u64,
    /// When it was announced; `None` if unknown, possibly long ago.
    pub since: Option<Instant>,
}

impl AnnouncedVersion {
    /// Returns whether older versions may still serve.
    fn is_recent(&self, now: Instant, grace: Duration) -> bool {
        self.since
            .is_some_and(|at| now.saturating_duration_since(at) < grace)
    }
}

impl AnnouncedVersions {
    /// Adds an announcement, and drops those before the last one that is older than `grace`. Returns
    /// false if it is not newer than the known ones.
    pub fn add(&mut self, now: Instant, announced: AnnouncedVersion, grace: Duration) -> bool {
        if self.newest().is_some_and(|n| n >= announced.version) {
            return false;
        }
        self.announced.push(announced);
        let mut from_newest = self.announced.iter().rev();
        if let Some(after) = from_newest.position(|a| !a.is_recent(now, grace)) {
            self.announced.drain(..self.announced.len() - 1 - after);
        }
        true
    }

    /// Returns the newest version, `None` if none was announced.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.announced.last().map(|a| a.version)
    }

    /// Returns whether copies of `version` may serve: no newer one was announced longer than `grace`
    /// ago.
    #[must_use]
    pub fn may_serve(&self, now: Instant, version: u64, grace: Duration) -> bool {
        let mut announced = self.announced.iter();
        announced.all(|a| a.version <= version || a.is_recent(now, grace))
    }

    /// Returns the announcements that matter for what may serve, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = AnnouncedVersion> {
        self.announced.iter().copied()
    }
}
