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

use crate::{deployment::Deployment, records::records};

/// Records in one append request to the log.
const APPEND_RECORDS: usize = 500;
/// Delay after which a change of the list shows in its responses.
const LIST_LAG: Millis = Millis::new(500);
/// Timeout of one request to the log or to an entry instance.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Time limit until every instance has applied the published records.
const READY_LIMIT: Duration = Duration::from_mins(1);
/// Interval at which an instance is polled until it is ready.
const READY_POLL: Duration = Duration::from_millis(50);

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
    /// Membership list of entry instances and endpoints.
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
        let engine = |n| {
            Engine::start(EngineSettings {
                id: engine_id(n).into(),
                store: Some(Arc::clone(&store)),
                ..deployment.engine.clone()
            })
        };
        let service = |n| {
            Service::start(ServiceSettings {
                id: service_id(deployment, n).into(),
                ..ServiceSettings::default()
            })
        };
        let engines = (0..deployment.engines).map(engine);
        let services = (0..deployment.replicas).map(service);
        let list = ListSettings {
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
            list: InstanceList::start(list, Vec::new()).context("starting the membership list")?,
            store,
        };
        for n in 0..deployment.entries {
            let entry = fleet.start_entry(deployment, n)?;
            let id = entry_id(deployment, n);
            fleet.list_member(deployment, n, id, Role::Entry, entry.addr());
            fleet.addrs.push(entry.addr());
            fleet.entries.push(entry);
        }
        for (n, engine) in fleet.engines.iter().enumerate() {
            fleet.list_member(deployment, n, engine_id(n), Role::Engine, engine.addr());
        }
        for (n, service) in fleet.services.iter().enumerate() {
            let id = service_id(deployment, n);
            fleet.list_member(deployment, n, id, Role::Service, service.addr());
        }
        Ok(fleet)
    }

    fn start_entry(&self, deployment: &Deployment, n: usize) -> Result<Entry> {
        let settings = self.settings(deployment, n).to_string();
        let settings =
            Settings::parse(&settings).map_err(|f| anyhow!("invalid entry settings: {f}"))?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        Entry::start(settings, log).with_context(|| format!("starting {}", entry_id(deployment, n)))
    }

    /// Returns the settings of one entry instance as JSON.
    fn settings(&self, deployment: &Deployment, n: usize) -> Value {
        let engine = |(n, engine): (usize, &Engine)| {
            json!({
                "id": engine_id(n), "kind": "engine", "zone": zone(deployment, n),
                "addr": engine.addr(), "slots": deployment.engine.slots,
                "max_batch": deployment.engine.max_batch,
                "checks_fencing": deployment.engine.checks_fencing,
            })
        };
        let service = |(n, service): (usize, &Service)| {
            json!({
                "id": service_id(deployment, n), "kind": "service",
                "zone": zone(deployment, n), "addr": service.addr(),
                "service": deployment.service,
            })
        };
        let engines = self.engines.iter().enumerate().map(engine);
        let services = self.services.iter().enumerate().map(service);
        json!({
            "instance": entry_id(deployment, n),
            "zone": zone(deployment, n),
            "listen": "127.0.0.1:0",
            "log": self.log.addr(),
            "list": self.list.addr(),
            "store_rate": deployment.store.rate,
            "store_transit": deployment.store.transit_limit,
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

    fn list_member(
        &self,
        deployment: &Deployment,
        n: usize,
        id: String,
        role: Role,
        addr: SocketAddr,
    ) {
        self.list.set(ListEntry {
            id: id.into(),
            role,
            zone: zone(deployment, n).into(),
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
pub(crate) async fn open(
    deployment: &Deployment,
    log: SocketAddr,
    entries: &[SocketAddr],
) -> Result<()> {
    let http = HttpClient::new().await?;
    let client = LogClient::new(http.clone(), log, CALL_LIMIT);
    let records = records(deployment);
    for part in records.chunks(APPEND_RECORDS) {
        let appended = client.append(CONFIG_STREAM, part.to_vec()).await;
        appended.context("publishing the records")?;
    }
    let end = records.len() as u64;
    let start = Instant::now();
    for &entry in entries {
        while offset(&http, entry).await.is_none_or(|offset| offset < end) {
            if start.elapsed() > READY_LIMIT {
                bail!("{entry} did not apply the records within {READY_LIMIT:?}");
            }
            sleep(READY_POLL).await;
        }
    }
    Ok(())
}

/// Returns the offset up to which an instance has applied the log, or `None` if it does not answer.
pub(crate) async fn offset(http: &HttpClient, entry: SocketAddr) -> Option<u64> {
    let status: Value = http
        .get_json(entry, "/admin/status", CALL_LIMIT)
        .await
        .ok()?;
    status["offset"].as_u64()
}

/// Publishes one record and returns the offset that follows it.
///
/// # Errors
///
/// Returns the error of the log.
pub(crate) async fn publish(log: SocketAddr, record: Arc<str>) -> Result<u64> {
    let client = LogClient::new(HttpClient::new().await?, log, CALL_LIMIT);
    let appended = client.append(CONFIG_STREAM, vec![record]).await?;
    Ok(appended.next)
}

/// Returns the zone of the `n`th instance, engine or replica.
fn zone(deployment: &Deployment, n: usize) -> &'static str {
    deployment.zones[n % deployment.zones.len()]
}

/// Returns the id of an entry instance.
pub(crate) fn entry_id(deployment: &Deployment, n: usize) -> String {
    format!("{}-{}", deployment.name, n + 1)
}

/// Returns the id of an engine.
pub(crate) fn engine_id(n: usize) -> String {
    format!("engine-{}", n + 1)
}

/// Returns the id of a service replica.
fn service_id(deployment: &Deployment, n: usize) -> String {
    format!("{}-{}", deployment.service, n + 1)
}
