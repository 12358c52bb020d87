//! [`FleetSettings`]: the settings file, which describes the stand-ins to start.

use std::{collections::BTreeSet, sync::Arc};

use caraway_types::{Findings, ZoneId};
use caraway_wire::list::ListEntry;
use serde::{Deserialize, Serialize};

use super::{CONTROL_ID, EngineSettings, LIST_ID, LOG_ID, STORE_ID};
use crate::{ListSettings, LogSettings, ServiceSettings, StoreSettings};

/// The stand-ins to start; a port of zero lets the operating system choose.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetSettings {
    /// Control port.
    pub control_port: u16,
    /// The weight store.
    pub store: StoreSettings,
    /// The log.
    pub log: LogSettings,
    /// The instance list.
    pub list: ListSettings,
    /// Initial members of the instance list besides the engines and services, which are added.
    pub members: Vec<ListEntry>,
    /// The engines.
    pub engines: Vec<ListedEngine>,
    /// The plain services.
    pub services: Vec<ListedService>,
    /// The relays.
    pub relays: Vec<RelaySettings>,
}

/// An engine to start and enter in the instance list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ListedEngine {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its settings.
    pub engine: EngineSettings,
}

/// A service replica to start and enter in the instance list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ListedService {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its settings.
    pub service: ServiceSettings,
}

/// A relay to start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelaySettings {
    /// The relay's id.
    pub id: Arc<str>,
    /// Where it relays to: the id of a stand-in, `log`, `list` or an address.
    pub target: Arc<str>,
    /// Port on which the relay listens.
    pub port: u16,
}

impl FleetSettings {
    /// Checks that every id is present and unique.
    ///
    /// # Errors
    ///
    /// Returns a finding for every id that is missing, duplicate or reserved.
    pub fn check(self) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut used = BTreeSet::from([LOG_ID, LIST_ID, STORE_ID, CONTROL_ID]);
        for (pointer, id) in self.ids() {
            if id.is_empty() {
                findings.add(pointer, "an id is missing");
            } else if !used.insert(id) {
                findings.add(pointer, format!("the id {id} is taken"));
            }
        }
        findings.into_result(()).map(|()| self)
    }

    /// Returns every id with its JSON pointer in the settings.
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
