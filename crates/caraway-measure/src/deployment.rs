//! [`Deployment`]: daemons as threads of this process before stand-ins, for measurements.

use std::{net::SocketAddr, sync::Arc};

use anyhow::{Context, Result};
use caraway_entry::{Entry, Settings};
use caraway_standin::{
    Engine, EngineSettings, InstanceList, ListSettings, LogService, LogSettings, Relay, Relays,
    Service, ServiceSettings,
};
use caraway_types::Millis;
use caraway_wire::{
    list::{ListEntry, Role},
    log::CONFIG_STREAM,
};
use serde_json::{Value, json};

/// The client account that measurements use.
pub(crate) const ACCOUNT: &str = "measure";

/// Daemons before stand-ins.
pub(crate) struct Deployment {
    /// The daemons.
    pub(crate) entries: Vec<Entry>,
    /// The engines.
    pub(crate) engines: Vec<Engine>,
    /// Replicas of the plain service `quotes`.
    pub(crate) services: Vec<Service>,
    /// The platform's log.
    pub(crate) log: LogService,
    /// Through which the instances of the first of several zones reach the log.
    pub(crate) relay: Relay,
    _relays: Relays,
    list: InstanceList,
}

/// What to start.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Entry instances.
    pub(crate) entries: usize,
    /// Availability zones, over which entries and engines are spread in turn.
    pub(crate) zones: usize,
    /// Engines.
    pub(crate) engines: usize,
    /// Adapters with one version each.
    pub(crate) adapters: usize,
    /// How the engines behave.
    pub(crate) engine: EngineSettings,
    /// Replicas of the plain service `quotes`.
    pub(crate) services: usize,
    /// Times of the daemons.
    pub(crate) times: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 1,
            zones: 1,
            engines: 1,
            adapters: 4,
            engine: EngineSettings {
                step_us: 200,
                fill_us: 5,
                prefill_us: 0,
                max_batch: 64,
                max_waiting: 1024,
                report_lag: Millis::new(50),
                ..EngineSettings::default()
            },
            services: 0,
            times: json!({}),
        }
    }
}

impl Deployment {
    /// Starts the stand-ins, publishes the records and starts the daemons.
    ///
    /// # Errors
    ///
    /// Returns an error when something can't be started.
    pub(crate) fn start(plan: &Plan) -> Result<Self> {
        let log = LogService::start(LogSettings::default())?;
        log.append(CONFIG_STREAM, &records(plan.adapters));
        let relays = Relays::start()?;
        let relay = relays.add(log.addr(), 0)?;
        let list = InstanceList::start(ListSettings::default(), Vec::new())?;
        let engine = |i: usize| {
            let id = format!("engine-{i}").into();
            Engine::start(EngineSettings {
                id,
                ..plan.engine.clone()
            })
        };
        let engines = (0..plan.engines).map(engine).collect::<Result<_, _>>()?;
        let service = |i: usize| {
            let id = format!("quotes-{i}").into();
            Service::start(ServiceSettings {
                id,
                ..ServiceSettings::default()
            })
        };
        let services = (0..plan.services).map(service);
        let services = services.collect::<Result<_, _>>()?;
        let mut deployment = Self {
            entries: Vec::new(),
            engines,
            services,
            log,
            relay,
            _relays: relays,
            list,
        };
        for i in 0..plan.entries {
            deployment.add(plan, i)?;
        }
        Ok(deployment)
    }

    /// Stops daemon `i` at once and starts it anew on another port.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon can't be started.
    pub(crate) fn restart(&mut self, plan: &Plan, i: usize) -> Result<()> {
        self.entries.remove(i).stop();
        self.add(plan, i)
    }

    /// Returns the address of daemon `i`.
    pub(crate) fn addr(&self, i: usize) -> SocketAddr {
        self.entries[i].addr()
    }

    /// Stops everything.
    pub(crate) fn stop(self) {
        for entry in self.entries {
            entry.stop();
        }
    }

    fn add(&mut self, plan: &Plan, i: usize) -> Result<()> {
        let text = self.settings(plan, i).to_string();
        let settings = Settings::parse(&text).context("the settings don't pass their check")?;
        let drop_all = slog::Logger::root(slog::Discard, slog::o!());
        let entry = Entry::start(settings, drop_all)?;
        self.list.set(ListEntry {
            id: entry_id(i),
            role: Role::Entry,
            zone: zone(plan, i).into(),
            addr: entry.addr(),
            incarnation: 1,
            leaving: false,
        });
        self.entries.insert(i, entry);
        Ok(())
    }

    fn settings(&self, plan: &Plan, i: usize) -> Value {
        let engine = |(n, e): (usize, &Engine)| {
            json!({
                "id": format!("engine-{n}"), "kind": "engine", "zone": zone(plan, n),
                "addr": e.addr(), "slots": plan.engine.slots, "max_batch": plan.engine.max_batch,
                "checks_fencing": plan.engine.checks_fencing,
            })
        };
        let service = |(n, s): (usize, &Service)| {
            json!({
                "id": format!("quotes-{n}"), "kind": "service", "zone": zone(plan, n),
                "addr": s.addr(), "service": "quotes",
            })
        };
        let engines = self.engines.iter().enumerate().map(engine);
        let services = self.services.iter().enumerate().map(service);
        let endpoints: Vec<_> = engines.chain(services).collect();
        let relayed = plan.zones > 1 && i.is_multiple_of(plan.zones);
        let log = if relayed {
            self.relay.addr()
        } else {
            self.log.addr()
        };
        json!({
            "instance": &*entry_id(i),
            "zone": zone(plan, i),
            "listen": "127.0.0.1:0",
            "log": log,
            "list": self.list.addr(),
            "store_rate": 1000.0,
            "store_transit": 100,
            "instances": 8,
            "endpoints": endpoints,
            "times": plan.times,
        })
    }
}

/// Writes the records of a client account and of `adapters` adapters.
pub(crate) fn records(adapters: usize) -> Vec<Arc<str>> {
    let account = json!({ "rate": 1_000_000.0, "burst": 1_000_000, "max_queued": 100_000 });
    let mut records = vec![record("account", ACCOUNT, &account)];
    records.push(record("service", "quotes", &json!({})));
    for i in 0..adapters {
        let version = format!("adapter-{i}@v1");
        records.push(record("adapter_version", &version, &json!({})));
        let body = json!({ "version": "v1" });
        records.push(record("adapter", &format!("adapter-{i}"), &body));
    }
    records
}

fn record(kind: &str, key: &str, body: &Value) -> Arc<str> {
    let id = format!("{kind}-{key}-1");
    json!({ "schema": 1, "kind": kind, "key": key, "base": null, "id": id, "body": body })
        .to_string()
        .into()
}

fn entry_id(i: usize) -> Arc<str> {
    format!("entry-{i}").into()
}

fn zone(plan: &Plan, i: usize) -> String {
    format!("zone-{}", i % plan.zones)
}
