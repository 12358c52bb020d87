//! Clients upload bodies of the largest size that the configuration allows, and replicas read slowly.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    gateway::{Gateway, Site},
    http::{Conn, Head, serve},
    record::Record,
    store::Store,
};

/// `MemoryMb` of the settings, as in the users' smaller deployments.
const MEMORY_MB: u64 = 260;
/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
const UPLOADS: usize = 100;
/// Time between two uploads: 60 MB a second, half of what the machine's link carries.
const INTERVAL: Duration = Duration::from_millis(70);
const DEADLINE: Duration = Duration::from_secs(12);
/// What a slow replica reads: 16 KB each 30 ms, so that a body takes 8 s.
const SLOW_READ: (usize, Duration) = (16 << 10, Duration::from_millis(30));

const CONFIGURATION: &str = r#"{"Version":3,"Routes":[
{"Name":"status","Host":"h.example","PathPrefix":"/status/","Kind":"idempotent","TimeoutMs":2000,
"GoalMs":300,"Priority":1,"Service":"desk","MaxAttempts":2},
{"Name":"file","Host":"h.example","PathPrefix":"/file/","Kind":"non_idempotent","TimeoutMs":12000,
"GoalMs":4000,"Priority":1,"Service":"desk","MaxAttempts":1}],
"Services":[{"Name":"desk","HealthPath":"/healthz","MaxConns":370}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000}}"#;

/// What the replicas have seen of each request: whether it has arrived, and whether it has run.
type Seen = Arc<Mutex<HashMap<String, &'static str>>>;

fn replica(id: &'static str, seen: Seen, is_slow: bool, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    serve(listener, move |head, conn| {
        let request = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let is_upload = head.path().starts_with("/file/");
        if is_upload {
            record.line(&format!("replica {id}: {request} arrives"));
            seen.lock().expect("no panic").insert(request.clone(), "passed on");
        }
        let mut left = head.length().unwrap_or(0);
        let mut buf = vec![0; SLOW_READ.0];
        while left > 0 {
            let n = conn.read(&mut buf[..left.min(SLOW_READ.0)])?;
            if n == 0 {
                return Ok(false);
            }
            left -= n;
            if is_slow && is_upload {
                thread::sleep(SLOW_READ.1);
            }
        }
        if head.get("x-expect-replica") != Some(id) {
            conn.respond(421, "X-Not-Executed: 1\r\n", b"")?;
            return Ok(true);
        }
        if is_upload {
            seen.lock().expect("no panic").insert(request.clone(), "run");
            record.line(&format!("replica {id}: {request} runs"));
        }
        let headers = format!("X-Attempt-Id: {request}\r\nX-Server-Seal: {id}.{request}\r\n");
        conn.respond(200, &headers, b"done")?;
        Ok(true)
    });
    Ok(addr)
}

/// How an upload ended.
#[derive(Debug)]
enum End {
    Answered(u16),
    /// The connection closed without an answer; the last id that was sent.
    Closed(String),
}

/// Sends a request and returns the head of its answer.
fn exchange(conn: &mut Conn, id: &str, path: &str, left: Duration, body: &[u8]) -> io::Result<Head> {
    let (ms, len) = (left.as_millis(), body.len());
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {ms}\r\nContent-Length: {len}\r\n\r\n"
    );
    conn.stream.set_read_timeout(Some(left))?;
    conn.write(head.as_bytes())?;
    conn.write(body)?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    conn.read_body(&head)?;
    Ok(head)
}

/// Sends a short request and then, on the same connection, an upload; repeats it after a 503 as
/// `Retry-After` says, each time on a new connection and with a new id.
fn upload(front: SocketAddr, number: usize, record: &Record) -> End {
    let body = vec![b'x'; BODY_BYTES];
    let end = Instant::now() + DEADLINE;
    for attempt in 0.. {
        let left = end.saturating_duration_since(Instant::now());
        let id = format!("up{number:04}{attempt:04}");
        if left.is_zero() {
            return End::Answered(0);
        }
        let answer = Conn::connect(front).and_then(|mut conn| {
            exchange(&mut conn, &format!("s{id}"), "/status/x", left, b"")?;
            record.line(&format!("client {number}: sends {id} to {front}"));
            exchange(&mut conn, &id, "/file/x", left, &body)
        });
        match answer {
            Ok(head) => {
                record.line(&format!("client {number}: {id} gets {}", head.status()));
                let wait = head.get("retry-after").and_then(|v| v.parse::<f64>().ok());
                match (head.status(), wait) {
                    (503, Some(wait)) => thread::sleep(Duration::from_secs_f64(wait)),
                    (status, _) => return End::Answered(status),
                }
            }
            Err(error) => {
                record.line(&format!("client {number}: {id} gets no answer: {error}"));
                return End::Closed(id);
            }
        }
    }
    End::Answered(0)
}

pub fn run(record: &Record, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    let zones = ["za", "zb"];
    let seen = Seen::default();
    for (id, zone) in [("r-0a", "za"), ("r-1b", "zb"), ("r-2a", "za")] {
        let addr = replica(id, seen.clone(), has_trouble, record.clone())?;
        store.put("keyed.servers", id, &format!(
            r#"{{"Service":"desk","Address":"{addr}","Zone":"{zone}","Version":"v1","Slots":64,"State":"ready","ColdLeftMs":0,"born":1700000000000,"Seq":1}}"#));
    }
    store.put("keyed.op", "config", CONFIGURATION);
    let site = Site { zones: &zones, memory_mb: MEMORY_MB, store: store.addr };
    let mut first = Gateway::start(&site, "frontend-za-1", "za", folder)?;
    let second = Gateway::start(&site, "frontend-zb-1", "zb", folder)?;
    let limit = Duration::from_secs(15);
    if !first.wait_ready(limit) || !second.wait_ready(limit) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let front = first.front;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(INTERVAL * number as u32);
                upload(front, number, &record)
            })
        })
        .collect();
    // The platform: it kills a process that exceeds `MemoryMb`.
    let mut peak: f64 = 0.0;
    let mut was_killed = false;
    let end = Instant::now() + INTERVAL * UPLOADS as u32 + DEADLINE + Duration::from_secs(2);
    while Instant::now() < end && clients.iter().any(|c| !c.is_finished()) {
        if !was_killed {
            if first.has_exited() {
                record.line("the gateway has ended by itself");
                was_killed = true;
            }
            let resident = first.memory_mb("VmRSS");
            peak = peak.max(resident);
            if resident > MEMORY_MB as f64 {
                record.line(&format!("platform: {resident:.0} MB in use, limit {MEMORY_MB}: killed"));
                first.kill();
                was_killed = true;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    let ends: Vec<End> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let seen = seen.lock().expect("no panic");
    // LOST: passed on to a sound replica, and the kept connection is closed without an answer.
    let mut lost = 0;
    let mut statuses: HashMap<String, usize> = HashMap::new();
    for end in &ends {
        let label = match end {
            End::Closed(id) => {
                let is_passed_on = seen.contains_key(id);
                lost += usize::from(is_passed_on);
                format!("closed without an answer, passed on: {is_passed_on}")
            }
            End::Answered(status) => status.to_string(),
        };
        *statuses.entry(label).or_default() += 1;
    }
    record.line(&format!("memory at its peak {peak:.0} MB, killed: {was_killed}"));
    record.line(&format!("ends of the uploads: {statuses:?}"));
    record.line(&format!("passed on and closed without an answer: {lost} (allowed: 3)"));
    Ok(if lost > 3 { Verdict::Broken } else { Verdict::Held })
}
