//! [`Fleet`]: all stand-ins of one settings file, with a control port.

mod control;
mod settings;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Weak},
};

use caraway_wire::list::{ListEntry, Role};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    Engine, EngineSettings, InstanceList, LogService, Relay, Relays, Service, Store,
    server_thread::ServerThread,
};

pub use control::{FaultRequest, ListChange};
pub use settings::{FleetSettings, ListedEngine, ListedService, RelaySettings};

/// Name of the control port among the addresses.
pub(crate) const CONTROL_ID: &str = "control";
/// Target name of the log on the control port.
pub(crate) const LOG_ID: &str = "log";
/// Target name of the instance list on the control port.
pub(crate) const LIST_ID: &str = "list";
/// Target name of the weight store on the control port.
pub(crate) const STORE_ID: &str = "store";

/// Running stand-ins with their control port; dropping it stops them.
#[derive(Debug)]
pub struct Fleet {
    components: Arc<Components>,
    control: ServerThread,
}

/// The running stand-ins of a fleet.
#[derive(Debug)]
pub struct Components {
    /// The engines by id.
    pub engines: BTreeMap<Arc<str>, Engine>,
    /// The plain services by id.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The relays by id.
    pub relays: BTreeMap<Arc<str>, Relay>,
    /// The log.
    pub log: LogService,
    /// The instance list.
    pub list: InstanceList,
    /// The weight store that all engines share.
    pub store: Arc<Store>,
    /// Runs the relays.
    relay_thread: Relays,
}

impl Fleet {
    /// Starts the stand-ins that the settings describe, and the control port.
    ///
    /// # Errors
    ///
    /// Returns the error of the first server that does not start, or an error for a relay whose
    /// target is neither the id of a stand-in nor an address.
    pub fn start(settings: FleetSettings) -> io::Result<Self> {
        let port = settings.control_port;
        let components = Arc::new(Components::start(settings)?);
        let no_task = |_| std::future::ready(());
        let shared: Arc<Weak<Components>> = Arc::new(Arc::downgrade(&components));
        let control = ServerThread::start("control", port, shared, control::add_routes, no_task)?;
        Ok(Self {
            components,
            control,
        })
    }

    /// Returns the running stand-ins.
    #[must_use]
    pub fn components(&self) -> &Components {
        &self.components
    }

    /// Returns the address of the control port.
    #[must_use]
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// Returns the addresses by id, with `log`, `list` and `control` for those without an id.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<Arc<str>, SocketAddr> {
        let mut all = self.components.addresses();
        all.insert(CONTROL_ID.into(), self.control_addr());
        all
    }
}

impl Components {
    fn start(settings: FleetSettings) -> io::Result<Self> {
        let store = Store::new(settings.store);
        let mut members = settings.members;
        let mut engines = BTreeMap::new();
        for ListedEngine { zone, mut engine } in settings.engines {
            engine.store = Some(Arc::clone(&store));
            let id = Arc::clone(&engine.id);
            let started = Engine::start(engine)?;
            members.push(list_entry(&id, Role::Engine, &zone, started.addr()));
            engines.insert(id, started);
        }
        let mut services = BTreeMap::new();
        for ListedService { zone, service } in settings.services {
            let id = Arc::clone(&service.id);
            let started = Service::start(service)?;
            members.push(list_entry(&id, Role::Service, &zone, started.addr()));
            services.insert(id, started);
        }
        let mut components = Self {
            engines,
            services,
            relays: BTreeMap::new(),
            log: LogService::start(settings.log)?,
            list: InstanceList::start(settings.list, members)?,
            store,
            relay_thread: Relays::start()?,
        };
        components.add_relays(settings.relays)?;
        Ok(components)
    }

    fn add_relays(&mut self, relays: Vec<RelaySettings>) -> io::Result<()> {
        let addresses = self.addresses();
        for relay in relays {
            let target = addresses.get(&relay.target).copied();
            let target = target.or_else(|| relay.target.parse().ok());
            let unknown = || {
                io::Error::other(format!(
                    "relay {}: the target is neither the id of a stand-in nor an address",
                    relay.id
                ))
            };
            let target = target.ok_or_else(unknown)?;
            let started = self.relay_thread.add(target, relay.port)?;
            self.relays.insert(relay.id, started);
        }
        Ok(())
    }

    fn addresses(&self) -> BTreeMap<Arc<str>, SocketAddr> {
        let mut all = BTreeMap::new();
        all.extend(self.engines.iter().map(|(id, e)| (id.clone(), e.addr())));
        all.extend(self.services.iter().map(|(id, s)| (id.clone(), s.addr())));
        all.extend(self.relays.iter().map(|(id, r)| (id.clone(), r.addr())));
        all.insert(LOG_ID.into(), self.log.addr());
        all.insert(LIST_ID.into(), self.list.addr());
        all
    }

    /// Replaces the faults of a target.
    ///
    /// # Errors
    ///
    /// Fails if the target is unknown or the faults do not parse; the text starts with the JSON
    /// pointer of the problem.
    pub(crate) fn set_faults(&self, request: FaultRequest) -> Result<(), Arc<str>> {
        let FaultRequest { target, faults } = request;
        if let Some(engine) = self.engines.get(&target) {
            engine.set_faults(parse_faults(faults)?);
        } else if let Some(service) = self.services.get(&target) {
            service.set_faults(parse_faults(faults)?);
        } else if let Some(relay) = self.relays.get(&target) {
            relay.set_faults(parse_faults(faults)?);
        } else {
            match &*target {
                LOG_ID => self.log.set_faults(parse_faults(faults)?),
                LIST_ID => self.list.set_faults(parse_faults(faults)?),
                STORE_ID => self.store.set_faults(parse_faults(faults)?),
                _ => return Err("/target: unknown".into()),
            }
        }
        Ok(())
    }

    /// Returns the ledger of a target as JSON, or `None` if the target is unknown or has none.
    pub(crate) fn ledger(&self, target: &str) -> Option<Value> {
        if let Some(engine) = self.engines.get(target) {
            return serde_json::to_value(engine.ledger()).ok();
        }
        if let Some(service) = self.services.get(target) {
            return serde_json::to_value(service.ledger()).ok();
        }
        match target {
            STORE_ID => serde_json::to_value(self.store.ledger()).ok(),
            _ => None,
        }
    }
}

/// Returns the entry of an endpoint for the instance list.
fn list_entry(id: &Arc<str>, role: Role, zone: &Arc<str>, addr: SocketAddr) -> ListEntry {
    ListEntry {
        id: Arc::clone(id),
        role,
        zone: Arc::clone(zone),
        addr,
        incarnation: 1,
        leaving: false,
    }
}

fn parse_faults<T: DeserializeOwned>(faults: Value) -> Result<T, Arc<str>> {
    serde_json::from_value(faults).map_err(|e| format!("/faults: {e}").into())
}
