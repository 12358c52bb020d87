//! [`CrashEvidence`]: adds up what all instances report of crashes and of progress.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Instant,
};

use crate::{
    CrashReport, EvidenceSettings, Quarantine, Suspect,
    causes::{Cause, MIN_UNEXPLAINED, find_causes},
    incident::Incident,
    progress::RecentProgress,
};

/// Number of crashes from which on progress with a suspect is shared.
const DANGEROUS_CRASHES: usize = 2;

/// How a quarantine changed; none of the two is set if it did not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The quarantine as it was, if it existed.
    pub before: Option<Quarantine>,
    /// The quarantine as it is, if it exists.
    pub after: Option<Quarantine>,
}

/// Adds up reports of crashes, for and against each suspect, and decides on quarantines.
///
/// A segment is suspect while requests with it were without progress at an endpoint that crashed,
/// and no request with it has made progress since. A request as a whole is suspect where it had not
/// ended, and until it ends well somewhere. The suspects with the most crashes are put in quarantine
/// together, and the crashes that they explain do not count against others. This is repeated with the
/// other crashes, and from the start when another crash is known.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    settings: EvidenceSettings,
    /// The crashes, the earliest report first.
    incidents: VecDeque<Incident>,
    /// Progress of this instance's requests, and what others have reported of theirs.
    progress: RecentProgress,
    quarantines: Vec<Quarantine>,
    /// Services with crashes that were not considered yet.
    unsettled: BTreeSet<Arc<str>>,
}

impl CrashEvidence {
    /// Creates the state without any evidence.
    #[must_use]
    pub fn new(settings: EvidenceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Handles a report of a crash; [`Self::on_tick`] draws the conclusions.
    ///
    /// Returns the requests, and the segments of several crashes, with which there was progress before,
    /// and when.
    /// The instance that has sent the report may not know that.
    pub fn on_report(&mut self, now: Instant, report: &CrashReport) -> Vec<(Suspect, Instant)> {
        let at = now.checked_sub(report.age.get()).unwrap_or(now);
        let known = self.incidents.iter().position(|i| i.is_of(at, report));
        let index = known.unwrap_or_else(|| {
            self.incidents.push_back(Incident::new(at, report));
            if self.incidents.len() > self.settings.max_incidents {
                self.incidents.pop_front();
            }
            self.incidents.len() - 1
        });
        let (incident, progress) = (&mut self.incidents[index], &self.progress);
        let crashed_at = incident.at;
        incident.add(report, |suspect| {
            let last = progress.last(&report.service, suspect);
            last.is_some_and(|last| last > crashed_at)
        });
        for suspect in &report.proven {
            let earlier = at.checked_sub(self.settings.settling).unwrap_or(at);
            self.progress.record(earlier, &report.service, *suspect);
        }
        self.unsettled.insert(report.service.clone());
        let suspects = report.suspects.iter();
        // Few crashes condemn a request, so there is no time to wait for another one.
        let in_danger =
            suspects.filter(|s| s.is_request() || self.is_in_danger(&report.service, **s));
        let proven = in_danger.filter_map(|s| Some((*s, self.progress.last(&report.service, *s)?)));
        proven.collect()
    }

    /// Returns what requests that broke off at an endpoint had, sent at the given times, that is
    /// suspect, and those of it with which requests have made progress before.
    #[must_use]
    pub fn classify(
        &self,
        service: &Arc<str>,
        candidates: impl Iterator<Item = (Suspect, Instant)>,
    ) -> (Vec<Suspect>, Vec<Suspect>) {
        let (mut suspects, mut proven) = (BTreeSet::new(), BTreeSet::new());
        for (suspect, sent_at) in candidates {
            match self.progress.last(service, suspect) {
                None => suspects.insert(suspect),
                Some(last) if last <= sent_at => proven.insert(suspect),
                Some(_) => false,
            };
        }
        (suspects.into_iter().collect(), proven.into_iter().collect())
    }

    /// Draws the conclusions from the crashes that all instances have reported by `now`. `is_current`
    /// is whether this instance learns what the others see. Returns how quarantines changed.
    pub fn on_tick(&mut self, now: Instant, is_current: bool) -> Vec<Verdict> {
        let memory = self.settings.memory;
        self.incidents
            .retain(|i| now.saturating_duration_since(i.at) < memory);
        self.quarantines.retain(|q| now < q.forgotten_at());
        let mut verdicts = Vec::new();
        for service in std::mem::take(&mut self.unsettled) {
            let mut incidents = self.incidents.iter().filter(|i| i.service == service);
            if incidents.any(|i| now < i.at + self.settings.settling) {
                self.unsettled.insert(service.clone());
            }
            verdicts.extend(self.renew(now, &service));
            let factor = if is_current {
                1
            } else {
                self.settings.isolated_factor
            };
            let settled = self.incidents.iter();
            let settled =
                settled.filter(|i| i.service == service && i.at + self.settings.settling <= now);
            let causes = find_causes(settled.collect(), &self.settings, factor, |suspect| {
                self.progress.last(&service, suspect).is_some()
            });
            verdicts.extend(self.withdraw(&service, &causes));
            for cause in causes {
                verdicts.extend(self.condemn(now, &service, cause));
            }
        }
        verdicts
    }

    /// Returns whether a report would add nothing to what is known.
    #[must_use]
    pub fn is_known(&self, now: Instant, report: &CrashReport) -> bool {
        let at = now.checked_sub(report.age.get()).unwrap_or(now);
        let mut same = self.incidents.iter().filter(|i| i.is_of(at, report));
        same.any(|i| i.covers(report))
    }

    /// Records that a request of this instance with these segments has made progress, or that this
    /// request has ended well. Returns the suspects of several crashes and those in quarantine, for
    /// [`Self::on_progress`].
    pub fn record_progress(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        suspects: impl Iterator<Item = Suspect>,
    ) -> Vec<Suspect> {
        let mut in_danger = Vec::new();
        for suspect in suspects {
            self.progress.record(now, service, suspect);
            if self.is_in_danger(service, suspect) {
                in_danger.push(suspect);
            }
        }
        in_danger
    }

    /// Handles progress of a request with this suspect at `at`: what crashed before was not due to
    /// it. Returns how quarantines changed.
    pub fn on_progress(
        &mut self,
        at: Instant,
        service: &Arc<str>,
        suspect: Suspect,
    ) -> Vec<Verdict> {
        self.progress.record(at, service, suspect);
        for incident in &mut self.incidents {
            if incident.service == *service && incident.at < at {
                incident.suspects.remove(&suspect);
            }
        }
        let mut verdicts = Vec::new();
        for quarantine in &mut self.quarantines {
            if quarantine.service != *service
                || quarantine.decided_at >= at
                || !quarantine.suspects.contains(&suspect)
            {
                continue;
            }
            let before = Some(quarantine.clone());
            quarantine.suspects.remove(&suspect);
            let after = Some(quarantine.clone()).filter(|q| !q.suspects.is_empty());
            verdicts.push(Verdict { before, after });
        }
        self.quarantines.retain(|q| !q.suspects.is_empty());
        verdicts
    }

    /// Returns whether this is a suspect of several crashes or in quarantine, so that others should
    /// know of progress with it.
    fn is_in_danger(&self, service: &str, suspect: Suspect) -> bool {
        let crashes = self.incidents.iter();
        let crashes = crashes.filter(|i| i.is_suspect(service, suspect)).count();
        crashes >= DANGEROUS_CRASHES || self.is_quarantined(service, suspect)
    }

    /// Returns whether this is suspect or in quarantine.
    #[must_use]
    pub fn is_suspect(&self, service: &str, suspect: Suspect) -> bool {
        let mut incidents = self.incidents.iter();
        incidents.any(|i| i.is_suspect(service, suspect)) || self.is_quarantined(service, suspect)
    }

    fn is_quarantined(&self, service: &str, suspect: Suspect) -> bool {
        let mut quarantines = self.quarantines.iter();
        quarantines.any(|q| *q.service == *service && q.suspects.contains(&suspect))
    }

    /// Adopts a quarantine that another instance decided on. Returns false if it is known
    /// or there are too many.
    pub fn adopt(&mut self, quarantine: Quarantine) -> bool {
        let is_same =
            |q: &Quarantine| q.service == quarantine.service && q.suspects == quarantine.suspects;
        if quarantine.suspects.is_empty()
            || self.quarantines.len() >= self.settings.max_quarantines
            || self.quarantines.iter().any(is_same)
        {
            return false;
        }
        self.quarantines.push(quarantine);
        true
    }

    /// Ends a quarantine that another instance has ended. Returns false if it is not known.
    pub fn lift(&mut self, service: &str, suspects: &BTreeSet<Suspect>) -> bool {
        let count = self.quarantines.len();
        self.quarantines
            .retain(|q| *q.service != *service || q.suspects != *suspects);
        self.quarantines.len() < count
    }

    /// Returns the quarantine that keeps a request with these suspects from the endpoints of a service,
    /// `None` if there is none.
    #[must_use]
    pub fn quarantine(
        &self,
        now: Instant,
        service: &str,
        has: impl Fn(Suspect) -> bool,
    ) -> Option<&Quarantine> {
        self.quarantines
            .iter()
            .find(|q| now < q.until && q.covers(service, &has))
    }

    /// Returns the quarantines in force.
    pub fn quarantines(&self, now: Instant) -> impl Iterator<Item = &Quarantine> {
        self.quarantines.iter().filter(move |q| now < q.until)
    }

    /// Renews the quarantines that have ended and that a crash since then shows to be needed.
    fn renew(&mut self, now: Instant, service: &Arc<str>) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for quarantine in &mut self.quarantines {
            let since = quarantine.until;
            let mut incidents = self.incidents.iter().filter(|i| i.service == *service);
            let Some(incident) = incidents.find(|i| since <= i.at && i.has_all_of(quarantine))
            else {
                continue;
            };
            let before = Some(quarantine.clone());
            quarantine.lifetime = (quarantine.lifetime * 2).min(self.settings.max_lifetime);
            quarantine.until = now + self.settings.with_jitter(quarantine.lifetime);
            quarantine.decided_at = now;
            quarantine.crashed.push(incident.endpoint.clone());
            let after = Some(quarantine.clone());
            verdicts.push(Verdict { before, after });
        }
        verdicts
    }

    /// Ends the quarantines whose crashes have other causes after all.
    fn withdraw(&mut self, service: &str, causes: &[Cause]) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let (incidents, settings) = (&self.incidents, &self.settings);
        self.quarantines.retain(|q| {
            let is_cause = causes.iter().any(|c| c.suspects.is_subset(&q.suspects));
            let of_quarantine = incidents.iter().filter(|i| i.has_all_of(q));
            let (explained, others): (Vec<&Incident>, Vec<&Incident>) =
                of_quarantine.partition(|i| causes.iter().any(|c| c.explains(i)));
            let mut necessary = q.suspects.iter().map(|s| settings.necessary_crashes(*s));
            let is_explained = necessary.any(|n| explained.len() + others.len() >= n)
                && others.len() < MIN_UNEXPLAINED;
            let is_kept = *q.service != *service || is_cause || !is_explained;
            if !is_kept {
                verdicts.push(Verdict {
                    before: Some(q.clone()),
                    after: None,
                });
            }
            is_kept
        });
        verdicts
    }

    /// Ends the quarantine that ends first if there is no room for another.
    fn make_room(&mut self) -> Option<Verdict> {
        if self.quarantines.len() < self.settings.max_quarantines {
            return None;
        }
        let ends = self.quarantines.iter().enumerate();
        let (first, _) = ends.min_by_key(|(_, q)| q.until)?;
        Some(Verdict {
            before: Some(self.quarantines.swap_remove(first)),
            after: None,
        })
    }

    /// Puts a cause in quarantine, or narrows the quarantine of more suspects than necessary.
    fn condemn(&mut self, now: Instant, service: &Arc<str>, cause: Cause) -> Vec<Verdict> {
        let known = self
            .quarantines
            .iter_mut()
            .find(|q| q.service == *service && cause.suspects.is_subset(&q.suspects));
        if let Some(known) = known {
            if known.suspects == cause.suspects {
                return Vec::new();
            }
            let before = Some(known.clone());
            known.suspects = cause.suspects;
            let after = Some(known.clone());
            return vec![Verdict { before, after }];
        }
        let mut verdicts: Vec<Verdict> = self.make_room().into_iter().collect();
        let quarantine = Quarantine {
            service: service.clone(),
            suspects: cause.suspects,
            crashed: cause.crashed,
            decided_at: now,
            until: now + self.settings.with_jitter(self.settings.lifetime),
            lifetime: self.settings.lifetime,
        };
        if self.adopt(quarantine.clone()) {
            verdicts.push(Verdict {
                before: None,
                after: Some(quarantine),
            });
        }
        verdicts
    }
}
