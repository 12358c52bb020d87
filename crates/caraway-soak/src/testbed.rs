//! [`Testbed`]: the store, the endpoints and the gateways of a run; applies faults to them.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use caraway_platform_standin::{
    Behavior, Engine, EngineSpec, Ledger, OrderHandling, PlainEndpoint, Proxy, ProxyMode,
    RateRecorder, Senders, SignalLog, Store, StoreCopy, StoreMode, configuration, held_models,
    registry_entry,
};
use nix::sys::signal::Signal;
use tokio::sync::watch;

use crate::{
    Fault, Plan,
    accounts::Accounts,
    gateway::{Gateway, GatewayFiles},
};

/// Number of adapter slots of an engine.
const ADAPTER_SLOTS: usize = 4;

/// The segment of prompts that crashes engines.
pub(crate) const DEADLY_SEGMENT: u64 = 0xdead;

/// Time between the events of streams: long enough for some to break off between two.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Sets up an engine that has started with this software version.
fn set_up(engine: &Engine, software: u32) {
    engine.set_deadly_segments(&[DEADLY_SEGMENT]);
    engine.set_software(&software_name(software));
    engine.set_event_interval(EVENT_INTERVAL);
}

/// Returns the name of a software version.
fn software_name(number: u32) -> String {
    format!("v{number}")
}

/// An endpoint that gateways reach through a proxy.
#[derive(Debug)]
struct Endpoint {
    id: String,
    zone: String,
    proxy: Proxy,
    /// Number of starts, written to the registry entry.
    incarnation: u64,
    /// Number of its software version.
    software: u32,
    backend: Backend,
}

/// The stand-in behind the proxy of an endpoint.
#[derive(Debug)]
enum Backend {
    Engine(Engine),
    Plain(PlainEndpoint),
}

impl Endpoint {
    fn arrivals(&self) -> &RateRecorder {
        match &self.backend {
            Backend::Engine(engine) => engine.arrivals(),
            Backend::Plain(plain_endpoint) => plain_endpoint.arrivals(),
        }
    }

    fn signals(&self) -> &SignalLog {
        match &self.backend {
            Backend::Engine(engine) => engine.signals(),
            Backend::Plain(plain_endpoint) => plain_endpoint.signals(),
        }
    }
}

/// The store, the endpoints and the gateways of a run.
#[derive(Debug)]
pub(crate) struct Testbed {
    pub(crate) ledger: Ledger,
    pub(crate) gateways: Vec<Gateway>,
    store: Store,
    /// The copy from which the store will return.
    store_copy: Option<StoreCopy>,
    /// The proxy between each gateway and the store.
    store_proxies: Vec<Proxy>,
    /// All engines, by zone, and then the endpoint without engine of each zone.
    endpoints: Vec<Endpoint>,
    /// The gateways that faults disturbed, with the start and end of each disturbance.
    disturbances: Vec<(usize, Instant, Instant)>,
    /// When the store, or the way of a gateway to it, was disturbed.
    store_disturbances: Vec<(Option<usize>, Instant, Instant)>,
    /// When engines crashed because of prompts.
    crashes: Vec<Instant>,
    /// Whether callers send deadly prompts.
    pub(crate) deadly_prompts: Rc<Cell<bool>>,
    /// Version of the newest configuration.
    version: u64,
    /// The client accounts; `None` if requests need no keys.
    pub(crate) accounts: Option<Accounts>,
    /// Names of the routes that faults and the end of the run have added.
    extra_routes: Vec<String>,
    /// For each gateway, whether it is restarted as soon as it has exited.
    pub(crate) keep_running: Vec<bool>,
}

impl Testbed {
    /// Starts the store, the endpoints and the gateways; the gateways' files are in `files`.
    pub(crate) async fn start(plan: &Plan, files: &GatewayFiles) -> Result<Self> {
        let ledger = Ledger::default();
        let store = Store::default();
        let addr = store.start().await.context("can't start the store")?;
        let names: Vec<String> = (0..plan.zones).map(|z| format!("z{z}")).collect();
        let zones: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut testbed = Self {
            ledger,
            gateways: Vec::new(),
            store,
            store_copy: None,
            store_proxies: Vec::new(),
            endpoints: Vec::new(),
            disturbances: Vec::new(),
            store_disturbances: Vec::new(),
            crashes: Vec::new(),
            deadly_prompts: Rc::default(),
            version: 0,
            accounts: plan.has_accounts.then(Accounts::default),
            extra_routes: Vec::new(),
            keep_running: Vec::new(),
        };
        for zone in &zones {
            for number in 0..plan.engines {
                let spec = EngineSpec {
                    id: format!("e-{zone}-{number}").into(),
                    model: "base".into(),
                    adapter_slots: ADAPTER_SLOTS,
                };
                let id = spec.id.to_string();
                let engine = Engine::new(spec, testbed.ledger.clone());
                set_up(&engine, 1);
                let addr = engine.start().await.context("can't start an engine")?;
                testbed
                    .add(&id, zone, addr, Backend::Engine(engine))
                    .await?;
            }
        }
        for zone in &zones {
            let id = format!("d-{zone}");
            let plain_endpoint = PlainEndpoint::new(&id, testbed.ledger.clone());
            let addr = plain_endpoint
                .start()
                .await
                .context("can't start an endpoint without engine")?;
            testbed
                .add(&id, zone, addr, Backend::Plain(plain_endpoint))
                .await?;
        }
        testbed.publish_configuration(None);
        for zone in &zones {
            for number in 0..plan.instances {
                let proxy = Proxy::start(addr).await.context("can't start a proxy")?;
                let name = format!("gate-{zone}-{number}");
                let is_limited = number % 2 == 1;
                // Which half of the instances runs which build depends on the seed.
                let build = number + usize::from(plan.seed.is_multiple_of(2));
                let store = proxy.addr();
                let gateway = Gateway::start(files, &name, zone, &zones, store, is_limited, build)?;
                testbed.store_proxies.push(proxy);
                testbed.gateways.push(gateway);
                testbed.keep_running.push(true);
            }
        }
        Ok(testbed)
    }

    /// Starts a proxy for an endpoint and registers the endpoint at the proxy's address.
    async fn add(
        &mut self,
        id: &str,
        zone: &str,
        addr: SocketAddr,
        backend: Backend,
    ) -> Result<()> {
        let endpoint = Endpoint {
            id: id.to_owned(),
            zone: zone.to_owned(),
            proxy: Proxy::start(addr).await.context("can't start a proxy")?,
            incarnation: 1,
            software: 1,
            backend,
        };
        self.register(&endpoint);
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Publishes the registry entry of an endpoint; a restarted engine lists no models.
    fn register(&self, endpoint: &Endpoint) {
        let (service, models) = match &endpoint.backend {
            Backend::Plain(_) => ("desk", None),
            Backend::Engine(engine) => ("lm", Some(held_models(engine.has_weights()))),
        };
        let addr = endpoint.proxy.addr();
        let mut entry = registry_entry(service, &endpoint.zone, addr, endpoint.incarnation, models);
        entry["Version"] = software_name(endpoint.software).into();
        self.store.publish_endpoint(&endpoint.id, &entry);
    }

    /// Returns the numbers of crashes of the engines, with the numbers of the endpoints.
    pub(crate) fn engine_crashes(&self) -> Vec<(usize, watch::Receiver<u64>)> {
        let endpoints = self.endpoints.iter().enumerate();
        let crashes = endpoints.filter_map(|(number, endpoint)| match &endpoint.backend {
            Backend::Engine(engine) => Some((number, engine.crashes())),
            Backend::Plain(_) => None,
        });
        crashes.collect()
    }

    /// Registers an engine that a prompt has crashed as a new incarnation.
    pub(crate) fn on_crash(&mut self, number: usize) {
        self.crashes.push(Instant::now());
        self.endpoints[number].incarnation += 1;
        self.register(&self.endpoints[number]);
    }

    /// Publishes the newest configuration and all registry entries again.
    fn rewrite(&mut self) {
        self.write_configuration();
        for endpoint in &self.endpoints {
            self.register(endpoint);
        }
    }

    /// Publishes a configuration with all routes so far and, if given, the route `route`.
    pub(crate) fn publish_configuration(&mut self, route: Option<&str>) {
        self.version += 1;
        self.extra_routes.extend(route.map(str::to_owned));
        self.write_configuration();
    }

    /// Publishes a configuration that replaces a key and changes a quota.
    pub(crate) fn change_accounts(&mut self, route: Option<&str>) {
        if let Some(accounts) = &mut self.accounts {
            accounts.change();
        }
        self.publish_configuration(route);
    }

    fn write_configuration(&mut self) {
        let mut configuration = configuration(self.version, ADAPTER_SLOTS, &self.extra_routes);
        if let Some(accounts) = &mut self.accounts {
            configuration["Tenants"] = accounts.document();
        }
        self.store.publish_configuration(&configuration);
    }

    /// Starts a fault.
    pub(crate) fn start_fault(&mut self, fault: Fault, lasts: Duration) {
        match fault {
            Fault::Kill(number) | Fault::Pause(number) => {
                self.disturb(number, lasts + SETTLE_TIME);
            }
            Fault::Stop(number) | Fault::Replace(number) => {
                self.disturb(number, STOP_TIME + SETTLE_TIME);
            }
            Fault::Store(_) | Fault::StoreWay(..) | Fault::StoreReturn | Fault::StoreRewrite => {
                let gateway = match fault {
                    Fault::StoreWay(number, _) => Some(number),
                    _ => None,
                };
                let now = Instant::now();
                let end = now + lasts + SETTLE_TIME;
                self.store_disturbances.push((gateway, now, end));
            }
            Fault::EndpointWay(..) => {
                for number in 0..self.gateways.len() {
                    self.disturb(number, lasts + SETTLE_TIME);
                }
            }
            _ => {}
        }
        match fault {
            Fault::Kill(number) => {
                self.keep_running[number] = false;
                self.gateways[number].signal(Signal::SIGKILL);
            }
            Fault::Pause(number) => self.gateways[number].signal(Signal::SIGSTOP),
            Fault::Stop(number) => self.gateways[number].signal(Signal::SIGTERM),
            Fault::Replace(number) => {
                self.gateways[number].change_build();
                self.gateways[number].signal(Signal::SIGTERM);
            }
            Fault::Reload(number) => self.gateways[number].signal(Signal::SIGHUP),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::StoreWay(number, mode) => self.store_proxies[number].set_mode(mode),
            Fault::EndpointWay(number, mode) => self.endpoints[number].proxy.set_mode(mode),
            Fault::Restart(number) => self.restart_endpoint(number),
            Fault::LateOrders(number, delay) => {
                self.set_order_handling(number, OrderHandling::LateUnanswered(delay));
            }
            Fault::LostAnswers(number) => self.set_behavior(number, Behavior::DropResponse),
            Fault::Limit(number, limit) => {
                let limit = limit.to_string();
                self.endpoints[number].arrivals().set_limit(Some(&limit));
            }
            Fault::Draining(number) => match &self.endpoints[number].backend {
                Backend::Engine(engine) => engine.set_draining(),
                Backend::Plain(endpoint) => endpoint.set_behavior(Behavior::RespondDraining),
            },
            Fault::AskForPause(number, pause) => {
                self.set_behavior(number, Behavior::RefuseFor(pause));
            }
            Fault::DeadlyPrompts => self.deadly_prompts.set(true),
            Fault::StoreReturn => self.store_copy = Some(self.store.copy()),
            Fault::StoreRewrite => self.rewrite(),
            Fault::Accounts => self.change_accounts(None),
            Fault::Release(number, software) => {
                self.endpoints[number].software = software;
                self.restart_endpoint(number);
            }
            Fault::Configuration => {
                let name = format!("more{}", self.version);
                self.publish_configuration(Some(&name));
            }
        }
    }

    /// Ends a fault; has no effect on faults that have no duration.
    pub(crate) fn end_fault(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Kill(number) => {
                self.keep_running[number] = true;
                self.gateways[number].ensure_running()?;
            }
            Fault::Pause(number) => self.gateways[number].signal(Signal::SIGCONT),
            Fault::Store(_) => self.store.set_mode(StoreMode::Up),
            Fault::StoreWay(number, _) => self.store_proxies[number].set_mode(ProxyMode::Pass),
            Fault::EndpointWay(number, _) => self.endpoints[number].proxy.set_mode(ProxyMode::Pass),
            Fault::LateOrders(number, _) => {
                self.set_order_handling(number, OrderHandling::Immediate);
            }
            Fault::LostAnswers(number) | Fault::AskForPause(number, _) => {
                self.set_behavior(number, Behavior::Respond);
            }
            Fault::Limit(number, _) => self.endpoints[number].arrivals().set_limit(None),
            Fault::Draining(number) => self.restart_endpoint(number),
            Fault::DeadlyPrompts => self.deadly_prompts.set(false),
            Fault::StoreReturn => {
                if let Some(copy) = self.store_copy.take() {
                    self.store.restore(copy);
                }
            }
            Fault::Stop(_)
            | Fault::Replace(_)
            | Fault::StoreRewrite
            | Fault::Accounts
            | Fault::Reload(_)
            | Fault::Restart(_)
            | Fault::Release(..)
            | Fault::Configuration => {}
        }
        Ok(())
    }

    /// Ends every fault.
    pub(crate) fn end_all_faults(&mut self) -> Result<()> {
        self.store.set_mode(StoreMode::Up);
        self.deadly_prompts.set(false);
        for proxy in &self.store_proxies {
            proxy.set_mode(ProxyMode::Pass);
        }
        for endpoint in &self.endpoints {
            endpoint.proxy.set_mode(ProxyMode::Pass);
            endpoint.arrivals().set_limit(None);
            match &endpoint.backend {
                Backend::Engine(engine) => engine.set_order_handling(OrderHandling::Immediate),
                Backend::Plain(plain_endpoint) => plain_endpoint.set_behavior(Behavior::Respond),
            }
        }
        for gateway in &mut self.gateways {
            gateway.signal(Signal::SIGCONT);
        }
        self.keep_running.fill(true);
        self.restart_exited()
    }

    /// Restarts gateways that have exited, as a platform does, except those that a fault keeps
    /// down.
    pub(crate) fn restart_exited(&mut self) -> Result<()> {
        for (gateway, keep_running) in self.gateways.iter_mut().zip(&self.keep_running) {
            if *keep_running {
                gateway.ensure_running()?;
            }
        }
        Ok(())
    }

    /// Gives every other engine another software version, and the rest the first one.
    pub(crate) fn release_half_of_engines(&mut self) {
        for number in 0..self.engine_count() {
            let software = 1 + u32::from(number % 2 == 1);
            if self.endpoints[number].software != software {
                self.start_fault(Fault::Release(number, software), Duration::ZERO);
            }
        }
    }

    /// Restarts an engine; `number` counts over and over all engines.
    pub(crate) fn restart_engine(&mut self, number: usize) {
        self.restart_endpoint(number % self.engine_count());
    }

    fn engine_count(&self) -> usize {
        let is_engine = |e: &&Endpoint| matches!(e.backend, Backend::Engine(_));
        self.endpoints.iter().filter(is_engine).count()
    }

    /// Starts a new incarnation of an endpoint.
    fn restart_endpoint(&mut self, number: usize) {
        let endpoint = &mut self.endpoints[number];
        endpoint.incarnation += 1;
        match &endpoint.backend {
            Backend::Engine(engine) => {
                engine.restart();
                set_up(engine, endpoint.software);
            }
            Backend::Plain(plain_endpoint) => {
                plain_endpoint.signals().restart();
                plain_endpoint.set_behavior(Behavior::Respond);
            }
        }
        self.register(&self.endpoints[number]);
    }

    /// Records that a fault disturbs a gateway for this time from now on.
    fn disturb(&mut self, gateway: usize, time: Duration) {
        let now = Instant::now();
        self.disturbances.push((gateway, now, now + time));
    }

    /// Returns whether a gateway was disturbed in this time.
    pub(crate) fn is_disturbed(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let mut all = self.disturbances.iter();
        all.any(|(number, start, end)| *number == gateway && *start < to && from < *end)
    }

    /// Returns when the bound on deadly prompts applies to a gateway's requests sent at `at`: when the
    /// gateway and the store were not disturbed for [`CONTACT_TIME`] before.
    fn is_in_touch(&self, gateway: usize, at: Instant) -> bool {
        let from = at.checked_sub(CONTACT_TIME).unwrap_or(at);
        let mut store = self.store_disturbances.iter();
        let is_store_disturbed = store.any(|(number, start, end)| {
            number.is_none_or(|n| n == gateway) && *start < at && from < *end
        });
        !is_store_disturbed && !self.is_disturbed(gateway, from, at)
    }

    /// Returns a violation if too many of these deadly prompts, each with the number of its gateway
    /// and the time when it was sent, ran after the fifth crash.
    pub(crate) fn deadly_violation(&self, runs: &[(usize, Instant)]) -> Option<String> {
        let bound_from = *self.crashes.get(BOUND_CRASHES - 1)? + CONTACT_TIME;
        let late = runs.iter().filter(|(gateway, sent_at)| {
            *sent_at > bound_from && self.is_in_touch(*gateway, *sent_at)
        });
        let late = late.count();
        (late > MAX_LATE_RUNS).then(|| {
            format!(
                "BUDGET: {late} deadly prompts ran after the fifth of {} crashes",
                self.crashes.len()
            )
        })
    }

    /// Returns a violation for each request that an endpoint got although it drained or had asked
    /// for a pause.
    pub(crate) fn signal_violations(&self, senders: &impl Senders) -> Vec<String> {
        let violations = self.endpoints.iter().flat_map(|e| {
            let violations = e.signals().violations(senders).into_iter();
            violations.map(|violation| format!("{violation} ({})", e.id))
        });
        violations.collect()
    }

    /// Returns a violation for each limit beyond which an endpoint got requests.
    pub(crate) fn limit_violations(&self) -> Vec<String> {
        let violations = self.endpoints.iter().flat_map(|e| {
            let excesses = e.arrivals().excesses().into_iter();
            excesses.map(|excess| format!("LIMIT: {}: {excess}", e.id))
        });
        violations.collect()
    }

    /// Sets how an engine handles orders; has no effect on an endpoint without engine.
    fn set_order_handling(&self, number: usize, handling: OrderHandling) {
        if let Backend::Engine(engine) = &self.endpoints[number].backend {
            engine.set_order_handling(handling);
        }
    }

    /// Sets how an endpoint without engine responds; `number` counts only such endpoints.
    fn set_behavior(&self, number: usize, behavior: Behavior) {
        let mut plain_endpoints = self.endpoints.iter().filter_map(|e| match &e.backend {
            Backend::Plain(plain_endpoint) => Some(plain_endpoint),
            Backend::Engine(_) => None,
        });
        if let Some(plain_endpoint) = plain_endpoints.nth(number) {
            plain_endpoint.set_behavior(behavior);
        }
    }
}

/// Time for which nothing must have been disturbed for a bound to apply.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes by one segment after which few requests with it may reach engines.
const BOUND_CRASHES: usize = 5;
/// Number of requests that may do so.
const MAX_LATE_RUNS: usize = 3;
/// Time after a disturbance within which a gateway may still act on what it knew before.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Longest time that a gateway takes to stop.
const STOP_TIME: Duration = Duration::from_secs(8);
/// Interval at which exited gateways are restarted; platforms take about as long.
pub(crate) const RESTART_INTERVAL: Duration = Duration::from_millis(200);
