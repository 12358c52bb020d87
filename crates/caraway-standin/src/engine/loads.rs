//! [`Loads`]: the adapter slots of an engine.

use std::{collections::BTreeMap, sync::Arc};

use caraway_types::{AdapterRef, LoadName};
use caraway_wire::engine::Resident;
use tokio::sync::watch;

/// Whether a load is complete, as its waiters see it; a closed channel says that it failed.
pub(crate) type LoadProgress = watch::Receiver<bool>;

/// The loads in the slots.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    by_name: BTreeMap<LoadName, Load>,
    last_serial: u64,
}

/// One taken slot.
#[derive(Debug)]
struct Load {
    adapter: AdapterRef,
    serial: u64,
    ready: watch::Sender<bool>,
}

impl Loads {
    /// Returns the adapter version of a complete load.
    pub(crate) fn resident(&self, name: &str) -> Option<AdapterRef> {
        let load = self.by_name.get(name)?;
        load.ready.borrow().then(|| load.adapter.clone())
    }

    /// Returns the adapter version and the progress of a load.
    pub(crate) fn get(&self, name: &str) -> Option<(AdapterRef, LoadProgress)> {
        let load = self.by_name.get(name)?;
        Some((load.adapter.clone(), load.ready.subscribe()))
    }

    /// Returns how many slots are taken.
    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Takes a slot for a load in transit and returns its serial number and progress.
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

    /// Completes a load in transit, or frees its slot if it failed.
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

    /// Frees the slot of a load.
    pub(crate) fn remove(&mut self, name: &str) -> bool {
        self.by_name.remove(name).is_some()
    }

    /// Lists the complete loads with the number of runs that `running` finds on each.
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
