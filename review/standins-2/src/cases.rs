//! The cases. Each returns whether the rule was broken.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Request, Response},
    site::{Gateway, HOST, Record, Replica, SIGKILL, Site, connect_small},
};

/// Number of requests that each replica works on at once; it rejects others.
const SLOTS: usize = 64;
const REPLICAS: [&str; 2] = ["i-1", "i-2"];

/// The ids of requests that a replica has run to their end.
type Runs = Arc<Mutex<HashSet<String>>>;

/// Starts three gateways and two replicas of a plain service whose requests may run once.
fn start<F>(record: &Record, timeout_ms: u64, handle: F) -> io::Result<(Site, Runs)>
where
    F: Fn(&Request) -> Response + Send + Sync + Clone + 'static,
{
    let mut site = Site::new("non_idempotent", timeout_ms)?;
    let runs = Runs::default();
    for id in REPLICAS {
        let (runs, record, handle) = (runs.clone(), record.clone(), handle.clone());
        let running = Arc::new(AtomicUsize::new(0));
        site.start_replica(id, 0, SLOTS, move |request| {
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
    for _ in 0..3 {
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
    let (site, runs) = start(record, 12_000, |request| {
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
    const PER_S: f64 = 10.5;
    // As in `troubles` of the small site files (class = "lot-blurb"), for 4.5 s.
    const BURST: f64 = 2.4;
    let (site, runs) = start(record, 5_000, |request| {
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
    // 3 s at the usual rate, 4.5 s of the burst, and the usual rate again.
    while begin.elapsed() < Duration::from_secs(9) && !platform.killed {
        let is_burst = trouble && (3.0..7.5).contains(&begin.elapsed().as_secs_f64());
        due = due.max(Instant::now())
            + Duration::from_secs_f64(1.0 / if is_burst { PER_S * BURST } else { PER_S });
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
    let (site, runs) = start(record, 5_000, move |request| {
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

/// Replicas that leave as planned, and gateways that have sent them nothing for a while.
pub fn leaving(record: &Record, trouble: bool) -> io::Result<bool> {
    const DRAIN: Duration = Duration::from_secs(2);
    // Replicas of the small sites stay this much longer.
    const LINGER: Duration = Duration::from_millis(1_500);
    const BEFORE_END: Duration = Duration::from_millis(150);
    const ROUNDS: usize = 4;
    const IDS: [&str; 3 + ROUNDS] = ["i-a0", "i-b0", "i-c0", "i-a1", "i-a2", "i-a3", "i-a4"];
    let mut site = Site::new("non_idempotent", 800)?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let start_replica = |site: &Site, n: usize, zone: usize| -> io::Result<Replica> {
        let (arrivals, replica) = (arrivals.clone(), IDS[n]);
        site.start_replica(replica, zone, 6, move |request| {
            let id = request.header("x-attempt-id").to_owned();
            let is_slow = request.path().ends_with("/slow");
            let at = Instant::now();
            arrivals
                .lock()
                .expect("lock")
                .push(Arrival { id, replica, at });
            thread::sleep(Duration::from_millis(if is_slow { 300 } else { 15 }));
            Response::new(200, "done")
        })
    };
    let mut replica = start_replica(&site, 0, 0)?;
    start_replica(&site, 1, 1)?;
    start_replica(&site, 2, 2)?;
    // Nine replicas of another service, as on the users' sites.
    for n in 0..9 {
        site.register_other(n);
    }
    for _ in 0..3 {
        site.start_gateway()?;
    }
    if !site.wait_ready() {
        return Err(io::Error::other("the gateways did not become ready"));
    }
    record.line("all gateways are ready");
    thread::sleep(Duration::from_secs(4));
    let (mut late, mut failed) = (0, 0);
    for round in 0..ROUNDS {
        let next = start_replica(&site, 3 + round, 0)?;
        record.line(format!(
            "round {round}: {} has started in place of {}",
            next.id, replica.id
        ));
        thread::sleep(Duration::from_millis(1_300));
        // 40 requests a second at the gateway of the replica's zone, all the time.
        let front = site.gateways[0].front;
        let end = Instant::now() + DRAIN + LINGER + Duration::from_millis(700);
        let usual = thread::spawn(move || {
            let mut clients = Vec::new();
            while Instant::now() < end {
                let id = format!("r{round}-{}", clients.len());
                clients.push(thread::spawn(move || ask(front, "/desk/x", &id)));
                thread::sleep(Duration::from_millis(25));
            }
            clients.into_iter().for_each(|c| drop(c.join()));
        });
        thread::sleep(Duration::from_millis(500));
        let acked = Instant::now();
        if trouble {
            replica.leave(&site.store);
            record.line(format!(
                "round {round}: {} is leaving, acknowledged by the store",
                replica.id
            ));
        }
        thread::sleep((DRAIN + LINGER - BEFORE_END).saturating_sub(acked.elapsed()));
        // Some requests at once at a gateway of another zone, which was idle.
        let gateway = &site.gateways[1 + round % 2];
        record.line(format!("round {round}: 12 requests at {}", gateway.name));
        let front = gateway.front;
        let clients: Vec<_> = (0..12)
            .map(|n| thread::spawn(move || (n, ask(front, "/desk/slow", &format!("x{round}-{n}")))))
            .collect();
        thread::sleep((DRAIN + LINGER).saturating_sub(acked.elapsed()));
        if trouble {
            replica.end(&site.store);
            record.line(format!("round {round}: {} has ended", replica.id));
        }
        for client in clients {
            let (n, status) = client.join().expect("a client does not panic");
            if !matches!(status, Ok(200)) {
                failed += 1;
                record.line(format!("x{round}-{n} ended with {status:?}"));
            }
        }
        usual.join().expect("a client does not panic");
        for arrival in arrivals
            .lock()
            .expect("lock")
            .iter()
            .filter(|a| a.replica == replica.id)
        {
            let after = arrival.at.saturating_duration_since(acked);
            if trouble && after > DRAIN {
                late += 1;
                let (id, after) = (&arrival.id, after.as_secs_f64());
                record.line(format!(
                    "{id} reached {} {after:.3} s after it was acknowledged as leaving",
                    replica.id
                ));
            }
        }
        replica = next;
    }
    record.line(format!(
        "{late} requests reached a replica later than DrainMs, the rule allows none; {failed} of {} requests failed",
        12 * ROUNDS
    ));
    Ok(late > 0)
}

/// A request that has reached a replica.
struct Arrival {
    id: String,
    replica: &'static str,
    at: Instant,
}

fn ask(addr: SocketAddr, path: &str, id: &str) -> io::Result<u16> {
    let mut client = Client::connect(addr)?;
    client.send("POST", HOST, path, id, 1_500, b"hello")?;
    let answer = client.read(|_| {})?;
    Ok(answer.status)
}

/// Replicas that say that they are brittle, and a burst that they could serve.
pub fn brittle(record: &Record, trouble: bool) -> io::Result<bool> {
    const IDS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
    const SLOTS: usize = 6;
    const WORK: Duration = Duration::from_millis(60);
    /// The number of rejections in a second that a replica bears.
    const BRITTLE: usize = 5;
    const PER_S: f64 = 150.0;
    const BURST: f64 = 1.7;
    let mut site = Site::new("non_idempotent", 800)?;
    let falls = Arc::new(AtomicUsize::new(0));
    for (n, id) in IDS.into_iter().enumerate() {
        let running = Arc::new(AtomicUsize::new(0));
        let rejected: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let own: Arc<Mutex<Option<Replica>>> = Arc::default();
        let (falls, record, replica) = (falls.clone(), record.clone(), own.clone());
        let started = site.start_replica(id, n % 3, SLOTS, move |_| {
            let is_full = running.fetch_add(1, Ordering::SeqCst) >= SLOTS;
            let response = if is_full {
                let mut rejected = rejected.lock().expect("lock");
                rejected.retain(|at| at.elapsed() < Duration::from_secs(1));
                rejected.push(Instant::now());
                if trouble && rejected.len() > BRITTLE {
                    rejected.clear();
                    let lost = running.load(Ordering::SeqCst);
                    record.line(format!("{id} has rejected more than {BRITTLE} in a second and falls over, with {lost} requests"));
                    falls.fetch_add(1, Ordering::SeqCst);
                    let replica = replica.lock().expect("lock");
                    replica.as_ref().expect("it has started").fall(Duration::from_secs(3));
                }
                Response::new(503, "full").with("x-not-executed", 1)
            } else {
                thread::sleep(WORK);
                Response::new(200, "done")
            };
            running.fetch_sub(1, Ordering::SeqCst);
            if !trouble {
                return response;
            }
            response.with("server-brittle", BRITTLE)
        })?;
        *own.lock().expect("lock") = Some(started);
    }
    for _ in 0..3 {
        site.start_gateway()?;
    }
    if !site.wait_ready() {
        return Err(io::Error::other("the gateways did not become ready"));
    }
    record.line("all gateways are ready");
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    let begin = Instant::now();
    let mut due = begin;
    let mut random = 0x2545_f491_4f6c_dd1d_u64;
    // 6 s at the usual rate, twice `ContactMs`, then 3 s of the burst, and the usual rate again.
    while begin.elapsed() < Duration::from_secs(12) {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let uniform = (random >> 11) as f64 / (1_u64 << 53) as f64;
        let is_burst = (6.0..9.0).contains(&begin.elapsed().as_secs_f64());
        let rate = if is_burst { PER_S * BURST } else { PER_S };
        due += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (n, front) = (clients.len(), site.gateways[clients.len() % 3].front);
        clients.push(thread::spawn(move || {
            ask(front, "/desk/x", &format!("b{n}"))
        }));
    }
    let total = clients.len();
    let ends = clients
        .into_iter()
        .map(|c| c.join().expect("a client does not panic"));
    let served = ends.filter(|status| matches!(status, Ok(200))).count();
    let falls = falls.load(Ordering::SeqCst);
    record.line(format!(
        "{falls} of {} replicas fell over, the rule allows 2; {served} of {total} requests were served",
        IDS.len()
    ));
    Ok(falls as f64 > 2.0 + 0.1 * IDS.len() as f64)
}
