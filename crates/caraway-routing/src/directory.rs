//! [`Directory`]: what peers say of the replicas that they hold.

use std::collections::{BTreeMap, HashMap};

use caraway_types::{AdapterRef, EndpointId, InstanceId};
use serde::{Deserialize, Serialize};

/// An adapter version came to a replica or left it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The replica.
    pub endpoint: EndpointId,
    /// The adapter version.
    pub adapter: AdapterRef,
    /// Whether it came.
    pub gained: bool,
}

/// Changes of residency since a version of the sender's journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delta {
    /// The version that the changes start from; zero when they list everything.
    pub since: u64,
    /// The version that they lead to.
    pub version: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Changes of residency on the replicas that this instance holds, kept until each peer is told.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    peers: BTreeMap<InstanceId, Outbox>,
}

/// What a peer was not told yet.
#[derive(Clone, Debug, Default)]
struct Outbox {
    version: u64,
    pending: Vec<Change>,
}

/// What is resident where, as peers tell.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    versions: BTreeMap<InstanceId, u64>,
    residents: HashMap<AdapterRef, Vec<Location>>,
}

/// Where an adapter version is resident.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Who told.
    pub instance: InstanceId,
    /// The replica.
    pub endpoint: EndpointId,
}

/// Says that a delta does not follow the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Journal {
    /// Notes a change that a peer must be told.
    pub fn add(&mut self, peer: &InstanceId, change: &Change) {
        if let Some(outbox) = self.peers.get_mut(peer) {
            outbox.pending.push(change.clone());
        }
    }

    /// Tells whether a peer must be told something.
    #[must_use]
    pub fn is_behind(&self, peer: &InstanceId) -> bool {
        self.peers.get(peer).is_none_or(|o| !o.pending.is_empty())
    }

    /// Makes the next delta to a peer; `all` lists everything that it must know.
    pub fn delta(&mut self, peer: &InstanceId, all: impl FnOnce() -> Vec<Change>) -> Delta {
        if let Some(outbox) = self.peers.get_mut(peer) {
            let since = outbox.version;
            let changes = std::mem::take(&mut outbox.pending);
            outbox.version += u64::from(!changes.is_empty());
            return Delta {
                since,
                version: outbox.version,
                changes,
            };
        }
        let outbox = Outbox {
            version: 1,
            pending: Vec::new(),
        };
        self.peers.insert(peer.clone(), outbox);
        Delta {
            since: 0,
            version: 1,
            changes: all(),
        }
    }

    /// Makes the next delta to a peer list everything.
    pub fn resend(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }
}

impl Directory {
    /// Takes a peer's delta.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] when an earlier delta is missing; the peer must list everything.
    pub fn apply(&mut self, from: &InstanceId, delta: &Delta) -> Result<(), Gap> {
        let known = self.versions.get(from).copied().unwrap_or(0);
        if delta.since == 0 {
            self.forget(from);
        } else if known == 0 || delta.since > known {
            return Err(Gap);
        } else if delta.since < known {
            return Ok(());
        }
        self.versions.insert(from.clone(), delta.version);
        for change in &delta.changes {
            self.change(from, change);
        }
        Ok(())
    }

    /// Drops what a peer told.
    pub fn forget(&mut self, peer: &InstanceId) {
        self.versions.remove(peer);
        for locations in self.residents.values_mut() {
            locations.retain(|l| l.instance != *peer);
        }
        self.residents.retain(|_, l| !l.is_empty());
    }

    /// Returns where an adapter version is resident.
    #[must_use]
    pub fn find(&self, adapter: &AdapterRef) -> &[Location] {
        self.residents.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of adapter versions that are resident somewhere.
    #[must_use]
    pub fn len(&self) -> usize {
        self.residents.len()
    }

    /// Tells whether nothing is known to be resident.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.residents.is_empty()
    }

    fn change(&mut self, from: &InstanceId, change: &Change) {
        let locations = self.residents.entry(change.adapter.clone()).or_default();
        locations.retain(|l| l.endpoint != change.endpoint || l.instance != *from);
        if change.gained {
            locations.push(Location {
                instance: from.clone(),
                endpoint: change.endpoint.clone(),
            });
        }
        if locations.is_empty() {
            self.residents.remove(&change.adapter);
        }
    }
}
