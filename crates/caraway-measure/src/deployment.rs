//! [`Deployment`]: daemons and the stand-ins that they use, as threads of this process.

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

/// The client account of all requests.
pub(crate) const ACCOUNT: &str = "measure";

/// Running daemons with stand-ins for engines, services and the platform.
pub(crate) struct Deployment {
    /// The daemons, by their index.
    pub(crate) entries: Vec<Entry>,
    /// Stand-ins for engines.
    pub(crate) engines: Vec<Engine>,
    /// Stand-ins for replicas of the service `quotes`.
    pub(crate) services: Vec<Service>,
    /// Stand-in for the platform's log.
    pub(crate) log: LogService,
    /// Carries the log traffic of the daemons in the first zone, unless there is only one zone.
    pub(crate) relay: Relay,
    _relays: Relays,
    list: InstanceList,
}

/// Sizes and settings of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct DeploymentPlan {
    /// Number of daemons.
    pub(crate) entries: usize,
    /// Number of availability zones; daemons, engines and services are assigned to them in turn.
    pub(crate) zones: usize,
    /// Number of engines.
    pub(crate) engines: usize,
    /// Number of adapters, with one version each.
    pub(crate) adapters: usize,
    /// Settings of every engine; each gets its own id.
    pub(crate) engine: EngineSettings,
    /// Number of replicas of the service `quotes`.
    pub(crate) services: usize,
    /// The `times` object of the daemons' settings.
    pub(crate) times: Value,
}

impl Default for DeploymentPlan {
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
    /// Returns an error when a stand-in or daemon can't be started.
    pub(crate) fn start(plan: &DeploymentPlan) -> Result<Self> {
        let log = LogService::start(LogSettings::default())?;
        log.append(CONFIG_STREAM, &config_records(plan.adapters));
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
            deployment.start_entry(plan, i)?;
        }
        Ok(deployment)
    }

    /// Stops daemon `i` without a drain and starts it again on another port.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon can't be started.
    pub(crate) fn restart(&mut self, plan: &DeploymentPlan, i: usize) -> Result<()> {
        self.entries.remove(i).stop();
        self.start_entry(plan, i)
    }

    /// Returns the address of daemon `i`.
    ///
    /// # Panics
    ///
    /// Panics when there is no daemon `i`.
    pub(crate) fn addr(&self, i: usize) -> SocketAddr {
        self.entries[i].addr()
    }

    /// Stops the daemons and drops the stand-ins.
    pub(crate) fn stop(self) {
        for entry in self.entries {
            entry.stop();
        }
    }

    fn start_entry(&mut self, plan: &DeploymentPlan, i: usize) -> Result<()> {
        let text = self.entry_settings(plan, i).to_string();
        let settings = Settings::parse(&text).context("the generated settings are invalid")?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let entry = Entry::start(settings, logger)?;
        self.list.set(ListEntry {
            id: entry_id(i),
            role: Role::Entry,
            zone: zone_name(plan, i).into(),
            addr: entry.addr(),
            incarnation: 1,
            leaving: false,
        });
        self.entries.insert(i, entry);
        Ok(())
    }

    fn entry_settings(&self, plan: &DeploymentPlan, i: usize) -> Value {
        let engine = |(n, e): (usize, &Engine)| {
            json!({
                "id": format!("engine-{n}"), "kind": "engine", "zone": zone_name(plan, n),
                "addr": e.addr(), "slots": plan.engine.slots, "max_batch": plan.engine.max_batch,
                "checks_fencing": plan.engine.checks_fencing,
            })
        };
        let service = |(n, s): (usize, &Service)| {
            json!({
                "id": format!("quotes-{n}"), "kind": "service", "zone": zone_name(plan, n),
                "addr": s.addr(), "service": "quotes",
            })
        };
        let engines = self.engines.iter().enumerate().map(engine);
        let services = self.services.iter().enumerate().map(service);
        let endpoints: Vec<_> = engines.chain(services).collect();
        let uses_relay = plan.zones > 1 && i.is_multiple_of(plan.zones);
        let log = if uses_relay {
            self.relay.addr()
        } else {
            self.log.addr()
        };
        json!({
            "instance": &*entry_id(i),
            "zone": zone_name(plan, i),
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

/// Returns configuration records of the client account, a service and `adapters` adapters.
pub(crate) fn config_records(adapters: usize) -> Vec<Arc<str>> {
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

fn zone_name(plan: &DeploymentPlan, i: usize) -> String {
    format!("zone-{}", i % plan.zones)
}
