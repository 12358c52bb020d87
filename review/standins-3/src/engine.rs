//! A model engine: it follows orders and streams events, as PROTOCOL.md describes.

use std::{
    collections::BTreeSet,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head, serve},
    record::Record,
    store::Store,
};

/// What all engines of a case share.
#[derive(Clone, Copy)]
pub struct Spec {
    pub events: u64,
    pub interval: Duration,
}

struct State {
    /// Version of its software.
    software: String,
    /// Start of its process, in Unix milliseconds.
    born: u64,
    /// Whether it refuses to serve, as it restarts.
    is_down: bool,
    /// When the model's weights are or were loaded; `None` while it holds none.
    weights_at: Option<Instant>,
    /// Places for adapters.
    slots: usize,
    /// `Expect` of a load that gets no answer and is carried out later, once.
    late: Option<(u64, Duration)>,
    /// Loads that were ordered though no place was free.
    overloads: Vec<String>,
    adapters: BTreeSet<String>,
    accepted: u64,
    newest_token: u64,
}

/// An engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub zone: String,
    pub addr: SocketAddr,
    spec: Spec,
    state: Arc<Mutex<State>>,
    record: Record,
}

/// Interval between two writes of a registry entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

impl Engine {
    pub fn start(id: &str, zone: &str, software: &str, born: u64, spec: Spec, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let state = State {
            software: software.to_owned(),
            born,
            is_down: false,
            weights_at: Some(Instant::now()),
            slots: 16,
            late: None,
            overloads: Vec::new(),
            adapters: BTreeSet::new(),
            accepted: 0,
            newest_token: 0,
        };
        let engine = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            addr,
            spec,
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let served = engine.clone();
        serve(listener, move |head, conn| served.handle(head, conn));
        Ok(engine)
    }

    /// Writes its registry entry now and with each heartbeat.
    pub fn register(&self, store: &Store) {
        self.write_entry(store);
        let (engine, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                engine.write_entry(&store);
            }
        });
    }

    pub fn write_entry(&self, store: &Store) {
        let Self { id, zone, addr, .. } = self;
        let models = self.models();
        let (software, born) = {
            let state = self.lock();
            if state.is_down {
                return;
            }
            (state.software.clone(), state.born)
        };
        store.put("keyed.servers", id, &format!(
            r#"{{"Service":"lm","Address":"{addr}","Zone":"{zone}","Version":"{software}","Slots":16,"State":"ready","ColdLeftMs":0,"born":{born},"Seq":1,"Models":{models}}}"#));
    }

    /// Starts again under its id with this software: it then holds and knows nothing of before.
    pub fn restart(&self, software: &str, born: u64, pause: Duration, store: &Store) {
        self.restart_with(software, born, pause, store, Some(Instant::now()));
    }

    /// As [`Self::restart`], with weights only from `weights_at` on, if at all.
    pub fn restart_with(
        &self,
        software: &str,
        born: u64,
        pause: Duration,
        store: &Store,
        weights_at: Option<Instant>,
    ) {
        self.lock().is_down = true;
        thread::sleep(pause);
        {
            let mut state = self.lock();
            *state = State {
                software: software.to_owned(),
                born,
                is_down: false,
                weights_at,
                slots: state.slots,
                late: None,
                overloads: std::mem::take(&mut state.overloads),
                adapters: BTreeSet::new(),
                accepted: 0,
                newest_token: 0,
            };
        }
        self.record.line(&format!("engine {}: restarts as {software}", self.id));
        self.write_entry(store);
    }

    /// Returns the start of its process, by which runs of an earlier one are told.
    fn life(&self) -> Option<u64> {
        let state = self.lock();
        (!state.is_down).then_some(state.born)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Sets which adapters it holds from its start on.
    pub fn set_held(&self, adapters: impl Iterator<Item = String>) {
        self.lock().adapters = adapters.collect();
    }

    /// Leaves the load with this `Expect` unanswered and carries it out later.
    pub fn set_late(&self, expect: u64, delay: Duration) {
        self.lock().late = Some((expect, delay));
    }

    /// Returns the number of accepted orders and the adapters that it holds.
    pub fn counts(&self) -> (u64, usize) {
        let state = self.lock();
        (state.accepted, state.adapters.len())
    }

    /// Returns the loads that were ordered though no place was free.
    pub fn overloads(&self) -> Vec<String> {
        self.lock().overloads.clone()
    }

    fn models(&self) -> String {
        let state = self.lock();
        if !state.weights_at.is_some_and(|at| at <= Instant::now()) {
            return "[]".to_owned();
        }
        let adapters: Vec<String> = state.adapters.iter().map(|a| format!("\"{a}@1\"")).collect();
        format!(r#"[{{"Name":"base","Version":1,"Adapters":[{}]}}]"#, adapters.join(","))
    }

    fn handle(&self, head: &Head, conn: &mut Conn) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&conn.read_body(head)?).into_owned();
        let request = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let Some(life) = self.life() else {
            return Ok(false);
        };
        if head.get("x-expect-replica").is_some_and(|id| id != self.id) {
            conn.respond(421, "X-Not-Executed: 1\r\n", b"")?;
            return Ok(true);
        }
        match head.path() {
            "/v1/report" => {
                let (models, accepted) = (self.models(), self.lock().accepted);
                let is_busy = self.lock().weights_at.is_some_and(|at| at > Instant::now());
                let report = format!(
                    r#"{{"Stage":"colocated","Models":{models},"Busy":{is_busy},"Seq":{accepted},"NumWaiting":0,"NumRunning":0,"KvUsed":0,"KvTotal":90000,"Handles":0,"Incoming":[]}}"#
                );
                conn.respond(200, "Content-Type: application/json\r\n", report.as_bytes())?;
                Ok(true)
            }
            "/v1/order" => {
                if let Some(delay) = self.take_late(&body) {
                    self.record.line(&format!("engine {}: no answer, late by {delay:?}: {body}", self.id));
                    let (engine, body) = (self.clone(), body.clone());
                    thread::spawn(move || {
                        thread::sleep(delay);
                        let status = engine.order(&body);
                        engine.record.line(&format!("engine {}: late order: {status}", engine.id));
                    });
                    thread::sleep(Duration::from_secs(1));
                    return Ok(false);
                }
                let status = self.order(&body);
                conn.respond(status, "", b"")?;
                Ok(true)
            }
            "/healthz" => {
                conn.respond(200, &format!("X-Replica-Id: {}\r\n", self.id), b"")?;
                Ok(true)
            }
            _ => self.stream(head, conn, &request, life),
        }
    }

    fn take_late(&self, body: &str) -> Option<Duration> {
        let is_load = text(body, "Operation").as_deref() == Some("load");
        let adapter = text(body, "Adapter")?;
        let mut state = self.lock();
        let (expect, delay) = state.late?;
        if !is_load || number(body, "Expect") != Some(expect) || state.adapters.contains(&adapter) {
            return None;
        }
        state.late = None;
        Some(delay)
    }

    fn order(&self, body: &str) -> u16 {
        let (Some(token), Some(_)) = (number(body, "FencingToken"), text(body, "Holder")) else {
            return 400;
        };
        let mut state = self.lock();
        if token < state.newest_token {
            return 412;
        }
        state.newest_token = token;
        let expect = number(body, "Expect");
        let now = Instant::now();
        let Some(adapter) = text(body, "Adapter") else {
            if state.weights_at.is_some_and(|at| at <= now) {
                return 200;
            }
            if state.weights_at.is_some() || expect.is_some_and(|e| e != state.accepted) {
                return 409;
            }
            state.accepted += 1;
            state.weights_at = Some(now + Duration::from_millis(500));
            return 202;
        };
        if !state.weights_at.is_some_and(|at| at <= now) {
            return 409;
        }
        let is_load = text(body, "Operation").as_deref() == Some("load");
        if is_load == state.adapters.contains(&adapter) {
            return 200;
        }
        if expect.is_some_and(|e| e != state.accepted) {
            return 409;
        }
        state.accepted += 1;
        if is_load && state.adapters.len() >= state.slots {
            let held = state.adapters.len();
            let what = format!("{body}: {held} adapters are held, in {} places", state.slots);
            self.record.line(&format!("engine {}: crashes: {what}", self.id));
            state.overloads.push(what);
            state.is_down = true;
            return 202;
        }
        if is_load {
            state.adapters.insert(adapter);
            202
        } else {
            state.adapters.remove(&adapter);
            200
        }
    }

    fn stream(&self, head: &Head, conn: &mut Conn, request: &str, life: u64) -> io::Result<bool> {
        let software = self.lock().software.clone();
        let adapter = head.get("x-model").and_then(|m| m.split_once('/')).map(|(_, a)| a);
        if !adapter.is_some_and(|a| self.lock().adapters.contains(a)) {
            let headers = format!("X-Attempt-Id: {request}\r\nX-Not-Executed: 1\r\n");
            conn.respond(421, &headers, b"")?;
            return Ok(true);
        }
        let after: u64 = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.record.line(&format!(
            "engine {} ({}): runs {request} from event {}, resumes {:?}",
            self.id, software, after + 1, head.get("resumes")
        ));
        let seal = format!("{}.{request}", self.id);
        conn.write(format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {request}\r\nX-Server-Seal: {seal}\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).as_bytes())?;
        for number in after + 1..=self.spec.events {
            thread::sleep(self.spec.interval);
            if self.life() != Some(life) {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: {software}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.write(b"0\r\n\r\n")?;
        Ok(true)
    }
}

/// Returns a number in a flat JSON object.
fn number(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Returns a string in a flat JSON object.
fn text(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1.trim_start();
    Some(rest.strip_prefix('"')?.split('"').next()?.to_owned())
}
