//! Residency of adapter versions: [`Outbox`] sends this instance's changes to its peers,
//! [`Directory`] keeps what peers report.

use std::collections::{BTreeMap, HashMap};

use caraway_types::{AdapterRef, EndpointId, InstanceId};
use serde::{Deserialize, Serialize};

/// An adapter version that became resident on a replica or was unloaded from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The replica.
    pub endpoint: EndpointId,
    /// The adapter version.
    pub adapter: AdapterRef,
    /// True if it became resident, false if it was unloaded.
    pub gained: bool,
}

/// Changes of residency between two versions of what the sender has reported to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Delta {
    /// Version to which the changes apply; zero if they list everything that is resident.
    pub since: u64,
    /// Version after the changes.
    pub version: u64,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// Queues changes of residency on the replicas that this instance holds, separately for each peer,
/// until they are sent.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Peers without a queue get a full listing next.
    peers: BTreeMap<InstanceId, PeerQueue>,
}

/// Changes that were not sent to a peer yet.
#[derive(Clone, Debug, Default)]
struct PeerQueue {
    /// Version of the last delta that was sent.
    version: u64,
    pending: Vec<Change>,
}

/// Where adapter versions are resident, as reported by peers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Version of the last delta that was applied, by peer.
    versions: BTreeMap<InstanceId, u64>,
    residents: HashMap<AdapterRef, Vec<Location>>,
}

/// A replica on which an adapter version is resident.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The instance that reported it.
    pub instance: InstanceId,
    /// The replica.
    pub endpoint: EndpointId,
}

/// Error: a delta starts from a later version than the last one that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap;

impl Outbox {
    /// Queues a change for a peer, unless the peer gets a full listing next.
    pub fn push(&mut self, peer: &InstanceId, change: &Change) {
        if let Some(queue) = self.peers.get_mut(peer) {
            queue.pending.push(change.clone());
        }
    }

    /// Returns whether changes or a full listing must be sent to a peer.
    #[must_use]
    pub fn has_changes(&self, peer: &InstanceId) -> bool {
        self.peers.get(peer).is_none_or(|o| !o.pending.is_empty())
    }

    /// Creates the next delta to send to a peer: its queued changes, or all that `all` returns if
    /// it needs a full listing.
    pub fn next_delta(&mut self, peer: &InstanceId, all: impl FnOnce() -> Vec<Change>) -> Delta {
        if let Some(queue) = self.peers.get_mut(peer) {
            let since = queue.version;
            let changes = std::mem::take(&mut queue.pending);
            queue.version += u64::from(!changes.is_empty());
            return Delta {
                since,
                version: queue.version,
                changes,
            };
        }
        let queue = PeerQueue {
            version: 1,
            pending: Vec::new(),
        };
        self.peers.insert(peer.clone(), queue);
        Delta {
            since: 0,
            version: 1,
            changes: all(),
        }
    }

    /// Makes the next delta to a peer a full listing.
    pub fn send_full_next(&mut self, peer: &InstanceId) {
        self.peers.remove(peer);
    }
}

impl Directory {
    /// Applies a delta from a peer. A delta that was already applied is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`Gap`] if an earlier delta is missing; the peer must send a full listing.
    pub fn apply(&mut self, from: &InstanceId, delta: &Delta) -> Result<(), Gap> {
        let applied = self.versions.get(from).copied().unwrap_or(0);
        if delta.since == 0 {
            self.forget(from);
        } else if applied == 0 || delta.since > applied {
            return Err(Gap);
        } else if delta.since < applied {
            return Ok(());
        }
        self.versions.insert(from.clone(), delta.version);
        for change in &delta.changes {
            self.apply_change(from, change);
        }
        Ok(())
    }

    /// Drops everything that a peer reported.
    pub fn forget(&mut self, peer: &InstanceId) {
        self.versions.remove(peer);
        for locations in self.residents.values_mut() {
            locations.retain(|l| l.instance != *peer);
        }
        self.residents.retain(|_, l| !l.is_empty());
    }

    /// Returns the replicas of peers on which an adapter version is resident.
    #[must_use]
    pub fn find(&self, adapter: &AdapterRef) -> &[Location] {
        self.residents.get(adapter).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of adapter versions that are resident on any peer's replica.
    #[must_use]
    pub fn len(&self) -> usize {
        self.residents.len()
    }

    /// Returns whether no adapter version is known to be resident.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.residents.is_empty()
    }

    fn apply_change(&mut self, from: &InstanceId, change: &Change) {
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
