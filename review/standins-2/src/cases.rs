//! The cases. Each returns whether the rule was broken.

use std::{
    collections::HashSet,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Request, Response},
    site::{Gateway, HOST, Record, SIGCONT, SIGKILL, SIGSTOP, Site, connect_small},
};

/// Number of requests that each replica works on at once; it rejects others.
const SLOTS: usize = 64;
const REPLICAS: [&str; 2] = ["i-1", "i-2"];

/// The ids of requests that a replica has run to their end.
type Runs = Arc<Mutex<HashSet<String>>>;

/// Starts gateways and two replicas of a plain service whose requests may run once.
fn start<F>(
    record: &Record,
    gateways: usize,
    timeout_ms: u64,
    handle: F,
) -> io::Result<(Site, Runs)>
where
    F: Fn(&Request) -> Response + Send + Sync + Clone + 'static,
{
    let mut site = Site::new("non_idempotent", timeout_ms)?;
    let runs = Runs::default();
    for id in REPLICAS {
        let (runs, record, handle) = (runs.clone(), record.clone(), handle.clone());
        let running = Arc::new(AtomicUsize::new(0));
        site.start_replica(id, SLOTS, move |request| {
            let attempt = request.header("x-attempt-id").to_owned();
            if running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                running.fetch_sub(1, Ordering::SeqCst);
                return Response::new(503, "full").with("x-not-executed", 1);
            }
            record.line(format!("replica {id} begins to run {attempt}"));
            let response = handle(&request);
            running.fetch_sub(1, Ordering::SeqCst);
            runs.lock().expect("lock").insert(attempt);
            response
        })?;
    }
    for _ in 0..gateways {
        site.start_gateway()?;
    }
    if !site.wait_ready() {
        return Err(io::Error::other("the gateways did not become ready"));
    }
    record.line("all gateways are ready");
    // Longer than `ContactMs`, so that all of them are in touch.
    thread::sleep(Duration::from_secs(4));
    Ok((site, runs))
}

/// Sends a short request on a new connection and reads its answer, so that the connection is a kept one.
fn keep(client: &mut Client, id: &str) -> io::Result<()> {
    client.send("POST", HOST, "/desk/short", id, 12_000, b"hello")?;
    let answer = client.read(|_| {})?;
    if answer.status == 200 && answer.broken.is_none() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "the first request on a connection got {}",
        answer.status
    )))
}

/// Clients that read long answers slowly and steadily, each well within its deadline.
pub fn slow_read(record: &Record, trouble: bool) -> io::Result<bool> {
    const LENGTH: usize = 600_000;
    const CLIENTS: usize = 6;
    const BYTES_PER_S: f64 = 75_000.0;
    // That of Linux where nothing else is set.
    const RECEIVE_BUFFER: i32 = 131_072;
    let (site, runs) = start(record, 3, 12_000, |request| {
        let len = if request.path().ends_with("/long") {
            LENGTH
        } else {
            100
        };
        Response::new(200, vec![b'x'; len])
    })?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, addr) = (record.clone(), site.gateways[n % 3].front);
            thread::spawn(move || -> io::Result<bool> {
                let mut client = Client::from_stream(connect_small(addr, RECEIVE_BUFFER)?)?;
                keep(&mut client, &format!("a{n}"))?;
                client.send(
                    "POST",
                    HOST,
                    "/desk/long",
                    &format!("b{n}"),
                    12_000,
                    b"hello",
                )?;
                let sent = Instant::now();
                record.line(format!(
                    "client {n} has sent b{n} on its kept connection, deadline 12000 ms"
                ));
                let answer = client.read(|received| {
                    if trouble {
                        let due = sent + Duration::from_secs_f64(received as f64 / BYTES_PER_S);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                    }
                });
                let took = sent.elapsed().as_secs_f64();
                let (text, is_complete) = match &answer {
                    Ok(a) => (a.describe(), a.status == 200 && a.broken.is_none()),
                    Err(e) => (format!("no answer: {e}"), false),
                };
                record.line(format!("client {n} after {took:.1} s: {text}"));
                Ok(is_complete)
            })
        })
        .collect();
    let mut incomplete = Vec::new();
    for (n, client) in clients.into_iter().enumerate() {
        if !client.join().expect("a client does not panic")? {
            incomplete.push(format!("b{n}"));
        }
    }
    let runs = runs.lock().expect("lock");
    let lost = incomplete.iter().filter(|id| runs.contains(*id)).count();
    record.line(format!(
        "{lost} of {CLIENTS} requests from kept connections were run to their end by a sound replica, and their \
         connection was closed without the whole answer; the rule allows 3"
    ));
    Ok(lost > 3)
}

/// A burst of requests with bodies that `MaxBodyBytes` allows.
pub fn memory(record: &Record, trouble: bool) -> io::Result<bool> {
    const MEMORY_MB: f64 = 260.0;
    const BODY_BYTES: usize = 4_000_000;
    const WORK: Duration = Duration::from_millis(2_600);
    const PER_S: f64 = 16.0;
    // As in `troubles` of the small site files, for 3 s.
    const BURST: f64 = 1.7;
    let (site, runs) = start(record, 3, 5_000, |request| {
        if request.path().ends_with("/long") {
            thread::sleep(WORK);
        }
        Response::new(200, "done")
    })?;
    let gateway = &site.gateways[0];
    let sent = Arc::new(Mutex::new(HashSet::new()));
    let body: Arc<[u8]> = vec![b'x'; BODY_BYTES].into();
    let mut clients = Vec::new();
    let mut platform = Platform {
        limit_mb: MEMORY_MB,
        peak_mb: 0.0,
        killed: false,
    };
    let begin = Instant::now();
    let mut due = begin;
    // 3 s at the usual rate, 3 s of the burst, and the usual rate again.
    while begin.elapsed() < Duration::from_secs(9) && !platform.killed {
        let is_burst = trouble && (3.0..6.0).contains(&begin.elapsed().as_secs_f64());
        due += Duration::from_secs_f64(1.0 / if is_burst { PER_S * BURST } else { PER_S });
        platform.watch_until(gateway, record, due);
        let n = clients.len();
        let (record, sent, body, addr) =
            (record.clone(), sent.clone(), body.clone(), gateway.front);
        clients.push(thread::spawn(move || -> io::Result<(String, bool)> {
            let mut client = Client::connect(addr)?;
            keep(&mut client, &format!("a{n}"))?;
            let id = format!("b{n}");
            sent.lock().expect("lock").insert(id.clone());
            let answer = client
                .send("POST", HOST, "/desk/long", &id, 5_000, &body)
                .and_then(|()| client.read(|_| {}));
            let is_answered = answer.as_ref().is_ok_and(|a| a.broken.is_none());
            let text = answer.map_or_else(|e| format!("no answer: {e}"), |a| a.describe());
            record.line(format!("{id} from a kept connection: {text}"));
            Ok((id, is_answered))
        }));
    }
    while clients.iter().any(|c| !c.is_finished()) {
        platform.watch_until(gateway, record, Instant::now() + Duration::from_millis(20));
    }
    thread::sleep(WORK);
    let runs = runs.lock().expect("lock");
    let ends = clients
        .into_iter()
        .filter_map(|c| c.join().expect("a client does not panic").ok());
    let lost = ends
        .filter(|(id, is_answered)| !is_answered && runs.contains(id))
        .count();
    record.line(format!(
        "{} requests with {BODY_BYTES} bytes each; peak memory {:.0} of {MEMORY_MB:.0} MB; {lost} requests from kept \
         connections were passed on to a sound replica and got no answer; the rule allows 3",
        sent.lock().expect("lock").len(),
        platform.peak_mb,
    ));
    Ok(platform.killed && lost > 3)
}

/// The platform, which kills a process that exceeds `MemoryMb`.
struct Platform {
    limit_mb: f64,
    peak_mb: f64,
    killed: bool,
}

impl Platform {
    fn watch_until(&mut self, gateway: &Gateway, record: &Record, end: Instant) {
        loop {
            let now = gateway.resident_mb();
            self.peak_mb = self.peak_mb.max(now);
            if now > self.limit_mb && !self.killed {
                self.killed = true;
                record.line(format!(
                    "the gateway has {now:.0} MB: the platform kills it"
                ));
                gateway.signal(SIGKILL);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(Duration::from_millis(5)));
        }
    }
}

/// Replicas that state the longest idle timeout that fits 64 bits.
pub fn keep_alive(record: &Record, trouble: bool) -> io::Result<bool> {
    const CLIENTS: usize = 8;
    let (site, runs) = start(record, 3, 5_000, move |request| {
        let is_long = trouble && request.path().ends_with("/long");
        let timeout = if is_long { u64::MAX } else { 5 };
        Response::new(200, "done").with("keep-alive", format!("timeout={timeout}"))
    })?;
    let mut unanswered = Vec::new();
    for n in 0..CLIENTS {
        let mut client = Client::connect(site.gateways[n % 3].front)?;
        keep(&mut client, &format!("a{n}"))?;
        let id = format!("b{n}");
        client.send("POST", HOST, "/desk/long", &id, 5_000, b"hello")?;
        match client.read(|_| {}) {
            Ok(answer) => record.line(format!(
                "{id} from a kept connection: {}",
                answer.describe()
            )),
            Err(e) => {
                record.line(format!("{id} from a kept connection: no answer: {e}"));
                unanswered.push(id);
            }
        }
    }
    for n in 0..3 {
        for line in site
            .log_of(n)
            .lines()
            .filter(|l| l.contains("panicked") || l.contains("overflow"))
        {
            record.line(format!("log of {}: {line}", site.gateways[n].name));
        }
    }
    let runs = runs.lock().expect("lock");
    let lost = unanswered.iter().filter(|id| runs.contains(*id)).count();
    record.line(format!(
        "{lost} of {CLIENTS} requests from kept connections were run to their end by a sound replica and got no answer; \
         the rule allows 3"
    ));
    Ok(lost > 3)
}

/// A gateway that is cut off from all replicas, and whose helper freezes.
pub fn frozen_helper(record: &Record, trouble: bool) -> io::Result<bool> {
    const TIMEOUT: Duration = Duration::from_millis(800);
    const DEADLINE_MS: u64 = 1_500;
    let (site, runs) = start(record, 5, 800, |_| {
        thread::sleep(Duration::from_millis(30));
        Response::new(200, "done")
    })?;
    if trouble {
        site.cut.store(site.gateways[0].pid(), Ordering::SeqCst);
        record.line(format!(
            "{} is cut off from all replicas",
            site.gateways[0].name
        ));
    }
    let begin = Instant::now();
    let mut clients = Vec::new();
    let mut n = 0;
    let mut is_frozen = false;
    while begin.elapsed() < Duration::from_secs(9) {
        let frozen = &site.gateways[1];
        let should = trouble && (4.0..7.4).contains(&begin.elapsed().as_secs_f64());
        if should != is_frozen {
            is_frozen = should;
            frozen.signal(if should { SIGSTOP } else { SIGCONT });
            record.line(format!(
                "{} {}",
                frozen.name,
                if should { "freezes" } else { "wakes again" }
            ));
        }
        // 40 requests a second, several at a time.
        for _ in 0..8 {
            n += 1;
            let (id, record, addr) = (format!("b{n}"), record.clone(), site.gateways[0].front);
            clients.push(thread::spawn(move || -> io::Result<(String, Duration)> {
                let mut client = Client::connect(addr)?;
                let sent = Instant::now();
                client.send("POST", HOST, "/desk/short", &id, DEADLINE_MS, b"hello")?;
                let answer = client.read(|_| {});
                let text = answer.map_or_else(|e| format!("no answer: {e}"), |a| a.describe());
                record.line(format!(
                    "{id} after {:.3} s: {text}",
                    sent.elapsed().as_secs_f64()
                ));
                Ok((id, sent.elapsed()))
            }));
        }
        thread::sleep(Duration::from_millis(200));
    }
    if is_frozen {
        site.gateways[1].signal(SIGCONT);
    }
    let ends: Vec<_> = clients
        .into_iter()
        .filter_map(|c| c.join().expect("a client does not panic").ok())
        .collect();
    let unanswered = ends.iter().filter(|(_, took)| *took > TIMEOUT).count();
    let late = ends
        .iter()
        .filter(|(_, took)| *took > TIMEOUT + Duration::from_millis(500))
        .count();
    record.line(format!(
        "{} requests, {} of them run; {unanswered} were unanswered at TimeoutMs, {late} of these still half a second later",
        ends.len(), runs.lock().expect("lock").len(),
    ));
    Ok(unanswered >= 8 && late * 2 > unanswered)
}
