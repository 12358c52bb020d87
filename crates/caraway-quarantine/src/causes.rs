//! [`find_causes`]: what crashes have in common.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use caraway_types::EndpointId;

use crate::{EvidenceSettings, Suspect, incident::Incident};

/// Number of crashes without another cause that a suspect must have.
pub(crate) const MIN_UNEXPLAINED: usize = 2;
/// Number of other crashes between those with a suspect for which one more with it is necessary.
const OTHERS_PER_EXTRA: usize = 4;
/// Largest number of crashes that are necessary because of others.
const MAX_EXTRA_CRASHES: usize = 1;

/// Suspects that several crashes have in common.
#[derive(Clone, Debug)]
pub(crate) struct Cause {
    pub(crate) suspects: BTreeSet<Suspect>,
    pub(crate) crashed: Vec<EndpointId>,
}

impl Cause {
    pub(crate) fn explains(&self, incident: &Incident) -> bool {
        self.suspects.is_subset(&incident.suspects)
    }
}

/// Returns what crashes of one service have in common, the most frequent first; each with enough
/// crashes that those before it do not explain. The necessary number is multiplied by `factor`;
/// `is_proven` returns whether requests with a suspect have made progress before.
pub(crate) fn find_causes(
    mut unexplained: Vec<&Incident>,
    settings: &EvidenceSettings,
    factor: usize,
    is_proven: impl Fn(Suspect) -> bool,
) -> Vec<Cause> {
    unexplained.sort_by_key(|i| i.at);
    let mut all = crashes_by_suspect(&unexplained, settings.separation, |_| true);
    // Most requests are at one crash only.
    all.retain(|s, crashes| crashes.count >= settings.necessary_crashes(*s));
    let all = all;
    let mut causes = Vec::new();
    loop {
        let crashes =
            crashes_by_suspect(&unexplained, settings.separation, |s| all.contains_key(&s));
        let is_enough = |s: Suspect, c: &SeparateCrashes| {
            let necessary = if is_proven(s) {
                settings.proven_crashes
            } else {
                settings.necessary_crashes(s)
            };
            // One crash may have two causes, so explained crashes count half beside others.
            let explained = all.get(&s).map_or(0, |a| a.count).saturating_sub(c.count);
            let count = c.count + explained / 2;
            if c.count < MIN_UNEXPLAINED || count < necessary * factor {
                return false;
            }
            // Where endpoints also crash without the suspect, it may be there by chance.
            let others = c.others(s, &unexplained, settings.separation);
            let per_extra = if s.is_request() { 1 } else { OTHERS_PER_EXTRA };
            let extra = (others / per_extra).min(MAX_EXTRA_CRASHES);
            count >= (necessary + extra) * factor
        };
        let enough = crashes.iter().filter(|(s, c)| is_enough(**s, c));
        let enough: Vec<(Suspect, &SeparateCrashes)> = enough.map(|(s, c)| (*s, c)).collect();
        // Different requests that were at the same crashes can't be told apart yet.
        let is_ambiguous = |suspect: Suspect, c: &SeparateCrashes| {
            let mut requests = enough.iter().filter(|(s, _)| s.is_request());
            suspect.is_request()
                && requests.any(|(s, other)| *s != suspect && other.indices == c.indices)
        };
        let unambiguous = enough.iter().filter(|(s, c)| !is_ambiguous(*s, c));
        let worst = unambiguous
            .max_by_key(|(s, c)| (!is_proven(*s), c.count, c.indices.len(), s.is_request(), *s));
        let Some((worst, of_worst)) = worst else {
            return causes;
        };
        let endpoints = of_worst
            .indices
            .iter()
            .map(|i| unexplained[*i].endpoint.clone());
        causes.push(Cause {
            suspects: suspects_together(*worst, of_worst, &crashes, &is_proven),
            crashed: endpoints.collect(),
        });
        let explained = of_worst.indices.clone();
        let mut index = 0;
        unexplained.retain(|_| {
            index += 1;
            !explained.contains(&(index - 1))
        });
    }
}

/// Returns a cause with the segments that came together with it each time, which can't be told apart
/// unless one of them is proven. A whole request is a cause by itself.
fn suspects_together(
    cause: Suspect,
    of_cause: &SeparateCrashes,
    crashes: &HashMap<Suspect, SeparateCrashes>,
    is_proven: impl Fn(Suspect) -> bool,
) -> BTreeSet<Suspect> {
    if cause.is_request() {
        return BTreeSet::from([cause]);
    }
    let is_cause_proven = is_proven(cause);
    let together = crashes.iter().filter(|(s, c)| {
        !s.is_request() && c.indices == of_cause.indices && is_proven(**s) == is_cause_proven
    });
    together.map(|(s, _)| *s).collect()
}

/// Returns the crashes of each suspect that `is_relevant`.
fn crashes_by_suspect(
    incidents: &[&Incident],
    separation: Duration,
    is_relevant: impl Fn(Suspect) -> bool,
) -> HashMap<Suspect, SeparateCrashes> {
    let mut crashes: HashMap<Suspect, SeparateCrashes> = HashMap::new();
    for (index, incident) in incidents.iter().enumerate() {
        for suspect in incident.suspects.iter().filter(|s| is_relevant(**s)) {
            let of_suspect = crashes.entry(*suspect).or_default();
            of_suspect.add(index, incident.at, separation);
        }
    }
    crashes
}

/// The crashes that a suspect may be the cause of, in the order of their times.
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

    /// Returns the number of other crashes, for a segment only those between the first and the last of
    /// these; those at the same moment count once.
    fn others(&self, suspect: Suspect, incidents: &[&Incident], separation: Duration) -> usize {
        let (Some(first), Some(last)) = (self.indices.first(), self.indices.last()) else {
            return 0;
        };
        let (first, last) = if suspect.is_request() {
            (0, incidents.len())
        } else {
            (*first, *last)
        };
        let mut others = Self::default();
        for (index, incident) in incidents.iter().enumerate().take(last).skip(first) {
            if self.indices.binary_search(&index).is_err() {
                others.add(index, incident.at, separation);
            }
        }
        others.count
    }
}
