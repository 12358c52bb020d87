//! [`Fleet`] starts the stand-ins and entry instances of a deployment as threads of this process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, Result, anyhow, bail};
use caraway_entry::{Entry, Settings};
use caraway_standin::{
    Engine, EngineSettings, InstanceList, ListSettings, LogService, LogSettings, Service,
    ServiceSettings, Store,
};
use caraway_types::Millis;
use caraway_wire::{
    HttpClient, LogClient,
    list::{ListEntry, Role},
    log::CONFIG_STREAM,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{deployment::Deployment, records::config_records};

/// Records in one append request to the log.
const RECORDS_PER_APPEND: usize = 500;
/// Delay after which a change of the list shows in its responses.
const LIST_LAG: Millis = Millis::new(500);
/// Timeout of one request to the log or to an entry instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit until every instance has applied the published records.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which an instance is polled until it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running stand-ins and entry instances of a deployment.
#[derive(Debug)]
pub(crate) struct Fleet {
    /// Weight store that the engines load adapters from.
    pub(crate) store: Arc<Store>,
    /// Model engines, in order of their ids.
    pub(crate) engines: Vec<Engine>,
    /// Replicas of the service.
    pub(crate) services: Vec<Service>,
    /// Entry instances; the run removes the last one to stop it gracefully.
    pub(crate) entries: Vec<Entry>,
    log: LogService,
    /// Instance list, which names the entry instances and endpoints to each other.
    pub(crate) list: InstanceList,
    /// Addresses of all entry instances, also of those removed from `entries`.
    addrs: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the stand-ins and the entry instances.
    ///
    /// # Errors
    ///
    /// Returns the error of the first component that does not start.
    pub(crate) fn start(deployment: &Deployment) -> Result<Self> {
        let store = Store::new(deployment.store.clone());
        let engine = |index| {
            Engine::start(EngineSettings {
                id: engine_id(index).into(),
                store: Some(Arc::clone(&store)),
                ..deployment.engine.clone()
            })
        };
        let service = |index| {
            Service::start(ServiceSettings {
                id: service_id(deployment, index).into(),
                ..ServiceSettings::default()
            })
        };
        let engines = (0..deployment.engine_count).map(engine);
        let services = (0..deployment.replica_count).map(service);
        let list_settings = ListSettings {
            lag: LIST_LAG,
            ..ListSettings::default()
        };
        let mut fleet = Self {
            engines: engines
                .collect::<Result<_, _>>()
                .context("starting the engines")?,
            services: services
                .collect::<Result<_, _>>()
                .context("starting the service replicas")?,
            entries: Vec::new(),
            addrs: Vec::new(),
            log: LogService::start(LogSettings::default()).context("starting the log")?,
            list: InstanceList::start(list_settings, Vec::new())
                .context("starting the instance list")?,
            store,
        };
        for index in 0..deployment.entry_count {
            let entry = fleet.start_entry(deployment, index)?;
            let id = entry_id(deployment, index);
            fleet.add_to_list(deployment, index, id, Role::Entry, entry.addr());
            fleet.addrs.push(entry.addr());
            fleet.entries.push(entry);
        }
        for (index, engine) in fleet.engines.iter().enumerate() {
            fleet.add_to_list(
                deployment,
                index,
                engine_id(index),
                Role::Engine,
                engine.addr(),
            );
        }
        for (index, service) in fleet.services.iter().enumerate() {
            let id = service_id(deployment, index);
            fleet.add_to_list(deployment, index, id, Role::Service, service.addr());
        }
        Ok(fleet)
    }

    fn start_entry(&self, deployment: &Deployment, index: usize) -> Result<Entry> {
        let settings = self.entry_settings(deployment, index).to_string();
        let settings = Settings::parse(&settings)
            .map_err(|error| anyhow!("invalid entry settings: {error}"))?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        Entry::start(settings, log)
            .with_context(|| format!("starting {}", entry_id(deployment, index)))
    }

    /// Returns the settings of one entry instance as JSON.
    fn entry_settings(&self, deployment: &Deployment, index: usize) -> Value {
        let engine = |(index, engine): (usize, &Engine)| {
            json!({
                "id": engine_id(index), "kind": "engine", "zone": zone(deployment, index),
                "addr": engine.addr(), "slots": deployment.engine.slots,
                "max_batch": deployment.engine.max_batch,
                "checks_fencing": deployment.engine.checks_fencing,
            })
        };
        let service = |(index, service): (usize, &Service)| {
            json!({
                "id": service_id(deployment, index), "kind": "service",
                "zone": zone(deployment, index), "addr": service.addr(),
                "service": deployment.service,
            })
        };
        let engines = self.engines.iter().enumerate().map(engine);
        let services = self.services.iter().enumerate().map(service);
        json!({
            "instance": entry_id(deployment, index),
            "zone": zone(deployment, index),
            "listen": "127.0.0.1:0",
            "log": self.log.addr(),
            "list": self.list.addr(),
            "store_rate": deployment.store.rate,
            "store_transit": deployment.store.transit_limit,
            // Maximum number of live instances; each may use an equal share of `store_transit`.
            "instances": 8,
            "endpoints": engines.chain(services).collect::<Vec<_>>(),
        })
    }

    /// Stops the entry instances before the stand-ins, which stop when they are dropped.
    pub(crate) fn stop(self) {
        self.entries.into_iter().for_each(Entry::stop);
    }

    /// Returns the addresses of all entry instances, also of a stopped one.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.addrs.clone()
    }

    fn add_to_list(
        &self,
        deployment: &Deployment,
        index: usize,
        id: String,
        role: Role,
        addr: SocketAddr,
    ) {
        self.list.set(ListEntry {
            id: id.into(),
            role,
            zone: zone(deployment, index).into(),
            addr,
            incarnation: 1,
            leaving: false,
        });
    }

    /// Returns the address of the log.
    pub(crate) fn log_addr(&self) -> SocketAddr {
        self.log.addr()
    }
}

/// Publishes the records of a deployment and waits until every instance has applied them.
///
/// # Errors
///
/// Returns the error of the log, or an error that names the instance that is not ready in time.
pub(crate) async fn publish_and_wait(
    deployment: &Deployment,
    log: SocketAddr,
    entry_addrs: &[SocketAddr],
) -> Result<()> {
    let http = HttpClient::new().await?;
    let client = LogClient::new(http.clone(), log, CALL_TIMEOUT);
    let records = config_records(deployment);
    for batch in records.chunks(RECORDS_PER_APPEND) {
        let appended = client.append(CONFIG_STREAM, batch.to_vec()).await;
        appended.context("publishing the records")?;
    }
    let end_offset = records.len() as u64;
    let start = Instant::now();
    for &addr in entry_addrs {
        while applied_offset(&http, addr)
            .await
            .is_none_or(|offset| offset < end_offset)
        {
            if start.elapsed() > READY_TIMEOUT {
                bail!("{addr} did not apply the records within {READY_TIMEOUT:?}");
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Returns the offset up to which an instance has applied the log, or `None` if it does not answer.
pub(crate) async fn applied_offset(http: &HttpClient, addr: SocketAddr) -> Option<u64> {
    let status: Value = http
        .get_json(addr, "/admin/status", CALL_TIMEOUT)
        .await
        .ok()?;
    status["offset"].as_u64()
}

/// Publishes one record and returns the offset that follows it.
///
/// # Errors
///
/// Returns the error of the log.
pub(crate) async fn publish_record(log: SocketAddr, record: Arc<str>) -> Result<u64> {
    let client = LogClient::new(HttpClient::new().await?, log, CALL_TIMEOUT);
    let appended = client.append(CONFIG_STREAM, vec![record]).await?;
    Ok(appended.next)
}

/// Returns the zone of the `index`th instance, engine or replica.
fn zone(deployment: &Deployment, index: usize) -> &'static str {
    deployment.zones[index % deployment.zones.len()]
}

/// Returns the id of an entry instance.
pub(crate) fn entry_id(deployment: &Deployment, index: usize) -> String {
    format!("{}-{}", deployment.name, index + 1)
}

/// Returns the id of an engine.
pub(crate) fn engine_id(index: usize) -> String {
    format!("engine-{}", index + 1)
}

/// Returns the id of a service replica.
fn service_id(deployment: &Deployment, index: usize) -> String {
    format!("{}-{}", deployment.service, index + 1)
}
