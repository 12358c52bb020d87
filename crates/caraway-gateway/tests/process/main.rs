//! Tests of the gateway process with a stand-in of the platform.

mod accounts;
mod builds;
mod deadly_prompts;
mod deadly_requests;
mod endpoint_signals;
mod faulty;
mod harness;
mod limits;
mod plain_results;
mod processor_time;
mod quotas;
mod software_versions;
mod stop;
mod store_era;
mod stranded;

use std::{io::Write, net::TcpStream, process::Command, thread, time::Duration};

use caraway_platform_standin::{OrderHandling, ProxyMode, StoreMode};
use harness::{Gateway, Platform, WAIT_LIMIT, call};
use serde_json::json;

/// Headers of a request to the route `draft` for the adapter `a7`. The caller must not be able to set
/// `X-Hold`.
const DRAFT_HEADERS: &str = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
    X-Deadline-Ms: 4000\r\nX-Hold: stolen\r\n";

#[test]
fn requests_are_served_and_the_daemon_stops() {
    let platform = Platform::start();
    let mut gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));

    let answer = call(gateway.front, "GET /status/lot", "X-Attempt-Id: r0\r\n", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("r0"), "{answer}");

    let answer = call(gateway.front, "POST /draft/x?y=1", DRAFT_HEADERS, "prompt");
    assert!(answer.contains("x-server-seal: r1"), "{answer}");
    assert!(
        answer.contains("id: 1\ndata: r1 1\n\n") && answer.contains("id: 4\ndata: r1 4\n\n"),
        "{answer}"
    );

    let missing = call(gateway.front, "GET /none/", "X-Attempt-Id: r2\r\n", "");
    assert!(missing.starts_with("HTTP/1.1 404"), "{missing}");
    let bad = "X-Attempt-Id: r3\r\nX-Deadline-Ms: soon\r\n";
    let bad = call(gateway.front, "GET /status/lot", bad, "");
    assert!(
        bad.starts_with("HTTP/1.1 400") && bad.contains("x-deadline-ms"),
        "{bad}"
    );

    let loads = platform.with_parts(|parts| parts.engine.accepted_loads());
    assert_eq!(
        loads,
        [("a7".to_owned(), 0)],
        "one order loaded the adapter for the request"
    );
    let headers = platform.ledger.headers("r1").expect("a run");
    assert_eq!(headers["x-expect-replica"], "e-1");
    assert!(
        !headers.contains_key("x-hold"),
        "the caller's header is not forwarded"
    );
    assert_eq!(platform.ledger.requests().len(), 2, "nothing else ran");
    assert_eq!(platform.ledger.violations(), [""; 0]);

    gateway.stop();
    gateway.wait_for("the end of readiness", || {
        !call(gateway.ready, "GET /v1/readyz", "", "").starts_with("HTTP/1.1 200")
    });
    let status = gateway.child.wait().expect("the daemon ends");
    assert!(status.success(), "{status}");
    gateway.wait_for("its last line", || gateway.has_event(1002));
    assert!(gateway.has_event(1202), "it released its zone");
}

/// A resumable stream takes several times as long as the timeout of its first event. That timeout
/// must not limit the whole stream: the engine may stream until the caller's deadline.
#[test]
fn long_resumable_stream_runs_once() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let pause = Duration::from_millis(300);
    platform.with_parts(move |parts| parts.engine.set_event_interval(pause));
    let headers = DRAFT_HEADERS.replace("Ms: 4000", "Ms: 9000");
    let answer = call(gateway.front, "POST /summary/x", &headers, "prompt");
    assert!(answer.contains("id: 4\ndata: r1 4\n\n"), "{answer}");
    assert_eq!(platform.ledger.runs("r1"), 1);
    assert!(!gateway.has_event(1406), "nothing was resumed");
}

#[test]
fn newer_configuration_comes_into_force() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    let get_moved = || call(gateway.front, "GET /moved/lot", "X-Attempt-Id: r1\r\n", "");
    assert!(get_moved().starts_with("HTTP/1.1 404"));
    let config = serde_json::json!({"Version": 9, "Routes": [
        {"Name": "moved", "Host": "h.example", "PathPrefix": "/moved/", "Kind": "idempotent",
         "TimeoutMs": 2000, "Service": "desk"}], "Services": [{"Name": "desk"}]});
    platform.publish("keyed.op", "config", config);
    gateway.wait_for("the new route", || get_moved().starts_with("HTTP/1.1 200"));
    let older = serde_json::json!({"Version": 4, "Routes": [], "Services": []});
    platform.publish("keyed.op", "config", older);
    platform.publish("keyed.op", "config", serde_json::json!("no configuration"));
    gateway.wait_for("the finding", || gateway.has_event(1101));
    assert!(
        get_moved().starts_with("HTTP/1.1 200"),
        "an older version changes nothing"
    );
}

#[test]
fn all_findings_on_invalid_settings_are_reported() {
    let path = std::env::temp_dir().join(format!("caraway-bad-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"NodeName": 5, "Zone": "z"}"#).expect("a file");
    let run = Command::new(env!("CARGO_BIN_EXE_caraway-gateway"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the program runs");
    assert_eq!(run.status.code(), Some(2));
    let stderr = String::from_utf8_lossy(&run.stderr);
    for place in [
        "/NodeName:",
        "/Zones:",
        "/Ip:",
        "/Listen:",
        "/Bounds:",
        "/Platform:",
    ] {
        assert!(stderr.contains(place), "{place} is missing in\n{stderr}");
    }
}

/// One endpoint of the service runs each request and closes the connection, the other refuses it as
/// not run. A request that has run at the first must not be reported to the caller as not run.
#[test]
fn request_that_may_have_run_is_not_reported_as_not_run() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the endpoints", || {
        let lines = gateway.lines.lock().expect("no panic holds it");
        lines
            .iter()
            .any(|l| l["event"] == 1120 && l["endpoint"] == "f-2")
    });
    for number in 0..8 {
        let id = format!("X-Attempt-Id: flaky-{number}\r\n");
        let answer = call(gateway.front, "GET /flaky/x", &id, "");
        let ran = platform.ledger.runs(&format!("flaky-{number}")) > 0;
        let says_not_run = answer.contains("\"not_run\"") || answer.starts_with("HTTP/1.1 503");
        assert!(!(ran && says_not_run), "it ran: {answer}");
    }
    let ran = platform.ledger.requests();
    assert!(!ran.is_empty(), "some of them ran");
}

/// While the store is unavailable, no instance can claim a zone, so that a stopping holder must hand
/// its zone over to another instance directly.
#[test]
fn stopping_holder_hands_over_its_zone_without_the_store() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.store_proxy_addr, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store_proxy_addr, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    platform.with_parts(|parts| parts.store.set_mode(StoreMode::Away));
    first.stop();
    second.wait_to_hold("gate-2");

    let answer = call(second.front, "POST /draft/x?y=1", DRAFT_HEADERS, "prompt");
    assert!(answer.contains("x-server-seal: r1"), "{answer}");
    let loads = platform.with_parts(|parts| parts.engine.accepted_loads());
    assert_eq!(
        loads,
        [("a7".to_owned(), 1)],
        "loaded with the token that follows the first holder's"
    );
    platform.with_parts(|parts| parts.store.set_mode(StoreMode::Up));
    second.wait_for("the record of the zone", || {
        second.has_line(1201, "outcome", "offset 1")
    });
    let again = DRAFT_HEADERS
        .replace("base/a7", "base/a8")
        .replace("r1", "r2");
    let answer = call(second.front, "POST /draft/x?y=1", &again, "prompt");
    assert!(answer.contains("x-server-seal: r2"), "{answer}");
    let loads = platform.with_parts(|parts| parts.engine.accepted_loads());
    assert_eq!(
        loads[1],
        ("a8".to_owned(), 256),
        "loaded with the token of the record"
    );
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// Requests are waiting for a load when the holder is stopped. They must not be lost but go to the
/// placer of the next holder.
#[test]
fn requests_pending_at_a_stopping_holder_are_served_by_the_next() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.store_addr, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store_addr, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    // Orders get no answer before their timeout, so that the requests wait for the load.
    platform.with_parts(|parts| {
        parts
            .engine
            .set_order_handling(OrderHandling::LateUnanswered(Duration::from_millis(700)));
    });
    let callers: Vec<_> = [(first.front, "r1"), (second.front, "r2")]
        .into_iter()
        .map(|(front, id)| {
            let headers = DRAFT_HEADERS.replace("r1", id);
            thread::spawn(move || call(front, "POST /draft/x?y=1", &headers, "prompt"))
        })
        .collect();
    first.wait_for("the order", || first.has_event(1300));
    platform.with_parts(|parts| parts.engine.set_order_handling(OrderHandling::Immediate));
    first.stop();
    for (caller, id) in callers.into_iter().zip(["r1", "r2"]) {
        let answer = caller.join().expect("the caller ends");
        assert!(answer.contains(&format!("x-server-seal: {id}")), "{answer}");
    }
    assert!(second.has_line(1200, "holder", "gate-2"));
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// A weak instance has claimed a zone, as after all strong ones were killed. When a strong instance
/// starts, it must take the zone over with the next token while requests are still served.
#[test]
fn weak_holder_hands_over_its_zone_to_a_strong_instance() {
    let platform = Platform::start();
    let weak = Gateway::start_weak(platform.store_addr, "gate-1");
    weak.wait_to_hold("gate-1");
    let before = DRAFT_HEADERS
        .replace("base/a7", "base/a8")
        .replace("r1", "r0");
    let answer = call(weak.front, "POST /draft/x?y=1", &before, "prompt");
    assert!(answer.contains("x-server-seal: r0"), "{answer}");

    let strong = Gateway::start_as(platform.store_addr, "gate-2");
    strong.wait_to_hold("gate-2");
    weak.wait_for("the end of its holding", || {
        weak.has_line(1202, "successor", "gate-2")
    });
    let third = Gateway::start_weak(platform.store_addr, "gate-3");
    third.wait_for("its session", || third.has_event(1210));
    for (gateway, id) in [(&weak, "r1"), (&strong, "r2"), (&third, "r3")] {
        let headers = DRAFT_HEADERS.replace("r1", id);
        let answer = call(gateway.front, "POST /draft/x?y=1", &headers, "prompt");
        assert!(answer.contains(&format!("x-server-seal: {id}")), "{answer}");
    }
    strong.wait_for("the record of the zone", || {
        strong.has_line(1201, "outcome", "offset 1")
    });
    assert!(
        !strong.has_event(1202),
        "the zone stays with the strong instance"
    );
    let loads = platform.with_parts(|parts| parts.engine.accepted_loads());
    let [("a8", 0), ("a7", 1 | 256)] =
        loads.iter().map(|(a, t)| (&**a, *t)).collect::<Vec<_>>()[..]
    else {
        panic!("loads with the tokens of both holders: {loads:?}");
    };
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// The store rejects the connections of the zone's holder and drops its history, while another
/// instance of the zone can still read it. The new configuration must reach both.
#[test]
fn configuration_reaches_instances_that_the_store_rejects() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.store_proxy_addr, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store_addr, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    platform.with_parts(|parts| {
        parts.store_proxy.set_mode(ProxyMode::Reset);
        parts.store.compact();
    });
    first.wait_for("the loss of the store", || first.has_event(1110));
    let config = serde_json::json!({"Version": 9, "Routes": [
        {"Name": "moved", "Host": "h.example", "PathPrefix": "/moved/", "Kind": "idempotent",
         "TimeoutMs": 2000, "Service": "desk"}], "Services": [{"Name": "desk"}]});
    platform.publish("keyed.op", "config", config);
    for gateway in [&second, &first] {
        let get_moved = || call(gateway.front, "GET /moved/lot", "X-Attempt-Id: r1\r\n", "");
        gateway.wait_for("the new route", || get_moved().starts_with("HTTP/1.1 200"));
    }
}

/// An engine has accepted an order of another holder with a later token, so that it rejects those of
/// this holder. The instance must release its zone, claim it again and use the new record's token.
#[test]
fn superseded_holder_claims_its_zone_again() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let engine = platform.with_parts(|parts| parts.engine_addr);
    let order = r#"{"Operation":"load","Model":"base","Adapter":"a1","Holder":"other",
        "FencingToken":100}"#;
    let answer = call(engine, "POST /v1/order", "", order);
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    let post_draft = || call(gateway.front, "POST /draft/x?y=1", DRAFT_HEADERS, "prompt");
    gateway.wait_for("an answer", || post_draft().contains("x-server-seal: r1"));
    assert!(gateway.has_event(1202), "it released the zone");
    let loads = platform.with_parts(|parts| parts.engine.accepted_loads());
    assert_eq!(loads.last(), Some(&("a7".to_owned(), 256)));
}

#[test]
fn caller_that_disconnects_before_the_first_event_is_logged() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    // Orders get no answer, so that the request waits for the load.
    platform.with_parts(|parts| {
        parts
            .engine
            .set_order_handling(OrderHandling::LateUnanswered(WAIT_LIMIT));
    });
    let mut caller = TcpStream::connect(gateway.front).expect("a connection");
    let request = format!(
        "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\n{DRAFT_HEADERS}\r\nprompt"
    );
    caller
        .write_all(request.as_bytes())
        .expect("the request is sent");
    gateway.wait_for("the order", || gateway.has_event(1300));
    drop(caller);
    gateway.wait_for("the line", || gateway.has_line(1405, "request", "r1"));
}

// Guards against: one odd entry among those of the endpoints ends the process, or its reader of the
// registry.
#[test]
fn registry_is_followed_beyond_odd_entries() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    let mut odd = platform.pair_entry(0);
    odd["State"] = json!("draining");
    odd["RemainingMs"] = json!(1e300);
    platform.publish("keyed.servers", "odd-1", odd.clone());
    odd["RemainingMs"] = json!(-1e300);
    odd["Address"] = json!("10.0.0.1:65536");
    platform.publish("keyed.servers", "odd-2", odd.clone());
    let mut nested = json!(1);
    for _ in 0..1000 {
        nested = json!([nested]);
    }
    odd["More"] = nested;
    platform.publish("keyed.servers", "odd-3", odd);
    platform.publish("keyed.servers", "last", platform.pair_entry(0));
    gateway.wait_for("the entry after them", || {
        harness::has_endpoints(&gateway, &["last"])
    });
    let answer = call(gateway.front, "GET /pair/x", "X-Attempt-Id: r1\r\n", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
