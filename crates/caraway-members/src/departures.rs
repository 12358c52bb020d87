//! [`Departures`]: which incarnations of instances and endpoints are leaving or have ended.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::Incarnation;

use crate::{Departure, Stage};

/// Stands for the incarnation of an instance that the list names and that has sent no heartbeat.
pub(crate) const UNKNOWN_INCARNATION: Incarnation = 0;

/// The newest departing incarnation of one id.
#[derive(Clone, Debug, Hash)]
struct Entry {
    incarnation: Incarnation,
    stage: Stage,
    /// Whether the incarnation was reported as leaving; this outlasts a refuted drop.
    leaving: bool,
    /// When it reached `stage`.
    since: Instant,
}

/// The newest departure of each id.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Departures {
    entries: BTreeMap<Arc<str>, Entry>,
}

impl Departures {
    /// Records a departure unless it is older than the known one; returns whether it was new.
    pub(crate) fn record(&mut self, now: Instant, departure: &Departure) -> bool {
        let (incarnation, stage) = (departure.incarnation, departure.stage);
        let known = self.entries.get(&departure.id);
        if known.is_some_and(|e| (e.incarnation, e.stage) >= (incarnation, stage)) {
            return false;
        }
        let same = known.filter(|e| e.incarnation == incarnation);
        let entry = Entry {
            incarnation,
            stage,
            leaving: stage == Stage::Leaving || same.is_some_and(|e| e.leaving),
            since: now,
        };
        self.entries.insert(departure.id.clone(), entry);
        true
    }

    /// Withdraws [`Stage::Dropped`] after contact with `id`; it stays leaving if it was before.
    pub(crate) fn cancel_drop(&mut self, id: &str, incarnation: Incarnation) {
        if self.stage(id, incarnation) != Some(Stage::Dropped) {
            return;
        }
        match self.entries.get_mut(id) {
            Some(entry) if entry.leaving => entry.stage = Stage::Leaving,
            _ => drop(self.entries.remove(id)),
        }
    }

    /// Returns the stage of an incarnation; one older than the recorded incarnation has ended.
    ///
    /// An unknown incarnation may be the recorded one, so it counts as leaving, which keeps work
    /// away from it, but not as ended.
    pub(crate) fn stage(&self, id: &str, incarnation: Incarnation) -> Option<Stage> {
        let entry = self.entries.get(id)?;
        match entry.incarnation.cmp(&incarnation) {
            std::cmp::Ordering::Less => None,
            std::cmp::Ordering::Equal => Some(entry.stage),
            std::cmp::Ordering::Greater if incarnation == UNKNOWN_INCARNATION => {
                Some(Stage::Leaving)
            }
            std::cmp::Ordering::Greater => Some(Stage::Ended),
        }
    }

    /// Returns how long an incarnation has been dropped or ended, or `None` if it is neither.
    pub(crate) fn time_since_end(
        &self,
        now: Instant,
        id: &str,
        incarnation: Incarnation,
    ) -> Option<Duration> {
        let stage = self.stage(id, incarnation)?;
        let since = self.entries.get(id)?.since;
        (stage >= Stage::Dropped).then(|| now.saturating_duration_since(since))
    }

    /// Returns the departures recorded at most `max_age` ago, to send to peers.
    pub(crate) fn recent(&self, now: Instant, max_age: Duration) -> Vec<Departure> {
        let is_recent = |e: &Entry| now.saturating_duration_since(e.since) <= max_age;
        let departure = |(id, e): (&Arc<str>, &Entry)| Departure {
            id: id.clone(),
            incarnation: e.incarnation,
            stage: e.stage,
        };
        let recent = self.entries.iter().filter(|(_, e)| is_recent(e));
        recent.map(departure).collect()
    }

    /// Removes departures older than `max_age`, except those whose id `is_known` accepts.
    pub(crate) fn expire(
        &mut self,
        now: Instant,
        max_age: Duration,
        is_known: impl Fn(&str) -> bool,
    ) {
        self.entries
            .retain(|id, e| is_known(id) || now.saturating_duration_since(e.since) <= max_age);
    }
}
