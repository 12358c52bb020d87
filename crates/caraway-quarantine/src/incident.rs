//! [`Incident`]: a crash of an endpoint, from the reports of all instances.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::{CrashReport, Quarantine, Suspect};

/// Number of segments that are remembered.
const MAX_SEGMENTS: usize = 64;
/// Number of requests that are remembered: those that an endpoint runs, and some that wait there.
const MAX_REQUESTS: usize = 192;
/// Shortest time between two crashes of an endpoint.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A crash of an endpoint, from the reports of all instances.
#[derive(Clone, Debug)]
pub(crate) struct Incident {
    pub(crate) service: Arc<str>,
    pub(crate) endpoint: EndpointId,
    pub(crate) at: Instant,
    pub(crate) suspects: BTreeSet<Suspect>,
    started_ms: Option<u64>,
    /// What was reported, also what is not suspect any more.
    reported: BTreeSet<Suspect>,
    /// Number of requests among these.
    request_count: usize,
}

impl Incident {
    /// Creates the incident of a crash at `at`, without suspects.
    pub(crate) fn new(at: Instant, report: &CrashReport) -> Self {
        Self {
            service: report.service.clone(),
            endpoint: report.endpoint.clone(),
            at,
            suspects: BTreeSet::new(),
            started_ms: report.started_ms,
            reported: BTreeSet::new(),
            request_count: 0,
        }
    }

    /// Adds what another instance reports. `is_cleared` returns whether requests with a suspect have
    /// made progress since the crash.
    pub(crate) fn add(&mut self, report: &CrashReport, is_cleared: impl Fn(Suspect) -> bool) {
        for suspect in report.suspects.iter().chain(&report.proven) {
            if self.is_full(*suspect) || !self.reported.insert(*suspect) {
                continue;
            }
            self.request_count += usize::from(suspect.is_request());
            if !is_cleared(*suspect) {
                self.suspects.insert(*suspect);
            }
        }
    }

    /// Returns whether no more suspects of this kind are remembered.
    fn is_full(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Segment(_) => self.reported.len() - self.request_count >= MAX_SEGMENTS,
            Suspect::Request(_) => self.request_count >= MAX_REQUESTS,
        }
    }

    pub(crate) fn is_suspect(&self, service: &str, suspect: Suspect) -> bool {
        *self.service == *service && self.suspects.contains(&suspect)
    }

    /// Returns whether everything in a quarantine is suspect.
    pub(crate) fn has_all_of(&self, quarantine: &Quarantine) -> bool {
        quarantine.covers(&self.service, |s| self.suspects.contains(&s))
    }

    /// Returns whether a report adds nothing.
    pub(crate) fn covers(&self, report: &CrashReport) -> bool {
        let mut suspects = report.suspects.iter().chain(&report.proven);
        suspects.all(|s| self.is_full(*s) || self.reported.contains(s))
    }

    /// Returns whether a report of a crash at `at` is about this crash. Where start times are not
    /// known, an endpoint crashes once in [`RESTART_TIME`].
    pub(crate) fn is_of(&self, at: Instant, report: &CrashReport) -> bool {
        let distance = at.max(self.at) - at.min(self.at);
        self.endpoint == report.endpoint
            && self.service == report.service
            && self.started_ms == report.started_ms
            && (self.started_ms.is_some() || distance < RESTART_TIME)
    }
}
