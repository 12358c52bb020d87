//! The store comes back from a copy some seconds old, and the instance that began streams is killed.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::{Engine, Spec},
    gateway::{Gateway, Site},
    http::Conn,
    record::Record,
    store::{Mode, Store},
};

pub const STREAMS: usize = 24;
const ADAPTERS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(12);
pub const SPEC: Spec = Spec { events: 45, interval: Duration::from_millis(100) };
/// More refusals than that and the client gives up.
const MAX_TRIES: usize = 8;

pub const CONFIGURATION: &str = r#"{"Version":3,"Routes":[
{"Name":"blurb","Host":"h.example","PathPrefix":"/blurb/","Kind":"streaming","Resumable":true,
"TimeoutMs":12000,"GoalMs":1000,"TargetGapMs":250,"Priority":1,"Service":"lm","MaxAttempts":2}],
"Services":[{"Name":"lm","HealthPath":"/healthz","MaxConns":360,"Engine":{"Slots":16,"WeightSize":100,
"AdapterSlots":16,"LoadsPerS":10.0,"KvCapacity":90000,"Models":[{"Name":"base","WeightSize":90,
"AdapterMb":1,"LoadS":0.3,"DiskS":0.15}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000}}"#;

/// What a client got of one stream: the software version of the replica for each event.
#[derive(Default)]
pub struct Got {
    pub events: Vec<(u64, String)>,
    pub is_complete: bool,
    /// Number of events when the stream first broke off at the client.
    pub before: Option<usize>,
}

/// Reads events until the stream ends or breaks.
fn read_events(conn: &mut Conn, got: &mut Got) -> io::Result<()> {
    let mut text = String::new();
    loop {
        let chunk = conn.read_chunk()?;
        if chunk.is_empty() {
            got.is_complete = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((event, rest)) = text.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
            if let (Some(id), Some(data)) = (field("id: "), field("data: ")) {
                got.events.push((id.parse().unwrap_or(0), data.to_owned()));
            }
            text = rest.to_owned();
        }
    }
}

/// One client: begins a stream at the first address, and takes it up at the others.
pub fn client(number: usize, adapters: usize, fronts: &[SocketAddr], record: &Record) -> Got {
    let mut got = Got::default();
    let end = Instant::now() + DEADLINE;
    let first = format!("s{number:03}t0");
    for attempt in 0..MAX_TRIES {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || got.is_complete {
            break;
        }
        let id = format!("s{number:03}t{attempt}");
        let front = fronts[attempt.min(1 + (number + attempt) % (fronts.len() - 1))];
        let last = got.events.last().map(|(id, _)| *id);
        let resumption = last.map_or_else(String::new, |last| {
            format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
        });
        let adapter = number % adapters;
        let request = format!(
            "POST /blurb/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Model: base/a{adapter}\r\nX-Token-Count: 100,180\r\nX-Prompt-Prefix: 5c:60,{:x}:40\r\n{resumption}Content-Length: 6\r\n\r\nprompt",
            left.as_millis(), 0x1000 + number
        );
        let mut wait = Duration::from_millis(50);
        let result = Conn::connect(front).and_then(|mut conn| {
            conn.stream.set_read_timeout(Some(left))?;
            conn.write(request.as_bytes())?;
            let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if head.status() != 200 {
                let after = head.get("retry-after").and_then(|v| v.parse::<f64>().ok());
                wait = after.map_or(wait, Duration::from_secs_f64);
                return Ok(head.status());
            }
            read_events(&mut conn, &mut got)?;
            Ok(200)
        });
        let outcome = result.map_or_else(|e| e.to_string(), |s| s.to_string());
        record.line(&format!(
            "client {number}: {id} at {front}, resumes after {last:?}: {outcome}, {} events so far",
            got.events.len()
        ));
        if !got.is_complete {
            got.before.get_or_insert(got.events.len());
            thread::sleep(wait);
        }
    }
    got
}

/// Returns the instance that the store names as the holder of the zone.
pub fn holder(store: &Store, zone: &str) -> Option<String> {
    let value = store.newest_value("keyed.caraway", &format!("holder/{zone}"))?;
    let rest = value.split_once("\"instance\":\"")?.1;
    Some(rest.split('"').next()?.to_owned())
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let zones = ["za", "zb"];
    let born = 1_700_000_000_000;
    let engine = |id: &str, zone: &str, software: &str, born| {
        Engine::start(id, zone, software, born, SPEC, record)
    };
    let old = [engine("i-11", "za", "v1", born)?, engine("i-12", "zb", "v1", born)?];
    for engine in &old {
        engine.register(&store);
    }
    store.put("keyed.op", "config", CONFIGURATION);
    let site = Site { zones: &zones, memory_mb: 260, store: store.addr };
    let mut gateways = Vec::new();
    for (name, zone) in [("g-a1", "za"), ("g-a2", "za"), ("g-b1", "zb"), ("g-b2", "zb")] {
        gateways.push(Gateway::start(&site, name, zone, folder)?);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(15)) {
            return Ok(Verdict::CouldNotRun);
        }
    }
    thread::sleep(Duration::from_secs(4));
    // Planned work: replicas of a newer software version join and serve beside the old ones.
    let new = [engine("i-21", "za", "v2", born + 9000)?, engine("i-22", "zb", "v2", born + 9000)?];
    for engine in &new {
        engine.register(&store);
    }
    thread::sleep(Duration::from_secs(2));
    let Some(name) = holder(&store, "za") else {
        return Ok(Verdict::CouldNotRun);
    };
    gateways.sort_by_key(|g| g.name != name);
    record.line(&format!("{name} holds za; the streams begin there"));
    let copy = store.copy();
    record.line("the copy of the store is taken");
    thread::sleep(Duration::from_millis(300));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|g| g.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(20) * number as u32);
                client(number, ADAPTERS, &fronts, &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2200));
    if has_trouble {
        record.line("the store is away");
        store.set_mode(Mode::Away);
        gateways[0].kill();
        record.line(&format!("{name} is killed"));
        thread::sleep(Duration::from_millis(600));
        // For comparison: the same kill and the same outage, but the store has lost nothing.
        if std::env::var("TROUBLE").as_deref() == Ok("kill") {
            store.set_mode(Mode::Up);
        } else {
            store.restore(copy);
        }
        // What the operator and the replicas wrote is written again.
        store.put("keyed.op", "config", CONFIGURATION);
        for engine in old.iter().chain(&new) {
            engine.write_entry(&store);
        }
        record.line("the store is back from the copy");
        thread::sleep(Duration::from_millis(1000));
        gateways[0].run()?;
    }
    let all: Vec<Got> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let mut joined = 0;
    let mut complete = 0;
    for (number, got) in all.iter().enumerate() {
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, software) in &got.events {
            *runs.entry(software).or_default() += 1;
        }
        complete += usize::from(got.is_complete);
        joined += usize::from(runs.len() > 1);
        record.line(&format!("stream {number}: complete {}, events by version {runs:?}", got.is_complete));
    }
    record.line(&format!("{complete} of {STREAMS} complete; {joined} hold events of two versions (allowed: 2)"));
    Ok(if joined > 2 { Verdict::Broken } else { Verdict::Held })
}
