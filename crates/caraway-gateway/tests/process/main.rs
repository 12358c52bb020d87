//! The program itself in front of a stand-in of the platform.

mod asked;
mod faulty;
mod standin;
mod stop;

use std::{io::Write, net::TcpStream, process::Command, thread, time::Duration};

use caraway_platform_standin::{OrderHandling, ProxyMode, StoreMode};
use standin::{Gateway, PATIENCE, Platform, call};

const DRAFT: &str = "X-Attempt-Id: r1\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
    X-Deadline-Ms: 4000\r\nX-Hold: stolen\r\n";

#[test]
fn requests_pass_and_the_daemon_stops() {
    let platform = Platform::start();
    let mut gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));

    let answer = call(gateway.front, "GET /status/lot", "X-Attempt-Id: r0\r\n", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("r0"), "{answer}");

    let answer = call(gateway.front, "POST /draft/x?y=1", DRAFT, "prompt");
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

    let loads = platform.act(|parts| parts.engine.accepted_loads());
    assert_eq!(
        loads,
        [("a7".to_owned(), 0)],
        "the adapter was loaded for the request, by one order"
    );
    let headers = platform.ledger.headers("r1").expect("a run");
    assert_eq!(headers["x-expect-replica"], "e-1");
    assert!(!headers.contains_key("x-hold"), "only the system sets it");
    assert_eq!(platform.ledger.requests().len(), 2, "nothing else ran");
    assert_eq!(platform.ledger.violations(), [""; 0]);

    gateway.stop();
    gateway.wait_for("the end of readiness", || {
        !call(gateway.ready, "GET /v1/readyz", "", "").starts_with("HTTP/1.1 200")
    });
    let status = gateway.child.wait().expect("the daemon ends");
    assert!(status.success(), "{status}");
    gateway.wait_for("its last line", || gateway.has_event(1002));
    assert!(gateway.has_event(1202), "it gave its zone up");
}

/// A stream that may go on elsewhere lasts several times as long as its first event is awaited: the
/// engine may work on it until the caller's deadline.
#[test]
fn a_long_stream_that_may_be_resumed_runs_once() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let pause = Duration::from_millis(300);
    platform.act(move |parts| parts.engine.set_event_interval(pause));
    let headers = DRAFT.replace("Ms: 4000", "Ms: 9000");
    let answer = call(gateway.front, "POST /summary/x", &headers, "prompt");
    assert!(answer.contains("id: 4\ndata: r1 4\n\n"), "{answer}");
    assert_eq!(platform.ledger.runs("r1"), 1);
    assert!(!gateway.has_event(1406), "nothing was resumed");
}

#[test]
fn a_new_configuration_comes_into_force() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    let ask = || call(gateway.front, "GET /moved/lot", "X-Attempt-Id: r1\r\n", "");
    assert!(ask().starts_with("HTTP/1.1 404"));
    let config = serde_json::json!({"Version": 9, "Routes": [
        {"Name": "moved", "Host": "h.example", "PathPrefix": "/moved/", "Kind": "idempotent",
         "TimeoutMs": 2000, "Service": "desk"}], "Services": [{"Name": "desk"}]});
    platform.publish("keyed.op", "config", config);
    gateway.wait_for("the new route", || ask().starts_with("HTTP/1.1 200"));
    let older = serde_json::json!({"Version": 4, "Routes": [], "Services": []});
    platform.publish("keyed.op", "config", older);
    platform.publish("keyed.op", "config", serde_json::json!("no configuration"));
    gateway.wait_for("the finding", || gateway.has_event(1101));
    assert!(
        ask().starts_with("HTTP/1.1 200"),
        "an older version changes nothing"
    );
}

#[test]
fn bad_settings_are_reported_together() {
    let path = std::env::temp_dir().join(format!("caraway-bad-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"NodeName": 5, "Zone": "z"}"#).expect("a file");
    let run = Command::new(env!("CARGO_BIN_EXE_caraway-gateway"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the program runs");
    assert_eq!(run.status.code(), Some(2));
    let told = String::from_utf8_lossy(&run.stderr);
    for place in [
        "/NodeName:",
        "/Zones:",
        "/Ip:",
        "/Listen:",
        "/Bounds:",
        "/Platform:",
    ] {
        assert!(told.contains(place), "{place} is missing in\n{told}");
    }
}

/// One endpoint of the service runs requests and breaks off, the other says that it ran none.
#[test]
fn a_request_that_an_endpoint_may_have_run_is_not_called_not_run() {
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

/// Instances are stopped one after the other while the store is away: nobody can claim a zone, so
/// the one that stops hands it over.
#[test]
fn a_stopping_holder_hands_its_zone_over_without_the_store() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.way, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.way, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    platform.act(|parts| parts.store.set_mode(StoreMode::Away));
    first.stop();
    second.wait_to_hold("gate-2");

    let answer = call(second.front, "POST /draft/x?y=1", DRAFT, "prompt");
    assert!(answer.contains("x-server-seal: r1"), "{answer}");
    let loads = platform.act(|parts| parts.engine.accepted_loads());
    assert_eq!(
        loads,
        [("a7".to_owned(), 1)],
        "by the token after the first holder's"
    );
    platform.act(|parts| parts.store.set_mode(StoreMode::Up));
    second.wait_for("the record of the zone", || {
        second.has_line(1201, "outcome", "offset 1")
    });
    let again = DRAFT.replace("base/a7", "base/a8").replace("r1", "r2");
    let answer = call(second.front, "POST /draft/x?y=1", &again, "prompt");
    assert!(answer.contains("x-server-seal: r2"), "{answer}");
    let loads = platform.act(|parts| parts.engine.accepted_loads());
    assert_eq!(loads[1], ("a8".to_owned(), 256), "by the record's token");
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// Requests wait for a load when the holder is told to stop: they are asked again at its follower.
#[test]
fn requests_that_wait_at_a_stopping_holder_are_served_by_the_next() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.store, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    // The adapter's load gets no answer, so that the requests wait.
    platform.act(|parts| {
        parts
            .engine
            .set_order_handling(OrderHandling::LateUnanswered(Duration::from_millis(700)));
    });
    let callers: Vec<_> = [(first.front, "r1"), (second.front, "r2")]
        .into_iter()
        .map(|(front, id)| {
            let headers = DRAFT.replace("r1", id);
            thread::spawn(move || call(front, "POST /draft/x?y=1", &headers, "prompt"))
        })
        .collect();
    first.wait_for("the order", || first.has_event(1300));
    platform.act(|parts| parts.engine.set_order_handling(OrderHandling::Immediate));
    first.stop();
    for (caller, id) in callers.into_iter().zip(["r1", "r2"]) {
        let answer = caller.join().expect("the caller ends");
        assert!(answer.contains(&format!("x-server-seal: {id}")), "{answer}");
    }
    assert!(second.has_line(1200, "holder", "gate-2"));
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// A zone whose strong instances were killed was claimed by a weak one, and a strong one is back:
/// it takes the zone, by the next token, and requests go on.
#[test]
fn a_weak_holder_hands_its_zone_over_to_a_strong_instance() {
    let platform = Platform::start();
    let weak = Gateway::start_weak(platform.store, "gate-1");
    weak.wait_to_hold("gate-1");
    let before = DRAFT.replace("base/a7", "base/a8").replace("r1", "r0");
    let answer = call(weak.front, "POST /draft/x?y=1", &before, "prompt");
    assert!(answer.contains("x-server-seal: r0"), "{answer}");

    let strong = Gateway::start_as(platform.store, "gate-2");
    strong.wait_to_hold("gate-2");
    weak.wait_for("the end of its holding", || {
        weak.has_line(1202, "successor", "gate-2")
    });
    let third = Gateway::start_weak(platform.store, "gate-3");
    third.wait_for("its session", || third.has_event(1210));
    for (gateway, id) in [(&weak, "r1"), (&strong, "r2"), (&third, "r3")] {
        let headers = DRAFT.replace("r1", id);
        let answer = call(gateway.front, "POST /draft/x?y=1", &headers, "prompt");
        assert!(answer.contains(&format!("x-server-seal: {id}")), "{answer}");
    }
    strong.wait_for("the record of the zone", || {
        strong.has_line(1201, "outcome", "offset 1")
    });
    assert!(
        !strong.has_event(1202),
        "the zone stays with the strong one"
    );
    let loads = platform.act(|parts| parts.engine.accepted_loads());
    let [("a8", 0), ("a7", 1 | 256)] =
        loads.iter().map(|(a, t)| (&**a, *t)).collect::<Vec<_>>()[..]
    else {
        panic!("loads by the tokens of both: {loads:?}");
    };
    assert_eq!(platform.ledger.violations(), [""; 0]);
}

/// The store turns the holder of a zone away and drops its history, while another instance of the
/// zone reads it: both must have the new configuration.
#[test]
fn a_configuration_reaches_instances_that_the_store_turns_away() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.way, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store, "gate-2");
    second.wait_for("its session", || second.has_event(1210));
    platform.act(|parts| {
        parts.way.set_mode(ProxyMode::Reset);
        parts.store.compact();
    });
    first.wait_for("the loss of the store", || first.has_event(1110));
    let config = serde_json::json!({"Version": 9, "Routes": [
        {"Name": "moved", "Host": "h.example", "PathPrefix": "/moved/", "Kind": "idempotent",
         "TimeoutMs": 2000, "Service": "desk"}], "Services": [{"Name": "desk"}]});
    platform.publish("keyed.op", "config", config);
    for gateway in [&second, &first] {
        let ask = || call(gateway.front, "GET /moved/lot", "X-Attempt-Id: r1\r\n", "");
        gateway.wait_for("the new route", || ask().starts_with("HTTP/1.1 200"));
    }
}

/// Another holder's order with a later token reaches an engine: the instance gives its zone up,
/// claims it anew, and orders again by the new record's token.
#[test]
fn a_holder_that_was_overtaken_claims_its_zone_anew() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let engine = platform.act(|parts| parts.engine_addr);
    let order = r#"{"Operation":"load","Model":"base","Adapter":"a1","Holder":"other",
        "FencingToken":100}"#;
    let answer = call(engine, "POST /v1/order", "", order);
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    let ask = || call(gateway.front, "POST /draft/x?y=1", DRAFT, "prompt");
    gateway.wait_for("an answer", || ask().contains("x-server-seal: r1"));
    assert!(gateway.has_event(1202), "it gave the zone up");
    let loads = platform.act(|parts| parts.engine.accepted_loads());
    assert_eq!(loads.last(), Some(&("a7".to_owned(), 256)));
}

#[test]
fn a_caller_that_leaves_before_its_first_event_leaves_a_line() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    // The adapter can't be loaded, so that the request waits.
    platform.act(|parts| {
        parts
            .engine
            .set_order_handling(OrderHandling::LateUnanswered(PATIENCE))
    });
    let mut caller = TcpStream::connect(gateway.front).expect("a connection");
    let request = format!(
        "POST /draft/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\n{DRAFT}\r\nprompt"
    );
    caller
        .write_all(request.as_bytes())
        .expect("the request is sent");
    gateway.wait_for("the order", || gateway.has_event(1300));
    drop(caller);
    gateway.wait_for("the line", || gateway.has_line(1405, "request", "r1"));
}
