//! The platform in one process: its store, an engine endpoint and a plain service, on loopback.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};

/// Longest time that anything in these tests is waited for; a stop, not a bound.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

type Records = Vec<(String, Vec<u8>)>;

/// What the platform knows and has seen.
#[derive(Debug, Default)]
pub(crate) struct State {
    topics: HashMap<String, Records>,
    /// Adapters that the engine holds.
    pub(crate) held: Vec<String>,
    /// Orders that the engine has accepted, with their fencing tokens.
    pub(crate) orders: Vec<(String, u64)>,
    /// Whether the store refuses every call to its first address.
    pub(crate) store_away: bool,
    /// Whether it has dropped the records that newer ones of their keys follow.
    pub(crate) compacted: bool,
    /// Requests that ran, with the headers that came.
    pub(crate) runs: Vec<(String, http::HeaderMap)>,
}

/// The platform's parts, served from a thread of their own.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) state: Arc<Mutex<State>>,
    pub(crate) store: SocketAddr,
    /// The store's second address, which is never away.
    pub(crate) second: SocketAddr,
}

impl Platform {
    /// Starts the platform with a configuration and its two endpoints registered.
    pub(crate) fn start() -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let store = serve(state.clone(), first_store_call);
        let second = serve(state.clone(), store_call);
        let engine = serve(state.clone(), engine_call);
        let desk = serve(state.clone(), desk_call);
        let breaks = serve(state.clone(), breaking_call);
        let refuses = serve(state.clone(), refusing_call);
        let platform = Self {
            state,
            store,
            second,
        };
        platform.publish("keyed.op", "config", &configuration());
        let entry = |service: &str, addr: SocketAddr, models: Value| {
            json!({"Service": service, "Address": addr.to_string(), "Zone": "z1", "Slots": 8,
                "State": "ready", "born": 1, "Models": models, "Seq": 1})
        };
        let model = json!([{"Name": "base", "Version": 1, "Adapters": []}]);
        platform.publish("keyed.servers", "e-1", &entry("lm", engine, model));
        platform.publish("keyed.servers", "d-1", &entry("desk", desk, json!([])));
        platform.publish("keyed.servers", "f-1", &entry("flaky", breaks, json!([])));
        platform.publish("keyed.servers", "f-2", &entry("flaky", refuses, json!([])));
        platform
    }

    /// Writes a record as the operator or an endpoint does.
    pub(crate) fn publish(&self, topic: &str, key: &str, value: &Value) {
        let value = serde_json::to_vec(value).expect("JSON");
        let mut state = self.state.lock().expect("no panic holds it");
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value));
    }
}

/// A gateway process, killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) child: Child,
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
        let [front, ready, peers] = free_addrs();
        let settings = json!({
            "NodeName": instance, "Zone": "z1", "Zones": {"z1": "r"}, "Ip": "127.0.0.1",
            "Listen": {"Front": front.to_string(), "ReadyAddr": ready.to_string()},
            "PortRange": [peers.port(), peers.port()],
            "Bounds": {"DrainMs": 2000, "GraceS": 8, "ConfigApplyMs": 2000, "LeaseMs": 3000,
                "ContactMs": 3000, "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 50},
            "Platform": {"Address": store.to_string(), "WritesPerS": 400,
                "ReadsPerS": 2000},
        });
        let name = format!(
            "caraway-gateway-{}-{}.json",
            std::process::id(),
            front.port()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).expect("a settings file");
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
    json!({"Version": 3, "Routes": [
        {"Name": "draft", "Host": "h.example", "PathPrefix": "/draft/", "Kind": "streaming",
         "TimeoutMs": 5000, "GoalMs": 500, "Service": "lm", "MaxAttempts": 1},
        {"Name": "status", "Host": "h.example", "PathPrefix": "/status/", "Kind": "idempotent",
         "TimeoutMs": 2000, "GoalMs": 100, "Service": "desk", "MaxAttempts": 2},
        {"Name": "flaky", "Host": "h.example", "PathPrefix": "/flaky/", "Kind": "idempotent",
         "TimeoutMs": 2000, "GoalMs": 100, "Service": "flaky", "MaxAttempts": 2}],
      "Services": [
        {"Name": "lm", "MaxConns": 50, "Engine": {"Slots": 8, "WeightSize": 100,
         "AdapterSlots": 2, "Models": [{"Name": "base", "WeightSize": 90, "AdapterMb": 1}]}},
        {"Name": "desk", "MaxConns": 50}, {"Name": "flaky", "MaxConns": 50}]})
}

fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a port"));
    listeners.map(|l| l.local_addr().expect("an address"))
}

type Handler = fn(&Mutex<State>, &http::request::Parts, &[u8]) -> Response<Full<Bytes>>;

fn serve(state: Arc<Mutex<State>>, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a socket");
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                tokio::spawn(async move {
                    let service =
                        service_fn(move |request| answer(state.clone(), handler, request));
                    let io = TokioIo::new(stream);
                    // The other end may close it at any time.
                    http1::Builder::new()
                        .serve_connection(io, service)
                        .await
                        .ok();
                });
            }
        });
    });
    addr
}

async fn answer(
    state: Arc<Mutex<State>>,
    handler: Handler,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let response = handler(&state, &parts, &body);
    // Stands for no answer at all; an error ends the connection.
    if response.status() == StatusCode::IM_A_TEAPOT {
        return Err(std::io::Error::other("no answer"));
    }
    // A read that waits is answered after a while.
    if response.status() == StatusCode::OK && parts.uri.query().is_some_and(|q| q.contains("Wait"))
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(response)
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn first_store_call(
    state: &Mutex<State>,
    head: &http::request::Parts,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let away = state.lock().expect("no panic holds it").store_away;
    if away {
        return respond(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    store_call(state, head, body)
}

fn store_call(
    state: &Mutex<State>,
    head: &http::request::Parts,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let mut state = state.lock().expect("no panic holds it");
    let query = head.uri.query().unwrap_or_default();
    let field = |name: &str| {
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .into_iter()
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v.to_owned())
    };
    let compacted = state.compacted;
    let records = state
        .topics
        .entry(field("Topic").expect("a topic"))
        .or_default();
    match head.uri.path() {
        "/v1/log-newest" => {
            let items = records.iter().enumerate().map(|(offset, (key, value))| {
                json!({"Key": key, "Value": BASE64_STANDARD.encode(value), "Offset": offset})
            });
            let items: Vec<Value> = items.collect();
            let page = json!({"items": items, "HasMore": false, "End": records.len()});
            respond(StatusCode::OK, page.to_string())
        }
        "/v1/log-read" => {
            let from: usize = field("From")
                .and_then(|f| f.parse().ok())
                .expect("an offset");
            if compacted && from < records.len() {
                return respond(StatusCode::GONE, r#"{"First": 0}"#);
            }
            let mut bytes = vec![0; 16];
            for (key, value) in records.iter().skip(from) {
                let len = u32::try_from(1 + key.len() + value.len()).expect("short");
                bytes.extend_from_slice(&len.to_be_bytes());
                bytes.push(u8::try_from(key.len()).expect("short"));
                bytes.extend_from_slice(key.as_bytes());
                bytes.extend_from_slice(value);
            }
            respond(StatusCode::OK, bytes)
        }
        _ => {
            let at: usize = field("At").and_then(|f| f.parse().ok()).expect("an offset");
            if at != records.len() {
                let end = json!({"End": records.len()});
                return respond(StatusCode::PRECONDITION_FAILED, end.to_string());
            }
            let key_end = 5 + usize::from(body[4]);
            let key = String::from_utf8_lossy(&body[5..key_end]).into_owned();
            records.push((key, body[key_end..].to_vec()));
            let appended = json!({"Offset": at, "End": at + 1});
            respond(StatusCode::OK, appended.to_string())
        }
    }
}

fn engine_call(
    state: &Mutex<State>,
    head: &http::request::Parts,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let mut state = state.lock().expect("no panic holds it");
    match head.uri.path() {
        "/v1/report" => {
            let adapters: Vec<String> = state.held.iter().map(|a| format!("{a}@1")).collect();
            let report = json!({"Models": [{"Name": "base", "Adapters": adapters}],
                "Seq": state.orders.len(), "NumRunning": 0, "NumWaiting": 0});
            respond(StatusCode::OK, report.to_string())
        }
        "/v1/order" => {
            let order: Value = serde_json::from_slice(body).expect("an order");
            let adapter = order["Adapter"].as_str().expect("an adapter").to_owned();
            if state.held.contains(&adapter) {
                return respond(StatusCode::OK, "");
            }
            let token = order["FencingToken"].as_u64().expect("a token");
            state.orders.push((adapter.clone(), token));
            state.held.push(adapter);
            respond(StatusCode::ACCEPTED, "")
        }
        _ => run(&mut state, head, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    }
}

fn desk_call(state: &Mutex<State>, head: &http::request::Parts, _: &[u8]) -> Response<Full<Bytes>> {
    run(&mut state.lock().expect("no panic holds it"), head, "sold")
}

/// Runs the request and closes the connection without an answer.
fn breaking_call(
    state: &Mutex<State>,
    head: &http::request::Parts,
    _: &[u8],
) -> Response<Full<Bytes>> {
    run(&mut state.lock().expect("no panic holds it"), head, "");
    respond(StatusCode::IM_A_TEAPOT, "")
}

/// Says that it did not run the request.
fn refusing_call(_: &Mutex<State>, head: &http::request::Parts, _: &[u8]) -> Response<Full<Bytes>> {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "");
    let headers = response.headers_mut();
    headers.insert("x-attempt-id", head.headers["x-attempt-id"].clone());
    headers.insert("x-not-executed", http::HeaderValue::from_static("1"));
    response
}

fn run(
    state: &mut State,
    head: &http::request::Parts,
    body: &'static str,
) -> Response<Full<Bytes>> {
    let path = head.uri.path().to_owned();
    state.runs.push((path, head.headers.clone()));
    let mut response = respond(StatusCode::OK, body);
    let headers = response.headers_mut();
    headers.insert("x-attempt-id", head.headers["x-attempt-id"].clone());
    headers.insert("x-server-seal", http::HeaderValue::from_static("s"));
    response
}
