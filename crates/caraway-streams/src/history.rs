//! [`VersionHistory`]: which versions of a service's software served when.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use caraway_types::SoftwareVersion;

use crate::{HistoryRecord, VersionRecord};

/// Time after which a version that has left is forgotten, in milliseconds.
const RETENTION_MS: u64 = 3_600_000;
/// Time without an endpoint after which a version counts as gone, in milliseconds.
const ABSENCE_MS: u64 = 2000;
/// Number of versions of a service that are remembered.
const MAX_VERSIONS: usize = 16;
/// Largest difference between the clocks of two instances, in milliseconds.
pub(crate) const CLOCK_SLACK_MS: u64 = 5000;

/// Shortest time between two losses of records that are told apart, in milliseconds.
const LOSS_INTERVAL_MS: u64 = 1000;

/// What is known of the version at which a stream began, of which there is no record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It began at this version.
    Known(SoftwareVersion),
    /// It may have begun at one of several.
    Ambiguous,
}

impl Origin {
    /// Returns the version if it is known.
    #[must_use]
    pub fn known(self) -> Option<SoftwareVersion> {
        match self {
            Self::Known(software) => Some(software),
            Self::Ambiguous => None,
        }
    }
}

/// Which versions of each service's software served when. Times are in Unix milliseconds, as
/// instances share them.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<Arc<str>, Vec<VersionRecord>>,
    /// When an endpoint of a service last restarted with another version under its id.
    replaced: HashMap<Arc<str>, u64>,
    /// Services for which other instances have to know that.
    newly_replaced: HashSet<Arc<str>>,
    /// When the records of a service's streams may last have been lost.
    records_lost: HashMap<Arc<str>, u64>,
    /// Versions without an endpoint, and since when.
    missing: HashMap<(Arc<str>, SoftwareVersion), u64>,
}

impl VersionHistory {
    /// Adopts the history that another instance shared.
    pub fn adopt(&mut self, record: &HistoryRecord) {
        let versions = record.versions.iter().take(MAX_VERSIONS);
        self.services
            .insert(record.service.clone(), versions.cloned().collect());
        if let Some(at) = record.replaced {
            let replaced = self.replaced.entry(record.service.clone()).or_default();
            *replaced = at.max(*replaced);
            self.newly_replaced.remove(&record.service);
        }
        if let Some(at) = record.records_lost {
            let lost = self.records_lost.entry(record.service.clone());
            let lost = lost.or_default();
            *lost = at.max(*lost);
        }
    }

    /// Records that an endpoint of a service has restarted with another version under its id, at `at_ms` or
    /// before. An instance that does not know it yet takes streams that begin there for streams of the
    /// former version.
    pub fn set_replaced(&mut self, service: &Arc<str>, at_ms: u64) {
        let replaced = self.replaced.entry(service.clone()).or_default();
        *replaced = at_ms.max(*replaced);
        self.newly_replaced.insert(service.clone());
    }

    /// Records that a service's streams that began before `at_ms` may lack their records. A missing one does
    /// not mean any more that the stream began at the former version.
    ///
    /// Returns whether other instances have to know: not shortly after another loss, as these times are
    /// compared with the slack of clocks.
    pub fn set_records_lost(&mut self, service: &Arc<str>, at_ms: u64) -> bool {
        let lost = self.records_lost.entry(service.clone()).or_default();
        let is_news = at_ms >= lost.saturating_add(LOSS_INTERVAL_MS);
        if is_news {
            *lost = at_ms;
        }
        is_news
    }

    /// Returns the history of a service; `None` if it has had one version only.
    #[must_use]
    pub fn record_of(&self, service: &Arc<str>) -> Option<HistoryRecord> {
        let versions = self.services.get(service).filter(|v| v.len() > 1)?;
        Some(self.record(service, versions))
    }

    fn record(&self, service: &Arc<str>, versions: &[VersionRecord]) -> HistoryRecord {
        HistoryRecord {
            service: service.clone(),
            versions: versions.to_vec(),
            replaced: self.replaced.get(service).copied(),
            records_lost: self.records_lost.get(service).copied(),
        }
    }

    /// Returns the histories of the services that have had several versions.
    #[must_use]
    pub fn records(&self) -> Vec<HistoryRecord> {
        let several = self.services.iter().filter(|(_, v)| v.len() > 1);
        several.map(|(s, v)| self.record(s, v)).collect()
    }

    /// Updates the history of a service by the versions of its endpoints, each with the earliest start
    /// of an endpoint, in Unix milliseconds. Returns the history if it changed so that other instances
    /// have to know: a service with one version ever needs none.
    pub fn update(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        present: &BTreeMap<SoftwareVersion, Option<u64>>,
    ) -> Option<HistoryRecord> {
        if present.is_empty() {
            return None;
        }
        let is_first = !self.services.contains_key(service);
        let versions = self.services.entry(service.clone()).or_default();
        let mut is_changed = self.newly_replaced.remove(service);
        // Of versions that are seen together for the first time, the oldest endpoint has the former
        // one.
        let mut by_start: Vec<_> = present.iter().collect();
        by_start.sort_by_key(|(_, started_ms)| started_ms.unwrap_or(0));
        for (software, _) in by_start {
            let known = versions.iter_mut().find(|v| v.software == *software);
            if let Some(known) = known {
                is_changed |= known.until.take().is_some();
                continue;
            }
            let is_former = is_first && versions.is_empty();
            is_changed |= !is_former;
            versions.push(VersionRecord {
                software: software.clone(),
                since: (!is_former).then_some(now_ms),
                until: None,
            });
        }
        for version in versions.iter_mut().filter(|v| v.until.is_none()) {
            let key = (service.clone(), version.software.clone());
            if present.contains_key(&version.software) {
                self.missing.remove(&key);
                continue;
            }
            // Instances learn of endpoints at different times.
            let missing_since = *self.missing.entry(key.clone()).or_insert(now_ms);
            if now_ms >= missing_since + ABSENCE_MS {
                version.until = Some(now_ms);
                self.missing.remove(&key);
                is_changed = true;
            }
        }
        versions.retain(|v| {
            v.until
                .is_none_or(|u| now_ms < u.saturating_add(RETENTION_MS))
        });
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
        if !is_changed {
            return None;
        }
        let versions = &self.services[service];
        Some(self.record(service, versions))
    }

    /// Returns whether the origin of a stream that begins now at `software` has to be recorded.
    /// Streams last `life_ms` at most.
    #[must_use]
    pub fn needs_record(&self, now_ms: u64, service: &str, life_ms: u64) -> bool {
        self.candidates(now_ms, service, life_ms).len() != 1
    }

    /// Returns at which version a stream began that is taken up now and of which there is no record.
    #[must_use]
    pub fn unrecorded_origin(&self, now_ms: u64, service: &str, life_ms: u64) -> Origin {
        let is_only = !self.needs_record(now_ms, service, life_ms);
        // Streams that began since the versions serve side by side are recorded, except by instances
        // that did not know of an endpoint's new version, and unless the record is lost.
        let may_lack_record = self.was_replaced(now_ms, service, life_ms)
            || self.may_lack_records(now_ms, service, life_ms);
        if !is_only && may_lack_record {
            return Origin::Ambiguous;
        }
        self.former_version(now_ms, service, life_ms)
    }

    /// Returns the version from which streams without a record come if every instance records those of
    /// other versions. Instances of builds before 0.2 rely on that.
    #[must_use]
    pub fn former_version(&self, now_ms: u64, service: &str, life_ms: u64) -> Origin {
        let candidates = self.candidates(now_ms, service, life_ms);
        match &candidates[..] {
            [only] => Origin::Known(only.software.clone()),
            [former, others @ ..] => {
                let is_recent = |v: &&VersionRecord| {
                    v.since.is_some_and(|s| s.saturating_add(life_ms) > now_ms)
                };
                let is_former_older = former
                    .since
                    .is_none_or(|s| s.saturating_add(life_ms) <= now_ms);
                if is_former_older && others.iter().all(is_recent) {
                    Origin::Known(former.software.clone())
                } else {
                    Origin::Ambiguous
                }
            }
            [] => Origin::Ambiguous,
        }
    }

    /// Returns whether a stream that exists now can have begun after an endpoint had restarted with another
    /// version under its id.
    #[must_use]
    pub fn was_replaced(&self, now_ms: u64, service: &str, life_ms: u64) -> bool {
        is_within_life(self.replaced.get(service), now_ms, life_ms)
    }

    /// Returns whether the record of a stream that exists now may be lost.
    #[must_use]
    pub fn may_lack_records(&self, now_ms: u64, service: &str, life_ms: u64) -> bool {
        is_within_life(self.records_lost.get(service), now_ms, life_ms)
    }

    /// Returns the versions at which a stream may have begun that exists now, the earliest first.
    fn candidates(&self, now_ms: u64, service: &str, life_ms: u64) -> Vec<&VersionRecord> {
        let versions = self.services.get(service).map(Vec::as_slice);
        let lasted = life_ms.saturating_add(CLOCK_SLACK_MS);
        let may_have_begun = |v: &&VersionRecord| {
            v.until
                .is_none_or(|until| until.saturating_add(lasted) > now_ms)
        };
        let versions = versions.unwrap_or_default().iter();
        versions.filter(may_have_begun).collect()
    }
}

/// Returns whether a stream that exists now may have begun before `at_ms`, by any instance's clock.
fn is_within_life(at_ms: Option<&u64>, now_ms: u64, life_ms: u64) -> bool {
    let lasted = life_ms.saturating_add(CLOCK_SLACK_MS);
    at_ms.is_some_and(|at| at.saturating_add(lasted) > now_ms)
}
