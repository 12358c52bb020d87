//! Test harness: a stand-in of the platform on its own thread, and gateway processes that use it.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use caraway_platform_standin::{
    Addresses, Behavior, Engine, EngineSpec, Ledger, PlainEndpoint, Proxy, Store, free_addrs,
    held_models, limit_resources, registry_entry, settings,
};
use serde_json::{Value, json};
use tokio::{
    sync::{mpsc as requests, watch},
    task::LocalSet,
};

/// Timeout of every wait in these tests. It only ends a hanging test and asserts no latency.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Version of the configuration with which the platform starts.
pub(crate) const FIRST_VERSION: u64 = 3;

/// The parts of the platform, which tests inspect and change.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) store: Store,
    /// The proxy between the store and the gateways that are started with
    /// [`Platform::store_proxy_addr`].
    pub(crate) store_proxy: Proxy,
    pub(crate) engine: Engine,
    pub(crate) engine_addr: SocketAddr,
    /// The two engines of the service `lab`; a crashed one registers again.
    pub(crate) lab: [Engine; 2],
    /// The engines of the service `mixed`: two of version v1, then two of v2.
    pub(crate) mixed: [Engine; 4],
    /// The two endpoints of the service `pair`; both answer requests.
    pub(crate) pair: [PlainEndpoint; 2],
    pair_addrs: Vec<SocketAddr>,
    mixed_addrs: Vec<SocketAddr>,
    /// The proxies in front of the endpoints; empty unless the platform was started with them.
    pub(crate) proxies: Vec<Proxy>,
}

type PartsAction = Box<dyn FnOnce(&Parts) + Send>;

/// A stand-in of the platform on its own thread: a store, an engine, and plain endpoints. `desk` and
/// `pair` answer, and `lab` has two engines; of `flaky`, one endpoint runs requests and closes the connection, the other
/// refuses them as not run.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) ledger: Ledger,
    /// Address of the store.
    pub(crate) store_addr: SocketAddr,
    /// Address of the proxy in front of the store.
    pub(crate) store_proxy_addr: SocketAddr,
    actions: requests::UnboundedSender<PartsAction>,
}

impl Platform {
    /// Starts the platform with a configuration and its endpoints registered.
    pub(crate) fn start() -> Self {
        Self::start_with(false)
    }

    /// As [`Self::start`], with a proxy in front of each endpoint that tells gateways apart.
    pub(crate) fn start_proxied() -> Self {
        Self::start_with(true)
    }

    fn start_with(is_proxied: bool) -> Self {
        let (actions, mut receiver) = requests::unbounded_channel::<PartsAction>();
        let (sender, result) = mpsc::channel();
        let ledger = Ledger::default();
        let platform_ledger = ledger.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                let (parts, store_addr) = start_parts(platform_ledger, is_proxied).await;
                sender
                    .send((store_addr, parts.store_proxy.addr()))
                    .expect("the test waits");
                while let Some(action) = receiver.recv().await {
                    action(&parts);
                }
            });
        });
        let (store_addr, store_proxy_addr) = result.recv().expect("the platform starts");
        Self {
            ledger,
            store_addr,
            store_proxy_addr,
            actions,
        }
    }

    /// Runs `action` with the parts on the platform's thread and returns its result.
    pub(crate) fn with_parts<T: Send + 'static>(
        &self,
        action: impl FnOnce(&Parts) -> T + Send + 'static,
    ) -> T {
        let (sender, result) = mpsc::channel();
        let action: PartsAction =
            Box::new(move |parts| sender.send(action(parts)).expect("the test waits"));
        self.actions.send(action).expect("the platform runs");
        result.recv().expect("the platform acts")
    }

    /// Returns the registry entry of an endpoint of the service `pair` in its ready state.
    pub(crate) fn pair_entry(&self, number: usize) -> Value {
        self.with_parts(move |parts| {
            registry_entry("pair", "z1", parts.pair_addrs[number], 1, None)
        })
    }

    /// Removes the registry entry of an engine of the service `mixed`, as when it has left.
    pub(crate) fn remove_mixed(&self, number: usize) {
        self.with_parts(move |parts| parts.store.remove("keyed.servers", MIXED_IDS[number]));
    }

    /// Registers an engine of the service `mixed` again.
    pub(crate) fn add_mixed(&self, number: usize) {
        self.with_parts(move |parts| {
            let entry = mixed_entry(parts.mixed_addrs[number], number);
            parts
                .store
                .publish("keyed.servers", MIXED_IDS[number], &entry);
        });
    }

    /// Registers an engine of the service `mixed` as one that has restarted with another version.
    pub(crate) fn replace_mixed(&self, number: usize, software: &'static str) {
        self.with_parts(move |parts| {
            let mut entry = registry_entry(
                "mixed",
                "z1",
                parts.mixed_addrs[number],
                2,
                Some(held_models(true)),
            );
            entry["Version"] = json!(software);
            parts
                .store
                .publish("keyed.servers", MIXED_IDS[number], &entry);
        });
    }

    /// Publishes a record to the store, as an operator or an endpoint does.
    pub(crate) fn publish(&self, topic: &'static str, key: &'static str, value: Value) {
        self.with_parts(move |parts| parts.store.publish(topic, key, &value));
    }
}

/// Starts the platform's parts and registers its endpoints; returns them with the address of the
/// store.
async fn start_parts(ledger: Ledger, is_proxied: bool) -> (Parts, SocketAddr) {
    let mut proxies = Vec::new();
    let store = Store::default();
    let addr = store.start().await.expect("an address");
    store.publish("keyed.op", "config", &configuration(FIRST_VERSION, &[]));
    let spec = EngineSpec {
        id: "e-1".into(),
        model: "base".into(),
        adapter_slots: 2,
    };
    let engine = Engine::new(spec, ledger.clone());
    let engine_addr = engine.start().await.expect("an address");
    let engine_addr = proxied(&mut proxies, engine_addr, is_proxied).await;
    let model = json!([{"Name": "base", "Version": 1, "Adapters": []}]);
    let entry = registry_entry("lm", "z1", engine_addr, 1, Some(model));
    store.publish("keyed.servers", "e-1", &entry);
    let desks = [
        ("d-1", "desk", Behavior::Respond),
        ("f-1", "flaky", Behavior::DropResponse),
        ("f-2", "flaky", Behavior::Refuse),
    ];
    for (id, service, habit) in desks {
        let desk = PlainEndpoint::new(id, ledger.clone());
        desk.set_behavior(habit);
        let addr = desk.start().await.expect("an address");
        let addr = proxied(&mut proxies, addr, is_proxied).await;
        // Endpoints of services without engines may also list models.
        let entry = registry_entry(service, "z1", addr, 1, Some(json!([])));
        store.publish("keyed.servers", id, &entry);
    }
    let pair = ["p-1", "p-2"].map(|id| PlainEndpoint::new(id, ledger.clone()));
    let mut pair_addrs = Vec::new();
    for (id, desk) in ["p-1", "p-2"].into_iter().zip(&pair) {
        let addr = desk.start().await.expect("an address");
        let addr = proxied(&mut proxies, addr, is_proxied).await;
        let entry = move |started_ms| registry_entry("pair", "z1", addr, started_ms, None);
        store.publish("keyed.servers", id, &entry(1));
        let crashes = desk.crashes();
        tokio::task::spawn_local(register_after_crashes(store.clone(), id, crashes, entry));
        pair_addrs.push(addr);
    }
    let lab = ["l-1", "l-2"].map(|id| {
        let spec = EngineSpec {
            id: id.into(),
            model: "base".into(),
            adapter_slots: 2,
        };
        Engine::new(spec, ledger.clone())
    });
    for (id, engine) in ["l-1", "l-2"].into_iter().zip(&lab) {
        let addr = engine.start().await.expect("an address");
        let addr = proxied(&mut proxies, addr, is_proxied).await;
        let entry = move |started_ms| lab_entry(addr, started_ms);
        store.publish("keyed.servers", id, &entry(1));
        let crashes = engine.crashes();
        tokio::task::spawn_local(register_after_crashes(store.clone(), id, crashes, entry));
    }
    let mixed = MIXED_IDS.map(|id| {
        let spec = EngineSpec {
            id: id.into(),
            model: "base".into(),
            adapter_slots: 2,
        };
        Engine::new(spec, ledger.clone())
    });
    let mut mixed_addrs = Vec::new();
    for (number, engine) in mixed.iter().enumerate() {
        let addr = engine.start().await.expect("an address");
        let addr = proxied(&mut proxies, addr, is_proxied).await;
        mixed_addrs.push(addr);
        store.publish(
            "keyed.servers",
            MIXED_IDS[number],
            &mixed_entry(addr, number),
        );
    }
    let store_proxy = Proxy::start(addr).await.expect("an address");
    let parts = Parts {
        store,
        store_proxy,
        engine,
        engine_addr,
        lab,
        mixed,
        pair,
        pair_addrs,
        mixed_addrs,
        proxies,
    };
    (parts, addr)
}

/// Returns the address at which an endpoint is registered: its own or, if `is_proxied`, that of a new
/// proxy in front of it.
async fn proxied(proxies: &mut Vec<Proxy>, addr: SocketAddr, is_proxied: bool) -> SocketAddr {
    if !is_proxied {
        return addr;
    }
    let proxy = Proxy::start_with_owners(addr).await.expect("an address");
    let addr = proxy.addr();
    proxies.push(proxy);
    addr
}

/// Ids of the engines of the service `mixed`.
pub(crate) const MIXED_IDS: [&str; 4] = ["m-1", "m-2", "m-3", "m-4"];

/// Returns the registry entry of an engine of the service `mixed`.
fn mixed_entry(addr: SocketAddr, number: usize) -> Value {
    let mut entry = registry_entry("mixed", "z1", addr, 1, Some(held_models(true)));
    entry["Version"] = json!(if number < 2 { "v1" } else { "v2" });
    entry
}

/// Returns the registry entry of an engine of the service `lab`, which has its model's weights at its first start.
fn lab_entry(addr: SocketAddr, started_ms: u64) -> Value {
    let models = held_models(started_ms == 1);
    registry_entry("lab", "z1", addr, started_ms, Some(models))
}

/// Registers an endpoint as a new incarnation after each of its crashes; `entry` is its entry by the
/// time of its start.
async fn register_after_crashes(
    store: Store,
    id: &'static str,
    mut crashes: watch::Receiver<u64>,
    entry: impl Fn(u64) -> Value,
) {
    while crashes.changed().await.is_ok() {
        let started_ms = 1 + *crashes.borrow_and_update();
        store.publish("keyed.servers", id, &entry(started_ms));
    }
}

/// A gateway process, killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) child: Child,
    pub(crate) peers: SocketAddr,
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) lines: Arc<Mutex<Vec<Value>>>,
}

impl Gateway {
    /// Starts a gateway in front of the platform and waits until it is ready.
    pub(crate) fn start(platform: &Platform) -> Self {
        Self::start_as(platform.store_addr, "gate-1")
    }

    /// Starts a gateway with this instance name and store address, and waits until it is ready.
    pub(crate) fn start_as(store: SocketAddr, instance: &str) -> Self {
        Self::start_with(store, instance, |_| {})
    }

    /// Starts a gateway in one of the zones `z1` and `z2`.
    pub(crate) fn start_in(store: SocketAddr, instance: &str, zone: &str) -> Self {
        Self::start_with(store, instance, |settings| {
            settings["Zone"] = json!(zone);
            settings["Zones"] = json!({"z1": "r", "z2": "r"});
        })
    }

    /// Starts a gateway whose settings give it a twelfth of a core and a link of 10 Mbit/s.
    pub(crate) fn start_weak(store: SocketAddr, instance: &str) -> Self {
        Self::start_with(store, instance, limit_resources)
    }

    fn start_with(store: SocketAddr, instance: &str, change: impl FnOnce(&mut Value)) -> Self {
        let [front, ready, peers] = free_addrs().expect("free ports");
        let addresses = Addresses {
            front,
            ready,
            peers,
            store,
        };
        let name = format!(
            "caraway-gateway-{}-{}.json",
            std::process::id(),
            front.port()
        );
        let path = std::env::temp_dir().join(name);
        let mut text = settings(instance, "z1", &["z1"], &addresses);
        change(&mut text);
        std::fs::write(&path, text.to_string()).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_caraway-gateway"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines: Arc<Mutex<Vec<Value>>> = Arc::default();
        let out = child.stdout.take().expect("a pipe");
        let collected = lines.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("each line is JSON");
                collected.lock().expect("no panic holds it").push(line);
            }
        });
        let gateway = Self {
            child,
            peers,
            front,
            ready,
            lines,
        };
        gateway.wait_for("readiness", || {
            call(gateway.ready, "GET /v1/readyz", "", "").starts_with("HTTP/1.1 200")
        });
        gateway
    }

    /// Waits until `condition` is true; `what` names it in the panic message.
    pub(crate) fn wait_for(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "{what} did not come: {:?}",
                self.lines
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the number of its log lines with this event.
    pub(crate) fn count(&self, event: u16) -> usize {
        let lines = self.lines.lock().expect("no panic holds it");
        lines.iter().filter(|l| l["event"] == event).count()
    }

    /// Waits until its log names this instance as the zone's holder.
    pub(crate) fn wait_to_hold(&self, instance: &str) {
        let what = format!("{instance} as the holder");
        self.wait_for(&what, || self.has_line(1200, "holder", instance));
    }

    /// Sends SIGTERM to the daemon.
    pub(crate) fn stop(&self) {
        self.signal("-TERM");
    }

    /// Lets the daemon stand still until [`Self::resume`].
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets the daemon go on.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns whether the log has a line with this event and this value in this field.
    pub(crate) fn has_line(&self, event: u16, field: &str, value: impl Into<Value>) -> bool {
        let value = value.into();
        let lines = self.lines.lock().expect("no panic holds it");
        lines
            .iter()
            .any(|l| l["event"] == event && l[field] == value)
    }

    /// Returns whether the log has a line with this event.
    pub(crate) fn has_event(&self, event: u16) -> bool {
        let lines = self.lines.lock().expect("no panic holds it");
        lines.iter().any(|l| l["event"] == event)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Returns whether a gateway has logged all these endpoints as known.
pub(crate) fn has_endpoints(gateway: &Gateway, ids: &[&str]) -> bool {
    ids.iter().all(|id| gateway.has_line(1120, "endpoint", *id))
}

/// Sends a request on a new connection and returns the answer's text, which is empty if there was
/// none.
pub(crate) fn call(addr: SocketAddr, line: &str, headers: &str, body: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return String::new();
    };
    let request = format!(
        "{line} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: {}\r\n\
         {headers}\r\n{body}",
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return String::new();
    }
    let mut answer = Vec::new();
    // Of an answer that breaks off, the part that arrived is returned.
    std::io::Read::read_to_end(&mut stream, &mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns version `version` of the configuration with the services and routes of these tests, and
/// further routes with these names.
pub(crate) fn configuration(version: u64, extra_routes: &[String]) -> Value {
    let mut configuration = caraway_platform_standin::configuration(version, 2, extra_routes);
    let flaky = json!({"Name": "flaky", "Host": "h.example", "PathPrefix": "/flaky/",
        "Kind": "idempotent", "TimeoutMs": 2000, "GoalMs": 100, "Service": "flaky",
        "MaxAttempts": 2});
    let mut pair = flaky.clone();
    for (field, text) in [
        ("Name", "pair"),
        ("PathPrefix", "/pair/"),
        ("Service", "pair"),
    ] {
        pair[field] = json!(text);
    }
    let mut order = pair.clone();
    for (field, text) in [
        ("Name", "order"),
        ("PathPrefix", "/order/"),
        ("Kind", "non_idempotent"),
    ] {
        order[field] = json!(text);
    }
    let summary = json!({"Name": "summary", "Host": "h.example", "PathPrefix": "/summary/",
        "Kind": "streaming", "Resumable": true, "TimeoutMs": 9000, "GoalMs": 100, "Service": "lm",
        "MaxAttempts": 2});
    let report = json!({"Name": "report", "Host": "h.example", "PathPrefix": "/report/",
        "Kind": "streaming", "TimeoutMs": 60000, "GoalMs": 100, "Service": "lm",
        "MaxAttempts": 1});
    let mut lab = report.clone();
    for (field, text) in [("Name", "lab"), ("PathPrefix", "/lab/"), ("Service", "lab")] {
        lab[field] = json!(text);
    }
    let mut mixed = summary.clone();
    for (field, text) in [
        ("Name", "mixed"),
        ("PathPrefix", "/mixed/"),
        ("Service", "mixed"),
    ] {
        mixed[field] = json!(text);
    }
    let mut lab_service = configuration["Services"][0].clone();
    lab_service["Name"] = json!("lab");
    let routes = configuration["Routes"].as_array_mut().expect("a list");
    routes.push(flaky);
    routes.push(summary);
    routes.push(pair);
    routes.push(order);
    routes.push(report);
    routes.push(lab);
    routes.push(mixed);
    let services = configuration["Services"].as_array_mut().expect("a list");
    services.push(json!({"Name": "flaky", "MaxConns": 50}));
    let mut mixed_service = lab_service.clone();
    mixed_service["Name"] = json!("mixed");
    services.push(lab_service);
    services.push(mixed_service);
    services.push(json!({"Name": "pair", "MaxConns": 50}));
    configuration
}
