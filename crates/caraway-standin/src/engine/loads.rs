//! [`Loads`]: the loads that occupy the adapter slots of an engine.

use std::{collections::BTreeMap, sync::Arc};

use caraway_types::{AdapterRef, LoadName};
use caraway_wire::engine::Resident;
use tokio::sync::watch;

/// Receives `true` when a load completes; the channel closes if the load fails or is removed.
pub(crate) type LoadProgress = watch::Receiver<bool>;

/// The loads by name; each occupies one slot, from its start on.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    by_name: BTreeMap<LoadName, Load>,
    /// Serial number of the newest load.
    last_serial: u64,
}

/// A load that occupies a slot.
#[derive(Debug)]
struct Load {
    adapter: AdapterRef,
    /// Distinguishes successive loads of the same name.
    serial: u64,
    /// Whether the load is complete; its requests wait for the change.
    ready: watch::Sender<bool>,
}

impl Loads {
    /// Returns the adapter version of a load, if the load is complete.
    pub(crate) fn resident(&self, name: &str) -> Option<AdapterRef> {
        let load = self.by_name.get(name)?;
        load.ready.borrow().then(|| load.adapter.clone())
    }

    /// Returns the adapter version of a load, complete or not, and a receiver for its completion.
    pub(crate) fn get(&self, name: &str) -> Option<(AdapterRef, LoadProgress)> {
        let load = self.by_name.get(name)?;
        Some((load.adapter.clone(), load.ready.subscribe()))
    }

    /// Returns the number of occupied slots.
    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Occupies a slot with a load that is not complete yet; returns its serial number and a
    /// receiver for its completion.
    pub(crate) fn begin(&mut self, name: LoadName, adapter: AdapterRef) -> (u64, LoadProgress) {
        self.last_serial += 1;
        let (ready, progress) = watch::channel(false);
        let load = Load {
            adapter,
            serial: self.last_serial,
            ready,
        };
        self.by_name.insert(name, load);
        (self.last_serial, progress)
    }

    /// Marks a load as complete, or frees its slot if it failed.
    ///
    /// Does nothing if the load was removed or replaced, which the serial number shows.
    pub(crate) fn end(&mut self, name: &str, serial: u64, complete: bool) {
        let Some(load) = self.by_name.get(name).filter(|l| l.serial == serial) else {
            return;
        };
        if complete {
            load.ready.send_replace(true);
        } else {
            self.by_name.remove(name);
        }
    }

    /// Frees the slot of a load; returns whether there was such a load.
    pub(crate) fn remove(&mut self, name: &str) -> bool {
        self.by_name.remove(name).is_some()
    }

    /// Returns the complete loads, each with the number of runs that `running` returns for it.
    pub(crate) fn residents(&self, running: impl Fn(&str) -> u32) -> Vec<Resident> {
        let complete = self.by_name.iter().filter(|(_, l)| *l.ready.borrow());
        let resident = |(name, load): (&LoadName, &Load)| Resident {
            lora_name: Arc::clone(name),
            lora_path: load.adapter.clone(),
            running: running(name),
        };
        complete.map(resident).collect()
    }
}
