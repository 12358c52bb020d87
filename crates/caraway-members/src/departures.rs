//! [`Marks`]: which incarnations are leaving or have ended.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use caraway_types::Incarnation;

use crate::{Departure, Stage};

/// Incarnation of an instance that the list names and that was not heard yet.
pub(crate) const UNKNOWN_INCARNATION: Incarnation = 0;

/// What is marked of one id: its newest marked incarnation.
#[derive(Clone, Debug, Hash)]
struct Entry {
    incarnation: Incarnation,
    stage: Stage,
    leaving: bool,
    since: Instant,
}

/// Keeps the newest mark of each id; a mark never goes back for the same incarnation.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Departures {
    entries: BTreeMap<Arc<str>, Entry>,
}

impl Departures {
    /// Takes a mark and tells whether it was news.
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

    /// Takes back that the list dropped `id`, because it was heard; it stays leaving if it was.
    pub(crate) fn refute_drop(&mut self, id: &str, incarnation: Incarnation) {
        if self.stage(id, incarnation) != Some(Stage::Dropped) {
            return;
        }
        match self.entries.get_mut(id) {
            Some(entry) if entry.leaving => entry.stage = Stage::Leaving,
            _ => drop(self.entries.remove(id)),
        }
    }

    /// Returns the stage of an incarnation; an older one than the marked has ended. One that was not
    /// heard yet may be the marked one, so it takes no work but is not taken as ended.
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

    /// Returns how long ago an incarnation was marked as dropped or ended.
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

    /// Returns the marks that are younger than `spread`, to tell peers.
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

    /// Forgets marks older than `age` whose id `known` does not know.
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
