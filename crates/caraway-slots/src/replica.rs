//! [`Replica`]: the slots of one engine replica, as its holder knows them.

use std::{collections::BTreeMap, time::Duration, time::Instant};

use caraway_types::{AccountId, AdapterRef, Incarnation, LoadName};

use crate::{Load, LoadState};

/// A report younger than this may have been taken before an order took effect.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// A lagging report may still list an ended load for this long.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(10);

/// One load in a [`Snapshot`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The name under which the engine keeps it.
    pub name: LoadName,
    /// The adapter version.
    pub adapter: AdapterRef,
    /// Requests that run on it.
    pub running: u32,
}

/// What an engine reports of its slots, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rises when the engine restarts empty.
    pub incarnation: Incarnation,
    /// Adapter slots, zero when the engine does not say.
    pub slots: u32,
    /// The loads that it holds.
    pub loads: Vec<Seen>,
}

/// What a [`Snapshot`] changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Loads that became resident.
    pub resident: Vec<LoadName>,
    /// Loads that are gone, with their adapter version.
    pub gone: Vec<(LoadName, AdapterRef)>,
    /// Whether the engine restarted empty.
    pub restarted: bool,
}

/// The slots of one engine replica.
///
/// A slot is free only when nothing can be in it: a load whose order has no known outcome keeps
/// its slot until a later [`Snapshot`] settles it. A load with pins is never offered as a victim
/// and [`Self::evict`] refuses it.
#[derive(Clone, Debug)]
pub struct Replica {
    slots: u32,
    incarnation: Incarnation,
    loads: BTreeMap<LoadName, Load>,
    tombstones: BTreeMap<LoadName, Instant>,
}

impl Replica {
    /// Makes a replica of `slots` empty slots.
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

    /// Returns the number of slots that nothing can be in.
    #[must_use]
    pub fn free(&self) -> u32 {
        let taken = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
        self.slots.saturating_sub(taken)
    }

    /// Returns all loads that take a slot, by name.
    pub fn loads(&self) -> impl Iterator<Item = (&LoadName, &Load)> {
        self.loads.iter()
    }

    /// Returns a load by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Load> {
        self.loads.get(name)
    }

    /// Returns the resident load of an adapter version.
    #[must_use]
    pub fn resident(&self, adapter: &AdapterRef) -> Option<&LoadName> {
        self.find(adapter, |s| s == LoadState::Resident)
    }

    /// Returns the load of an adapter version that is resident, on its way or in doubt.
    #[must_use]
    pub fn expected(&self, adapter: &AdapterRef) -> Option<&LoadName> {
        self.find(adapter, |s| s != LoadState::Unloading)
    }

    fn find(&self, adapter: &AdapterRef, wanted: impl Fn(LoadState) -> bool) -> Option<&LoadName> {
        self.loads
            .iter()
            .find(|(_, l)| l.adapter == *adapter && wanted(l.state))
            .map(|(n, _)| n)
    }

    /// Returns the number of loads that an attempt runs on.
    #[must_use]
    pub fn pinned(&self) -> usize {
        self.loads.values().filter(|l| l.pins > 0).count()
    }

    /// Takes a free slot for a load that is about to be ordered; false when none is free.
    pub fn load(&mut self, now: Instant, name: LoadName, adapter: AdapterRef) -> bool {
        if self.free() == 0 || self.loads.contains_key(&name) {
            return false;
        }
        let load = Load {
            adapter,
            state: LoadState::Loading,
            pins: 0,
            foreign: 0,
            account: None,
            own: true,
            since: now,
            used: now,
        };
        self.loads.insert(name, load);
        true
    }

    /// Marks an idle load as being unloaded; false when it is pinned or not resident.
    pub fn evict(&mut self, now: Instant, name: &str) -> bool {
        match self.loads.get_mut(name) {
            Some(load) if load.is_idle() => {
                load.state = LoadState::Unloading;
                load.since = now;
                true
            }
            _ => false,
        }
    }

    /// Pins a resident load for an attempt of an account; false when it is not resident.
    pub fn pin(&mut self, now: Instant, name: &str, account: &AccountId) -> bool {
        match self.loads.get_mut(name) {
            Some(load) if load.state == LoadState::Resident => {
                load.pins += 1;
                load.account = Some(account.clone());
                load.used = now;
                true
            }
            _ => false,
        }
    }

    /// Ends the pin of an attempt.
    pub fn unpin(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loads.get_mut(name) {
            load.pins = load.pins.saturating_sub(1);
            load.used = now;
        }
    }

    /// Notes that an ordered load succeeded.
    pub fn loaded(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loads.get_mut(name)
            && matches!(load.state, LoadState::Loading | LoadState::InDoubt)
        {
            load.state = LoadState::Resident;
            load.since = now;
        }
    }

    /// Notes that the answer to an order under way was lost.
    pub fn doubt(&mut self, now: Instant, name: &str) {
        if let Some(load) = self.loads.get_mut(name)
            && matches!(load.state, LoadState::Loading | LoadState::Unloading)
        {
            load.state = LoadState::InDoubt;
            load.since = now;
        }
    }

    /// Frees the slot of a load that certainly is not on the engine.
    pub fn remove(&mut self, now: Instant, name: &str) -> Option<Load> {
        let (name, load) = self.loads.remove_entry(name)?;
        self.tombstones.insert(name, now);
        Some(load)
    }

    /// Forgets all loads, as a new holder does: the next [`Snapshot`] names them again.
    pub fn clear(&mut self) {
        self.loads.clear();
    }

    /// Tells whether an order has no known outcome or has not ended.
    #[must_use]
    pub fn has_orders(&self) -> bool {
        let ended = |l: &Load| l.state == LoadState::Resident || !l.own;
        !self.loads.values().all(ended)
    }

    /// Compares the slots with what the engine reports.
    ///
    /// Loads that this holder did not order take their slots as well; whether they may be used
    /// or evicted is for the caller to know.
    pub fn settle(&mut self, now: Instant, seen: &Snapshot) -> Changes {
        let mut changes = Changes::default();
        if seen.incarnation < self.incarnation {
            return changes;
        }
        if seen.slots > 0 {
            self.slots = seen.slots;
        }
        if seen.incarnation > self.incarnation {
            self.restart(seen, &mut changes);
        }
        self.settle_known(now, seen, &mut changes);
        self.tombstones
            .retain(|_, t| now.saturating_duration_since(*t) < TOMBSTONE_LIFE);
        self.find_foreign(now, seen, &mut changes);
        changes
    }

    fn restart(&mut self, seen: &Snapshot, changes: &mut Changes) {
        changes.restarted = self.incarnation > 0;
        self.incarnation = seen.incarnation;
        if !changes.restarted {
            return;
        }
        for (name, load) in std::mem::take(&mut self.loads) {
            changes.gone.push((name, load.adapter));
        }
    }

    fn settle_known(&mut self, now: Instant, seen: &Snapshot, changes: &mut Changes) {
        let mut gone = Vec::new();
        for (name, load) in &mut self.loads {
            let there = seen.loads.iter().find(|s| s.name == *name);
            if let Some(seen) = there.filter(|_| !load.own) {
                load.foreign = seen.running.saturating_sub(load.pins);
                if load.foreign > 0 {
                    load.used = now;
                }
            }
            let settled = now.saturating_duration_since(load.since) >= REPORT_LAG;
            match load.state {
                LoadState::InDoubt if there.is_some() && settled => {
                    load.state = LoadState::Resident;
                    load.since = now;
                    changes.resident.push(name.clone());
                }
                LoadState::InDoubt if there.is_none() && settled => gone.push(name.clone()),
                LoadState::Resident if there.is_none() && settled && load.pins == 0 => {
                    gone.push(name.clone());
                }
                _ => {}
            }
        }
        for name in gone {
            if let Some(load) = self.remove(now, &name) {
                changes.gone.push((name, load.adapter));
            }
        }
    }

    fn find_foreign(&mut self, now: Instant, seen: &Snapshot, changes: &mut Changes) {
        for s in &seen.loads {
            if self.loads.contains_key(&s.name) || self.tombstones.contains_key(&s.name) {
                continue;
            }
            let load = Load {
                adapter: s.adapter.clone(),
                state: LoadState::Resident,
                pins: 0,
                foreign: s.running,
                account: None,
                own: false,
                since: now,
                used: now,
            };
            self.loads.insert(s.name.clone(), load);
            changes.resident.push(s.name.clone());
        }
    }
}
