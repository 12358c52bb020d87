//! Endpoints that limit the rate of requests from all instances together.

use std::{
    thread,
    time::{Duration, Instant},
};

use caraway_platform_standin::max_arrivals;

use crate::harness::{Gateway, Platform, WAIT_LIMIT, call, has_endpoints};

/// Limit of the endpoints, in requests per second, and as they state it.
const LIMIT: f64 = 5.0;
const LIMIT_TEXT: &str = "5";
/// Time after an instance has learned of a limit from which it must keep it.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// Time for which callers send requests, longer than the 4 s in which arrivals are counted.
const LOAD_TIME: Duration = Duration::from_millis(5500);
/// Callers of each instance.
const CALLERS: usize = 3;
/// Pause of a caller between requests.
const CALLER_PAUSE: Duration = Duration::from_millis(5);

/// Starts two instances that know the endpoints of the service `pair`.
fn start_gateways(platform: &Platform) -> [Gateway; 2] {
    ["gate-1", "gate-2"].map(|name| {
        let gateway = Gateway::start_as(platform.store_addr, name);
        gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
        gateway.wait_for("the zone's holder", || gateway.has_event(1200));
        gateway
    })
}

/// Sends requests through both instances until each knows the limit of `endpoint`, then from several
/// callers at once. Returns the answers, and the time from which the limit must be kept.
fn load(
    gateways: &[Gateway; 2],
    endpoint: &str,
    request: impl Fn(&Gateway, &str) -> String + Sync,
) -> (Instant, Vec<String>) {
    for gateway in gateways {
        let start = Instant::now();
        while !gateway.has_line(1123, "endpoint", endpoint) {
            assert!(start.elapsed() < WAIT_LIMIT, "the limit was not read");
            request(gateway, "first");
        }
    }
    thread::sleep(LEARNING_TIME);
    let since = Instant::now();
    let answers = thread::scope(|scope| {
        let request = &request;
        let callers = gateways
            .iter()
            .flat_map(|g| (0..CALLERS).map(move |c| (g, c)));
        let threads: Vec<_> = callers
            .map(|(gateway, caller)| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while since.elapsed() < LOAD_TIME {
                        let id = format!("{}-{caller}-{}", gateway.front.port(), answers.len());
                        answers.push(request(gateway, &id));
                        thread::sleep(CALLER_PAUSE);
                    }
                    answers
                })
            })
            .collect();
        let ended = threads.into_iter().map(|t| t.join().expect("no panic"));
        ended.flatten().collect()
    });
    (since, answers)
}

// Guards against: instances that together send an endpoint more requests than the limit it states.
#[test]
fn plain_endpoint_gets_no_more_than_its_limit_from_all_instances_together() {
    let platform = Platform::start();
    let gateways = start_gateways(&platform);
    platform.with_parts(|parts| parts.pair[0].arrivals().set_limit(Some(LIMIT_TEXT)));
    let (since, answers) = load(&gateways, "p-1", |gateway, id| {
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\n");
        call(gateway.front, "GET /pair/x", &headers, "")
    });
    let is_answered = |a: &&String| a.starts_with("HTTP/1.1 200");
    assert!(
        answers.iter().all(|a| is_answered(&a)),
        "the other endpoint has room: {:?}",
        answers.iter().find(|a| !is_answered(a))
    );
    let peak = platform.with_parts(move |parts| parts.pair[0].arrivals().peak(since));
    let allowed = max_arrivals(LIMIT);
    assert!(peak <= allowed, "{peak} in 4 s, allowed {allowed}");
}

// Guards against: instances that together send an engine more requests than the limit it states,
// though a holder grants each of them.
#[test]
fn engine_gets_no_more_than_its_limit_from_all_instances_together() {
    let platform = Platform::start();
    let gateways = start_gateways(&platform);
    platform.with_parts(|parts| parts.engine.arrivals().set_limit(Some(LIMIT_TEXT)));
    let (since, answers) = load(&gateways, "e-1", |gateway, id| {
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
             X-Deadline-Ms: 1000\r\n"
        );
        call(gateway.front, "POST /draft/x", &headers, "prompt")
    });
    let peak = platform.with_parts(move |parts| parts.engine.arrivals().peak(since));
    let allowed = max_arrivals(LIMIT);
    assert!(peak <= allowed, "{peak} in 4 s, allowed {allowed}");
    let is_answered = |a: &&String| a.starts_with("HTTP/1.1 200");
    assert!(answers.iter().any(|a| is_answered(&a)));
    for answer in answers.iter().filter(|a| !is_answered(a)) {
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        assert!(answer.contains("retry-after: "), "{answer}");
    }
}
