//! [`FleetSettings`]: which stand-ins to start.

use std::{collections::BTreeSet, sync::Arc};

use caraway_types::{Findings, ZoneId};
use caraway_wire::list::ListEntry;
use serde::{Deserialize, Serialize};

use super::{CONTROL, EngineSettings, LIST, LOG, STORE};
use crate::{ListSettings, LogSettings, ServiceSettings, StoreSettings};

/// The stand-ins of one deployment; ports of zero are chosen by the operating system.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Port of the control server.
    pub control_port: u16,
    /// The weight store.
    pub store: StoreSettings,
    /// The log.
    pub log: LogSettings,
    /// The list.
    pub list: ListSettings,
    /// Members of the list besides the engines and services.
    pub members: Vec<ListEntry>,
    /// The engines.
    pub engines: Vec<ListedEngine>,
    /// The plain services.
    pub services: Vec<ListedService>,
    /// The relays.
    pub relays: Vec<RelaySettings>,
}

/// An engine and where it stands.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ListedEngine {
    /// Its availability zone.
    pub zone: ZoneId,
    /// How it behaves.
    pub engine: EngineSettings,
}

/// A service replica and where it stands.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ListedService {
    /// Its availability zone.
    pub zone: ZoneId,
    /// How it behaves.
    pub service: ServiceSettings,
}

/// A relay.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySettings {
    /// The relay's id.
    pub id: Arc<str>,
    /// Id of a stand-in, or an address.
    pub target: Arc<str>,
    /// Port of the relay.
    pub port: u16,
}

impl FleetSettings {
    /// Checks that every id is given and unique.
    ///
    /// # Errors
    ///
    /// Returns every id that is not.
    pub fn check(self) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut used = BTreeSet::from([LOG, LIST, STORE, CONTROL]);
        for (pointer, id) in self.ids() {
            if id.is_empty() {
                findings.add(pointer, "an id is missing");
            } else if !used.insert(id) {
                findings.add(pointer, format!("the id {id} is taken"));
            }
        }
        findings.into_result(()).map(|()| self)
    }

    /// Returns every id with its place.
    fn ids(&self) -> Vec<(String, &str)> {
        let engines = self.engines.iter().map(|e| &*e.engine.id).enumerate();
        let services = self.services.iter().map(|s| &*s.service.id).enumerate();
        let relays = self.relays.iter().map(|r| &*r.id).enumerate();
        let engines = engines.map(|(n, id)| (format!("/engines/{n}/engine/id"), id));
        let services = services.map(|(n, id)| (format!("/services/{n}/service/id"), id));
        let relays = relays.map(|(n, id)| (format!("/relays/{n}/id"), id));
        engines.chain(services).chain(relays).collect()
    }
}
