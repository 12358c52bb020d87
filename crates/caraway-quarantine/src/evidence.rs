//! [`CrashEvidence`]: adds up what all instances report of crashes and of progress.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::{CrashReport, EvidenceSettings, Quarantine, SegmentId, progress::RecentProgress};

/// Number of segments of a report that are remembered.
const MAX_SUSPECTS: usize = 64;
/// Number of crashes without another cause that a segment must have.
const MIN_UNEXPLAINED: usize = 2;
/// Number of other crashes between those with a segment for which one more with it is necessary.
const OTHERS_PER_EXTRA: usize = 4;
/// Largest number of crashes that are necessary because of others.
const MAX_EXTRA_CRASHES: usize = 1;
/// Number of crashes from which on progress with a suspect segment is shared.
const DANGEROUS_CRASHES: usize = 2;
/// Shortest time between two crashes of an endpoint.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A crash of an endpoint, from the reports of all instances.
#[derive(Clone, Debug)]
struct Incident {
    service: Arc<str>,
    endpoint: EndpointId,
    started_ms: Option<u64>,
    at: Instant,
    suspects: BTreeSet<SegmentId>,
    /// The segments that were reported, also those that are not suspect any more.
    reported: BTreeSet<SegmentId>,
}

/// How a quarantine changed; none of the two is set if it did not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The quarantine as it was, if it existed.
    pub before: Option<Quarantine>,
    /// The quarantine as it is, if it exists.
    pub after: Option<Quarantine>,
}

/// Adds up reports of crashes, for and against each segment, and decides on quarantines.
///
/// A segment is suspect while requests with it were without progress at an endpoint that crashed,
/// and no request with it has made progress since. The segments with the most crashes are put in
/// quarantine together, and the crashes that they explain do not count against others. This is
/// repeated with the other crashes, and from the start when another crash is known.
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
    /// Returns the suspects of several crashes with which requests have made progress before, and when.
    /// The instance that has sent the report may not know that.
    pub fn on_report(&mut self, now: Instant, report: &CrashReport) -> Vec<(SegmentId, Instant)> {
        let at = now.checked_sub(report.age.get()).unwrap_or(now);
        let known = self.incidents.iter().position(|i| i.is_of(at, report));
        let index = known.unwrap_or_else(|| {
            self.incidents.push_back(Incident {
                service: report.service.clone(),
                endpoint: report.endpoint.clone(),
                started_ms: report.started_ms,
                at,
                suspects: BTreeSet::new(),
                reported: BTreeSet::new(),
            });
            if self.incidents.len() > self.settings.max_incidents {
                self.incidents.pop_front();
            }
            self.incidents.len() - 1
        });
        let incident = &mut self.incidents[index];
        for suspect in report.suspects.iter().chain(&report.proven) {
            let last = self.progress.last(&report.service, *suspect);
            let is_cleared = last.is_some_and(|last| last > incident.at);
            if incident.reported.len() < MAX_SUSPECTS
                && incident.reported.insert(*suspect)
                && !is_cleared
            {
                incident.suspects.insert(*suspect);
            }
        }
        for segment in &report.proven {
            let earlier = at.checked_sub(self.settings.settling).unwrap_or(at);
            self.progress.record(earlier, &report.service, *segment);
        }
        self.unsettled.insert(report.service.clone());
        let suspects = report.suspects.iter();
        let in_danger = suspects.filter(|s| self.is_in_danger(&report.service, **s));
        let proven = in_danger.filter_map(|s| Some((*s, self.progress.last(&report.service, *s)?)));
        proven.collect()
    }

    /// Returns the segments of requests that broke off at an endpoint, sent at the given times, that
    /// are suspect, and those of them with which requests have made progress before.
    #[must_use]
    pub fn classify(
        &self,
        service: &Arc<str>,
        segments: impl Iterator<Item = (SegmentId, Instant)>,
    ) -> (Vec<SegmentId>, Vec<SegmentId>) {
        let (mut suspects, mut proven) = (BTreeSet::new(), BTreeSet::new());
        for (segment, sent_at) in segments {
            match self.progress.last(service, segment) {
                None => suspects.insert(segment),
                Some(last) if last <= sent_at => proven.insert(segment),
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
            let causes = self.causes(now, &service, factor);
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
        let is_known = |i: &Incident, s: &SegmentId| {
            i.reported.len() >= MAX_SUSPECTS || i.reported.contains(s)
        };
        let suspects = || report.suspects.iter().chain(&report.proven);
        same.any(|i| suspects().all(|s| is_known(i, s)))
    }

    /// Records that a request of this instance with these segments has made progress. Returns those
    /// that are suspects of several crashes or in quarantine, for [`Self::on_progress`].
    pub fn record_progress(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        segments: impl Iterator<Item = SegmentId>,
    ) -> Vec<SegmentId> {
        let mut suspects = Vec::new();
        for segment in segments {
            self.progress.record(now, service, segment);
            if self.is_in_danger(service, segment) {
                suspects.push(segment);
            }
        }
        suspects
    }

    /// Handles progress of a request with this segment at `at`: what crashed before was not due to
    /// it. Returns how quarantines changed.
    pub fn on_progress(
        &mut self,
        at: Instant,
        service: &Arc<str>,
        segment: SegmentId,
    ) -> Vec<Verdict> {
        self.progress.record(at, service, segment);
        for incident in &mut self.incidents {
            if incident.service == *service && incident.at < at {
                incident.suspects.remove(&segment);
            }
        }
        let mut verdicts = Vec::new();
        for quarantine in &mut self.quarantines {
            if quarantine.service != *service
                || quarantine.decided_at >= at
                || !quarantine.segments.contains(&segment)
            {
                continue;
            }
            let before = Some(quarantine.clone());
            quarantine.segments.remove(&segment);
            let after = Some(quarantine.clone()).filter(|q| !q.segments.is_empty());
            verdicts.push(Verdict { before, after });
        }
        self.quarantines.retain(|q| !q.segments.is_empty());
        verdicts
    }

    /// Returns whether a segment is a suspect of several crashes or in quarantine, so that others should
    /// know of progress with it.
    fn is_in_danger(&self, service: &str, segment: SegmentId) -> bool {
        let crashes = self.incidents.iter();
        let crashes = crashes.filter(|i| i.is_suspect(service, segment)).count();
        crashes >= DANGEROUS_CRASHES || self.is_quarantined(service, segment)
    }

    /// Returns whether a segment is suspect or in quarantine.
    #[must_use]
    pub fn is_suspect(&self, service: &str, segment: SegmentId) -> bool {
        let mut incidents = self.incidents.iter();
        incidents.any(|i| i.is_suspect(service, segment)) || self.is_quarantined(service, segment)
    }

    fn is_quarantined(&self, service: &str, segment: SegmentId) -> bool {
        let mut quarantines = self.quarantines.iter();
        quarantines.any(|q| *q.service == *service && q.segments.contains(&segment))
    }

    /// Adopts a quarantine that another instance decided on. Returns false if it is known.
    pub fn adopt(&mut self, quarantine: Quarantine) -> bool {
        let is_same =
            |q: &Quarantine| q.service == quarantine.service && q.segments == quarantine.segments;
        if quarantine.segments.is_empty()
            || self.quarantines.len() >= self.settings.max_quarantines
            || self.quarantines.iter().any(is_same)
        {
            return false;
        }
        self.quarantines.push(quarantine);
        true
    }

    /// Ends a quarantine that another instance has ended. Returns false if it is not known.
    pub fn lift(&mut self, service: &str, segments: &BTreeSet<SegmentId>) -> bool {
        let count = self.quarantines.len();
        self.quarantines
            .retain(|q| *q.service != *service || q.segments != *segments);
        self.quarantines.len() < count
    }

    /// Returns the quarantine that keeps a prompt with these shared segments from the endpoints of a
    /// service, `None` if there is none.
    #[must_use]
    pub fn quarantine(
        &self,
        now: Instant,
        service: &str,
        has_segment: impl Fn(SegmentId) -> bool,
    ) -> Option<&Quarantine> {
        self.quarantines
            .iter()
            .find(|q| now < q.until && q.covers(service, &has_segment))
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

    /// Returns what the settled crashes of a service have in common, the most frequent first; each
    /// with enough crashes that those before it do not explain. The necessary number is multiplied by
    /// `factor`.
    fn causes(&self, now: Instant, service: &Arc<str>, factor: usize) -> Vec<Cause> {
        let mut unexplained: Vec<&Incident> = self
            .incidents
            .iter()
            .filter(|i| i.service == *service && i.at + self.settings.settling <= now)
            .collect();
        unexplained.sort_by_key(|i| i.at);
        let all = self.crashes_by_suspect(&unexplained);
        let is_proven = |s: SegmentId| self.progress.last(service, s).is_some();
        let mut causes = Vec::new();
        loop {
            let crashes = self.crashes_by_suspect(&unexplained);
            let is_enough = |s: SegmentId, c: &SeparateCrashes| {
                let necessary = if is_proven(s) {
                    self.settings.proven_crashes
                } else {
                    self.settings.crashes
                };
                // Where endpoints also crash without the segment, it may be there by chance.
                let others = c.others(&unexplained, self.settings.separation);
                let extra = (others / OTHERS_PER_EXTRA).min(MAX_EXTRA_CRASHES);
                let necessary = (necessary + extra) * factor;
                // One crash may have two causes, so explained crashes count half beside others.
                let explained = all.get(&s).map_or(0, |a| a.count).saturating_sub(c.count);
                c.count >= MIN_UNEXPLAINED && c.count + explained / 2 >= necessary
            };
            let enough = crashes.iter().filter(|(s, c)| is_enough(**s, c));
            let worst =
                enough.max_by_key(|(s, c)| (!is_proven(**s), c.count, c.indices.len(), **s));
            let Some((cause, worst)) = worst else {
                return causes;
            };
            // Segments that came together each time can't be told apart, unless one of them is
            // proven.
            let is_cause_proven = is_proven(*cause);
            let together = crashes
                .iter()
                .filter(|(s, c)| c.indices == worst.indices && is_proven(**s) == is_cause_proven);
            causes.push(Cause {
                segments: together.map(|(s, _)| *s).collect(),
                crashed: worst
                    .indices
                    .iter()
                    .map(|i| unexplained[*i].endpoint.clone())
                    .collect(),
            });
            let explained = worst.indices.clone();
            let mut index = 0;
            unexplained.retain(|_| {
                index += 1;
                !explained.contains(&(index - 1))
            });
        }
    }

    /// Returns the crashes that each segment may be the cause of.
    fn crashes_by_suspect(&self, incidents: &[&Incident]) -> HashMap<SegmentId, SeparateCrashes> {
        let mut crashes: HashMap<SegmentId, SeparateCrashes> = HashMap::new();
        for (index, incident) in incidents.iter().enumerate() {
            for suspect in &incident.suspects {
                let of_suspect = crashes.entry(*suspect).or_default();
                of_suspect.add(index, incident.at, self.settings.separation);
            }
        }
        crashes
    }

    /// Ends the quarantines whose crashes have other causes after all.
    fn withdraw(&mut self, service: &str, causes: &[Cause]) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let (incidents, settings) = (&self.incidents, &self.settings);
        self.quarantines.retain(|q| {
            let is_cause = causes.iter().any(|c| c.segments.is_subset(&q.segments));
            let of_quarantine = incidents.iter().filter(|i| i.has_all_of(q));
            let (explained, others): (Vec<&Incident>, Vec<&Incident>) =
                of_quarantine.partition(|i| causes.iter().any(|c| c.explains(i)));
            let is_explained = explained.len() + others.len() >= settings.crashes
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

    /// Puts a cause in quarantine, or narrows the quarantine of more segments than necessary.
    fn condemn(&mut self, now: Instant, service: &Arc<str>, cause: Cause) -> Option<Verdict> {
        let known = self
            .quarantines
            .iter_mut()
            .find(|q| q.service == *service && cause.segments.is_subset(&q.segments));
        if let Some(known) = known {
            if known.segments == cause.segments {
                return None;
            }
            let before = Some(known.clone());
            known.segments = cause.segments;
            let after = Some(known.clone());
            return Some(Verdict { before, after });
        }
        let quarantine = Quarantine {
            service: service.clone(),
            segments: cause.segments,
            crashed: cause.crashed,
            decided_at: now,
            until: now + self.settings.with_jitter(self.settings.lifetime),
            lifetime: self.settings.lifetime,
        };
        self.adopt(quarantine.clone()).then_some(Verdict {
            before: None,
            after: Some(quarantine),
        })
    }
}

/// Segments that several crashes have in common.
#[derive(Clone, Debug)]
struct Cause {
    segments: BTreeSet<SegmentId>,
    crashed: Vec<EndpointId>,
}

impl Cause {
    fn explains(&self, incident: &Incident) -> bool {
        self.segments.is_subset(&incident.suspects)
    }
}

/// The crashes that a segment may be the cause of, in the order of their times.
#[derive(Clone, Debug, Default)]
struct SeparateCrashes {
    /// Number of crashes; those at the same moment count once.
    count: usize,
    last: Option<Instant>,
    /// Indices of the crashes, all of them.
    indices: Vec<usize>,
}

impl SeparateCrashes {
    fn add(&mut self, index: usize, at: Instant, separation: Duration) {
        self.indices.push(index);
        if self.last.is_none_or(|last| at >= last + separation) {
            self.last = Some(at);
            self.count += 1;
        }
    }

    /// Returns the number of other crashes between the first and the last of these; those at the same
    /// moment count once.
    fn others(&self, incidents: &[&Incident], separation: Duration) -> usize {
        let (Some(first), Some(last)) = (self.indices.first(), self.indices.last()) else {
            return 0;
        };
        let mut others = Self::default();
        for (index, incident) in incidents.iter().enumerate().take(*last).skip(*first) {
            if !self.indices.contains(&index) {
                others.add(index, incident.at, separation);
            }
        }
        others.count
    }
}

impl Incident {
    fn is_suspect(&self, service: &str, segment: SegmentId) -> bool {
        *self.service == *service && self.suspects.contains(&segment)
    }

    /// Returns whether all segments of a quarantine are suspects.
    fn has_all_of(&self, quarantine: &Quarantine) -> bool {
        quarantine.covers(&self.service, |s| self.suspects.contains(&s))
    }

    /// Returns whether a report of a crash at `at` is about this crash. Where start times are not
    /// known, an endpoint crashes once in [`RESTART_TIME`].
    fn is_of(&self, at: Instant, report: &CrashReport) -> bool {
        let distance = at.max(self.at) - at.min(self.at);
        self.endpoint == report.endpoint
            && self.service == report.service
            && self.started_ms == report.started_ms
            && (self.started_ms.is_some() || distance < RESTART_TIME)
    }
}
