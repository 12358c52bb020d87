//! The platform on a thread of its own, and gateway processes in front of it.

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
    limit_resources, registry_entry, settings,
};
use serde_json::{Value, json};
use tokio::{sync::mpsc as requests, task::LocalSet};

/// Longest time that anything in these tests is waited for; a stop, not a bound.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// The platform's parts, for what tests do to them.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) store: Store,
    /// The way to the store of gateways that are started with [`Platform::way`].
    pub(crate) way: Proxy,
    pub(crate) engine: Engine,
    pub(crate) engine_addr: SocketAddr,
    /// Two endpoints of the service `pair`, which answer.
    pub(crate) pair: [PlainEndpoint; 2],
    pair_addrs: Vec<SocketAddr>,
}

type Act = Box<dyn FnOnce(&Parts) + Send>;

/// The platform, served from a thread of its own: a store, an engine, and plain endpoints of which
/// one answers, one runs requests and breaks off, and one says that it ran none.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) ledger: Ledger,
    /// The store.
    pub(crate) store: SocketAddr,
    /// The store by a proxy.
    pub(crate) way: SocketAddr,
    acts: requests::UnboundedSender<Act>,
}

impl Platform {
    /// Starts the platform with a configuration and its endpoints registered.
    pub(crate) fn start() -> Self {
        let (acts, mut todo) = requests::unbounded_channel::<Act>();
        let (tell, told) = mpsc::channel();
        let ledger = Ledger::default();
        let own = ledger.clone();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                let (parts, store) = parts(own).await;
                tell.send((store, parts.way.addr()))
                    .expect("the test waits");
                while let Some(act) = todo.recv().await {
                    act(&parts);
                }
            });
        });
        let (store, way) = told.recv().expect("the platform starts");
        Self {
            ledger,
            store,
            way,
            acts,
        }
    }

    /// Does something to the platform's parts and returns what it returns.
    pub(crate) fn act<T: Send + 'static>(
        &self,
        act: impl FnOnce(&Parts) -> T + Send + 'static,
    ) -> T {
        let (tell, told) = mpsc::channel();
        let act: Act = Box::new(move |parts| tell.send(act(parts)).expect("the test waits"));
        self.acts.send(act).expect("the platform runs");
        told.recv().expect("the platform acts")
    }

    /// Returns the registry's entry of an endpoint of the service `pair`, which says that it is
    /// ready.
    pub(crate) fn pair_entry(&self, number: usize) -> Value {
        self.act(move |parts| registry_entry("pair", "z1", parts.pair_addrs[number], 1, None))
    }

    /// Writes a record as the operator or an endpoint does.
    pub(crate) fn publish(&self, topic: &'static str, key: &'static str, value: Value) {
        self.act(move |parts| parts.store.publish(topic, key, &value));
    }
}

async fn parts(ledger: Ledger) -> (Parts, SocketAddr) {
    let store = Store::default();
    let addr = store.start().await.expect("an address");
    store.publish("keyed.op", "config", &configuration());
    let spec = EngineSpec {
        id: "e-1".into(),
        model: "base".into(),
        adapter_slots: 2,
    };
    let engine = Engine::new(spec, ledger.clone());
    let engine_addr = engine.start().await.expect("an address");
    let model = json!([{"Name": "base", "Version": 1, "Adapters": []}]);
    let listed = registry_entry("lm", "z1", engine_addr, 1, Some(model));
    store.publish("keyed.servers", "e-1", &listed);
    let desks = [
        ("d-1", "desk", Behavior::Respond),
        ("f-1", "flaky", Behavior::DropResponse),
        ("f-2", "flaky", Behavior::Refuse),
    ];
    for (id, service, habit) in desks {
        let desk = PlainEndpoint::new(id, ledger.clone());
        desk.set_behavior(habit);
        let addr = desk.start().await.expect("an address");
        // Lists of models also come from endpoints whose service has no engine.
        let listed = registry_entry(service, "z1", addr, 1, Some(json!([])));
        store.publish("keyed.servers", id, &listed);
    }
    let pair = ["p-1", "p-2"].map(|id| PlainEndpoint::new(id, ledger.clone()));
    let mut pair_addrs = Vec::new();
    for (id, desk) in ["p-1", "p-2"].into_iter().zip(&pair) {
        let addr = desk.start().await.expect("an address");
        let listed = registry_entry("pair", "z1", addr, 1, None);
        store.publish("keyed.servers", id, &listed);
        pair_addrs.push(addr);
    }
    let way = Proxy::start(addr).await.expect("an address");
    let parts = Parts {
        store,
        way,
        engine,
        engine_addr,
        pair,
        pair_addrs,
    };
    (parts, addr)
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
        Self::start_as(platform.store, "gate-1")
    }

    /// Starts a gateway as this instance with a store, and waits until it is ready.
    pub(crate) fn start_as(store: SocketAddr, instance: &str) -> Self {
        Self::start_with(store, instance, |_| {})
    }

    /// Starts a gateway on a machine with a twelfth of a core and a link of 10 Mbit/s.
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

    /// Waits until something holds.
    pub(crate) fn wait_for(&self, what: &str, holds: impl Fn() -> bool) {
        let start = Instant::now();
        while !holds() {
            assert!(
                start.elapsed() < PATIENCE,
                "{what} did not come: {:?}",
                self.lines
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until its log says that this instance holds the zone.
    pub(crate) fn wait_to_hold(&self, instance: &str) {
        let what = format!("{instance} as the holder");
        self.wait_for(&what, || self.has_line(1200, "holder", instance));
    }

    /// Asks the daemon to stop.
    pub(crate) fn stop(&self) {
        let stop = Command::new("kill")
            .arg(self.child.id().to_string())
            .status();
        assert!(stop.expect("kill runs").success());
    }

    /// Tells whether a line with this event has this text in this field.
    pub(crate) fn has_line(&self, event: u16, field: &str, text: &str) -> bool {
        let lines = self.lines.lock().expect("no panic holds it");
        lines
            .iter()
            .any(|l| l["event"] == event && l[field] == text)
    }

    /// Tells whether a line with this event was written.
    pub(crate) fn has_event(&self, event: u16) -> bool {
        let lines = self.lines.lock().expect("no panic holds it");
        lines.iter().any(|l| l["event"] == event)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended by itself.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Tells whether a gateway has heard of all these endpoints.
pub(crate) fn has_endpoints(gateway: &Gateway, ids: &[&str]) -> bool {
    ids.iter().all(|id| gateway.has_line(1120, "endpoint", id))
}

/// Sends a request on a connection of its own and returns the answer's text; empty when there was
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
    // A broken answer is told by what is there of it.
    std::io::Read::read_to_end(&mut stream, &mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

fn configuration() -> Value {
    let mut configuration = caraway_platform_standin::configuration(3, 2, &[]);
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
    let summary = json!({"Name": "summary", "Host": "h.example", "PathPrefix": "/summary/",
        "Kind": "streaming", "Resumable": true, "TimeoutMs": 9000, "GoalMs": 100, "Service": "lm",
        "MaxAttempts": 2});
    let report = json!({"Name": "report", "Host": "h.example", "PathPrefix": "/report/",
        "Kind": "streaming", "TimeoutMs": 60000, "GoalMs": 100, "Service": "lm",
        "MaxAttempts": 1});
    let routes = configuration["Routes"].as_array_mut().expect("a list");
    routes.push(flaky);
    routes.push(summary);
    routes.push(pair);
    routes.push(report);
    let services = configuration["Services"].as_array_mut().expect("a list");
    services.push(json!({"Name": "flaky", "MaxConns": 50}));
    services.push(json!({"Name": "pair", "MaxConns": 50}));
    configuration
}
