//! Instances that reach no endpoint, while callers, the store and the other instances reach them.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use caraway_platform_standin::ProxyMode;
use socket2::{Domain, Socket, Type};

use crate::harness::{Gateway, Platform, call, has_endpoints};

/// Number of times that requests of each kind are sent to an instance.
const REQUESTS: usize = 12;
/// Numbers of requests of each kind that are sent at once: those that use open connections, and those
/// of which some need new ones.
const FEW: usize = 2;
const MANY: usize = 5;
/// Event of a request that was handed over to another instance.
const HANDED_OVER: u16 = 1408;
/// Event of an instance that has lost its way to all endpoints, or found it again.
const REACH_CHANGED: u16 = 1140;
/// Event of a zone that has another holder.
const HOLDER_CHANGED: u16 = 1200;
/// Event of the outcome of an order.
const ORDER_ENDED: u16 = 1300;
/// The lease in the settings of the gateways.
const LEASE: Duration = Duration::from_secs(3);

/// Starts two gateways; the first holds the zone.
pub(crate) fn start() -> (Platform, [Gateway; 2]) {
    let platform = Platform::start_proxied();
    let first = Gateway::start_as(platform.store_addr, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store_addr, "gate-2");
    for gateway in [&first, &second] {
        gateway.wait_for("the endpoints", || {
            has_endpoints(gateway, &["e-1", "p-1", "p-2", "l-1", "l-2"])
        });
    }
    second.wait_for("a session", || second.has_event(1210));
    (platform, [first, second])
}

/// Sets how the endpoints treat the connections of these gateways.
pub(crate) fn set_way(platform: &Platform, gateways: &[&Gateway], mode: ProxyMode) {
    let ids: Vec<u32> = gateways.iter().map(|g| g.child.id()).collect();
    platform.with_parts(move |parts| {
        for proxy in &parts.proxies {
            proxy.set_mode_of(&ids, mode);
        }
    });
}

/// Sends requests of each kind at once and returns the answers with their ids: `count` that may be
/// repeated, as many that may not, and as many streams with an adapter. They have a key, which only tests
/// with accounts use.
pub(crate) fn send_each_kind(gateway: &Gateway, name: &str, count: usize) -> Vec<(String, String)> {
    let lines = ["GET /pair/x", "POST /order/x", "POST /report/x"];
    thread::scope(|scope| {
        let calls = (0..count).flat_map(|n| lines.map(|line| (n, line)));
        let calls = calls.map(|(number, line)| {
            let id = format!("{name}-{number}-{}", line.replace([' ', '/'], "-"));
            let headers = format!(
                "X-Attempt-Id: {id}\r\nX-Model: base/a1\r\nX-Token-Count: 10,5\r\n\
                 X-Deadline-Ms: 4000\r\nAuthorization: Token sekret-1\r\n"
            );
            scope.spawn(move || (call(gateway.front, line, &headers, "body"), id))
        });
        let calls: Vec<_> = calls.collect();
        let answers = calls.into_iter().map(|c| c.join().expect("a call"));
        answers.collect()
    })
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

/// Checks that an instance serves requests of each kind, and that each runs once.
fn check_served(platform: &Platform, gateway: &Gateway, name: &str) {
    for number in 0..REQUESTS {
        for (answer, id) in send_each_kind(gateway, &format!("{name}{number}"), FEW) {
            assert!(is_served(&answer), "{answer}");
            assert!(answer.contains(&format!("x-server-seal: {id}")), "{answer}");
            assert_eq!(platform.ledger.runs(&id), 1, "{id}");
        }
    }
}

/// Cuts the zone's holder off, and checks what it and the other instance serve until it is back.
fn check_stranded(mode: ProxyMode) {
    let (platform, [cut, other]) = start();
    send_each_kind(&cut, "before", FEW);
    set_way(&platform, &[&cut], mode);
    let mut tries = 0;
    cut.wait_for("the knowledge of the cut", || {
        tries += 1;
        send_each_kind(&cut, &format!("meanwhile{tries}"), MANY);
        cut.has_event(REACH_CHANGED)
    });
    other.wait_to_hold("gate-2");
    // The next holder first learns what the engines hold.
    cut.wait_for("all kinds to be served", || {
        tries += 1;
        let answers = send_each_kind(&cut, &format!("meanwhile{tries}"), MANY);
        answers.iter().all(|(answer, _)| is_served(answer))
    });
    check_served(&platform, &cut, "cut");
    assert!(cut.has_event(HANDED_OVER));
    check_served(&platform, &other, "other");
    assert!(!other.has_event(HANDED_OVER));
    set_way(&platform, &[], ProxyMode::Pass);
    cut.wait_for("the way back", || {
        cut.has_line(REACH_CHANGED, "reach", "Open")
    });
    let handed = cut.count(HANDED_OVER);
    check_served(&platform, &cut, "after");
    assert_eq!(cut.count(HANDED_OVER), handed, "it serves them itself");
    for gateway in [&cut, &other] {
        assert!(!gateway.has_event(1126), "no request is in quarantine");
    }
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

// Guards against: callers of an instance whose connections to all endpoints are reset are refused, and
// those of others too, as the instance holds the zone.
#[test]
fn requests_of_an_instance_that_reaches_no_endpoint_are_served() {
    check_stranded(ProxyMode::Reset);
}

// Guards against: an instance whose open connections live on takes itself for reachable, though it can't
// open new ones.
#[test]
fn requests_of_an_instance_that_opens_no_connection_are_served() {
    check_stranded(ProxyMode::ResetNew);
}

// Guards against: requests are handed round among instances none of which reaches an endpoint, or wait
// until their deadline.
#[test]
fn requests_are_refused_at_once_when_no_instance_reaches_an_endpoint() {
    let (platform, gateways) = start();
    let [first, second] = &gateways;
    set_way(&platform, &[first, second], ProxyMode::Reset);
    let mut tries = 0;
    for gateway in &gateways {
        gateway.wait_for("the knowledge of the cut", || {
            tries += 1;
            send_each_kind(gateway, &format!("meanwhile{tries}"), MANY);
            gateway.has_event(REACH_CHANGED)
        });
    }
    for (answer, id) in send_each_kind(first, "refused", FEW) {
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
        assert_eq!(platform.ledger.runs(&id), 0);
    }
    set_way(&platform, &[], ProxyMode::Pass);
    for gateway in &gateways {
        gateway.wait_for("the way back", || {
            gateway.has_line(REACH_CHANGED, "reach", "Open")
        });
    }
    first.wait_for("all kinds to be served", || {
        tries += 1;
        thread::sleep(Duration::from_millis(50));
        let answers = send_each_kind(first, &format!("after{tries}"), FEW);
        answers.iter().all(|(answer, _)| is_served(answer))
    });
}

// Guards against: the trouble of a service whose endpoints are all down is taken for the instance's own.
#[test]
fn endpoints_that_are_down_are_not_taken_for_a_cut() {
    let (platform, gateways) = start();
    let [first, _] = &gateways;
    platform.with_parts(|parts| {
        // Those of the services `desk`, `flaky` and `pair`.
        for proxy in &parts.proxies[1..6] {
            proxy.set_mode(ProxyMode::Reset);
        }
    });
    for number in 0..REQUESTS {
        for (answer, id) in send_each_kind(first, &format!("down{number}"), FEW) {
            assert_eq!(is_served(&answer), id.ends_with("report-x"), "{answer}");
        }
    }
    assert!(!first.has_event(REACH_CHANGED));
}

/// Returns the orders that an instance has sent to an endpoint: when each ended, in milliseconds of the
/// day, and the instance.
fn orders<'a>(gateway: &Gateway, name: &'a str, endpoint: &str) -> Vec<(u64, &'a str)> {
    let lines = gateway.lines.lock().expect("no panic holds it");
    let sent = lines.iter().filter(|l| {
        let (event, end) = (&l["event"], &l["end"]);
        *event == ORDER_ENDED && l["endpoint"] == endpoint && *end != "not sent"
    });
    let times = sent.filter_map(|l| {
        let time = l["ts"].as_str()?.split_once('T')?.1.trim_end_matches('Z');
        let (hms, fraction) = time.split_once('.').unwrap_or((time, "0"));
        let mut seconds = hms.split(':').map(str::parse::<u64>);
        let seconds = seconds.try_fold(0, |sum, part| Some(sum * 60 + part.ok()?))?;
        let millis: u64 = format!("{fraction:0<3}")[..3].parse().ok()?;
        Some((seconds * 1000 + millis, name))
    });
    times.collect()
}

// Guards against: a zone that was handed over as its holder reached no endpoint is handed back within the
// lease, and its engines get orders of the two in turns.
#[test]
fn zone_that_is_handed_back_gets_no_orders_within_the_lease() {
    let (platform, [first, second]) = start();
    let mut tries = 0;
    let mut send_to = |gateway: &Gateway| {
        tries += 1;
        // Each request needs an adapter that is not loaded.
        for (number, line) in ["POST /report/x", "POST /lab/x"].into_iter().enumerate() {
            let headers = format!(
                "X-Attempt-Id: t{tries}-{number}\r\nX-Model: base/t{tries}\r\n\
                 X-Token-Count: 10,5\r\nX-Deadline-Ms: 400\r\n"
            );
            call(gateway.front, line, &headers, "body");
        }
    };
    send_to(&first);
    set_way(&platform, &[&first], ProxyMode::Reset);
    first.wait_for("the knowledge of the cut", || {
        send_to(&first);
        first.has_event(REACH_CHANGED)
    });
    second.wait_to_hold("gate-2");
    set_way(&platform, &[], ProxyMode::Pass);
    first.wait_for("the way back", || {
        send_to(&second);
        first.has_line(REACH_CHANGED, "reach", "Open")
    });
    set_way(&platform, &[&second], ProxyMode::Reset);
    let terms = first.count(HOLDER_CHANGED);
    first.wait_for("the zone", || {
        send_to(&second);
        first.count(HOLDER_CHANGED) > terms
    });
    let back_at = Instant::now();
    while back_at.elapsed() < LEASE * 2 {
        send_to(&first);
    }
    for endpoint in ["e-1", "l-1", "l-2"] {
        let mut all = orders(&first, "gate-1", endpoint);
        all.extend(orders(&second, "gate-2", endpoint));
        all.sort_unstable();
        let last_of_second = all.iter().rposition(|(_, name)| *name == "gate-2");
        let Some(last) = last_of_second.filter(|last| last + 1 < all.len()) else {
            continue;
        };
        let pause = Duration::from_millis(all[last + 1].0 - all[last].0);
        assert!(pause >= LEASE, "{endpoint}: {pause:?}");
    }
    assert!(orders(&second, "gate-2", "e-1").len() > 1, "it has ordered");
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// Returns an address where connections hang while they are established, and the sockets that cause it.
fn start_hanging_listener() -> (SocketAddr, Socket, Vec<TcpStream>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let addr = addr.as_socket().expect("an IP address");
    let mut waiting = Vec::new();
    // The queue of connections that nobody accepts is full once one takes too long.
    while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
        waiting.push(stream);
    }
    (addr, listener, waiting)
}

// Guards against: a request that was never sent, as its connections hung, is said to be in doubt, so that
// its caller can't send it again.
#[test]
fn request_whose_connections_hang_is_not_run() {
    let platform = Platform::start();
    let (addr, _listener, _waiting) = start_hanging_listener();
    for id in ["p-1", "p-2"] {
        let entry = caraway_platform_standin::registry_entry("pair", "z1", addr, 2, None);
        platform.publish("keyed.servers", id, entry);
    }
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    for line in ["POST /order/x", "GET /pair/x"] {
        let headers = "X-Attempt-Id: r1\r\nX-Deadline-Ms: 300\r\n";
        let answer = call(gateway.front, line, headers, "");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
    }
}
