//! [`Replica`]: the slots of one engine replica, as known to its holder.

use std::{collections::BTreeMap, time::Duration, time::Instant};

use caraway_types::{AccountId, AdapterRef, Incarnation, LoadName};

use crate::{Load, LoadState};

/// Maximum age of a report. Until this long after a change, a report may predate the change.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Time in which a delayed report may still list a load after its removal.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(10);

/// One load in a [`SlotReport`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotLoad {
    /// Name under which the engine serves the load.
    pub name: LoadName,
    /// Adapter version of the load.
    pub adapter: AdapterRef,
    /// Number of requests that run on it.
    pub running: u32,
}

/// Report of an engine on its slots; it may be a few seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotReport {
    /// Number that increases each time the engine restarts without loads.
    pub incarnation: Incarnation,
    /// Number of adapter slots; zero if the engine does not report it.
    pub slots: u32,
    /// Loads in the engine's slots.
    pub loads: Vec<SlotLoad>,
}

/// Changes that a [`SlotReport`] caused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportChanges {
    /// Loads that became resident.
    pub resident: Vec<LoadName>,
    /// Loads that were removed, with their adapter versions.
    pub removed: Vec<(LoadName, AdapterRef)>,
    /// Whether the engine restarted without loads.
    pub restarted: bool,
}

/// The slots of one engine replica.
///
/// A slot counts as free only if it is certainly empty: a load whose order has an unknown outcome
/// occupies its slot until a later [`SlotReport`] shows the effect. A load with pins is not idle,
/// and [`Self::start_unload`] refuses it.
#[derive(Clone, Debug)]
pub struct Replica {
    slots: u32,
    incarnation: Incarnation,
    loads: BTreeMap<LoadName, Load>,
    /// Removed loads with the time of their removal, which delayed reports may still list.
    tombstones: BTreeMap<LoadName, Instant>,
}

impl Replica {
    /// Creates a replica with `slots` empty slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            incarnation: 0,
            loads: BTreeMap::new(),
            tombstones: BTreeMap::new(),
        }
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of slots that are certainly empty.
    #[must_use]
    pub fn free(&self) -> u32 {
        let occupied = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
        self.slots.saturating_sub(occupied)
    }

    /// Returns all loads that occupy a slot, sorted by name.
    pub fn loads(&self) -> impl Iterator<Item = (&LoadName, &Load)> {
        self.loads.iter()
    }

    /// Returns the load with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Load> {
        self.loads.get(name)
    }

    /// Returns the name of the resident load of an adapter version.
    #[must_use]
    pub fn resident(&self, adapter: &AdapterRef) -> Option<&LoadName> {
        self.find(adapter, |s| s == LoadState::Resident)
    }

    /// Returns the name of a load of an adapter version that is resident, loading or in doubt.
    #[must_use]
    pub fn expected(&self, adapter: &AdapterRef) -> Option<&LoadName> {
        self.find(adapter, |s| s != LoadState::Unloading)
    }

    fn find(&self, adapter: &AdapterRef, matches: impl Fn(LoadState) -> bool) -> Option<&LoadName> {
        self.loads
            .iter()
            .find(|(_, l)| l.adapter == *adapter && matches(l.state))
            .map(|(n, _)| n)
    }

    /// Returns the number of loads that attempts of this holder run on.
    #[must_use]
    pub fn pinned_count(&self) -> usize {
        self.loads.values().filter(|l| l.pins > 0).count()
    }

    /// Occupies a free slot for a load that is about to be ordered. Returns false if no slot is
    /// free or the name is in use.
    pub fn start_load(&mut self, now: Instant, name: LoadName, adapter: AdapterRef) -> bool {
        if self.free() == 0 || self.loads.contains_key(&name) {
            return false;
        }
        let load = Load {
            adapter,
            state: LoadState::Loading,
            pins: 0,
            foreign_requests: 0,
            account: None,
            ordered_here: true,
            since: now,
            last_used: now,
        };
        self.loads.insert(name, load);
        true
    }

    /// Marks an idle load as unloading. Returns false if it is in use or not resident.
    pub fn start_unload(&mut self, now: Instant, name: &str) -> bool {
        match self.loads.get_mut(name) {
            Some(load) if load.is_idle() => {
                load.state = LoadState::Unloading;
                load.since = now;
                true
            }
            _ => false,
        }
    }

    /// Pins a resident load for an attempt of an account, which prevents its eviction. Returns
    /// false if the load is not resident.
    pub fn pin(&mut self, now: Instant, name: &str, account: &AccountId) -> bool {
        match self.loads.get_mut(name) {
            Some(load) if load.state == LoadState::Resident => {
                load.pins += 1;
                load.account = Some(account.clone());
                load.last_used = now;
                true
            }
            _ => false,
        }
    }

    /// Removes the pin of an attempt that ended.
    pub fn unpin(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loads.get_mut(name) {
            load.pins = load.pins.saturating_sub(1);
            load.last_used = now;
        }
    }

    /// Marks an ordered load as resident.
    pub fn mark_resident(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loads.get_mut(name)
            && matches!(load.state, LoadState::Loading | LoadState::InDoubt)
        {
            load.state = LoadState::Resident;
            load.since = now;
        }
    }

    /// Marks a load as in doubt after the answer to its load or unload order was lost.
    pub fn mark_in_doubt(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loads.get_mut(name)
            && matches!(load.state, LoadState::Loading | LoadState::Unloading)
        {
            load.state = LoadState::InDoubt;
            load.since = now;
        }
    }

    /// Frees the slot of a load that is certainly not on the engine, and returns the load.
    pub fn remove(&mut self, now: Instant, name: &str) -> Option<Load> {
        let (name, load) = self.loads.remove_entry(name)?;
        self.tombstones.insert(name, now);
        Some(load)
    }

    /// Forgets all loads, as a new holder does; the next [`SlotReport`] lists them again.
    pub fn clear(&mut self) {
        self.loads.clear();
    }

    /// Returns whether an order of this holder is pending or has an unknown outcome.
    #[must_use]
    pub fn has_pending_orders(&self) -> bool {
        let is_done = |l: &Load| l.state == LoadState::Resident || !l.ordered_here;
        !self.loads.values().all(is_done)
    }

    /// Updates the slots from a report of the engine.
    ///
    /// Loads that this holder did not order occupy slots as well; the caller decides whether they
    /// may be used or evicted.
    pub fn apply_report(&mut self, now: Instant, report: &SlotReport) -> ReportChanges {
        let mut changes = ReportChanges::default();
        if report.incarnation < self.incarnation {
            return changes;
        }
        if report.slots > 0 {
            self.slots = report.slots;
        }
        if report.incarnation > self.incarnation {
            self.apply_restart(report, &mut changes);
        }
        self.update_known(now, report, &mut changes);
        self.tombstones
            .retain(|_, t| now.saturating_duration_since(*t) < TOMBSTONE_LIFETIME);
        self.add_unknown(now, report, &mut changes);
        changes
    }

    fn apply_restart(&mut self, report: &SlotReport, changes: &mut ReportChanges) {
        changes.restarted = self.incarnation > 0;
        self.incarnation = report.incarnation;
        if !changes.restarted {
            return;
        }
        for (name, load) in std::mem::take(&mut self.loads) {
            changes.removed.push((name, load.adapter));
        }
    }

    fn update_known(&mut self, now: Instant, report: &SlotReport, changes: &mut ReportChanges) {
        let mut removed = Vec::new();
        for (name, load) in &mut self.loads {
            let listed = report.loads.iter().find(|s| s.name == *name);
            if let Some(reported) = listed.filter(|_| !load.ordered_here) {
                load.foreign_requests = reported.running.saturating_sub(load.pins);
                if load.foreign_requests > 0 {
                    load.last_used = now;
                }
            }
            let is_conclusive = now.saturating_duration_since(load.since) >= MAX_REPORT_AGE;
            match load.state {
                LoadState::InDoubt if listed.is_some() && is_conclusive => {
                    load.state = LoadState::Resident;
                    load.since = now;
                    changes.resident.push(name.clone());
                }
                LoadState::InDoubt if listed.is_none() && is_conclusive => {
                    removed.push(name.clone());
                }
                LoadState::Resident if listed.is_none() && is_conclusive && load.pins == 0 => {
                    removed.push(name.clone());
                }
                _ => {}
            }
        }
        for name in removed {
            if let Some(load) = self.remove(now, &name) {
                changes.removed.push((name, load.adapter));
            }
        }
    }

    fn add_unknown(&mut self, now: Instant, report: &SlotReport, changes: &mut ReportChanges) {
        for reported in &report.loads {
            if self.loads.contains_key(&reported.name)
                || self.tombstones.contains_key(&reported.name)
            {
                continue;
            }
            let load = Load {
                adapter: reported.adapter.clone(),
                state: LoadState::Resident,
                pins: 0,
                foreign_requests: reported.running,
                account: None,
                ordered_here: false,
                since: now,
                last_used: now,
            };
            self.loads.insert(reported.name.clone(), load);
            changes.resident.push(reported.name.clone());
        }
    }
}
