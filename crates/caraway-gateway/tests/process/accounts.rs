//! Client accounts: which requests are served, and what endpoints learn of the accounts.

use std::{net::SocketAddr, time::Duration};

use caraway_platform_standin::{ProxyMode, held_models, registry_entry};
use serde_json::{Value, json};

use crate::{
    harness::{FIRST_VERSION, Gateway, Platform, call, configuration},
    stranded,
};

/// Event of a configuration that came into force.
const CONFIG_APPLIED: u16 = 1100;
/// Event of a request that was handed over to another instance.
const HANDED_OVER: u16 = 1408;
/// Prefix of every key, by which they are looked for in log lines.
const KEY_PREFIX: &str = "sekret";

/// Returns version `version` of the configuration, with the public route `desk` and these accounts.
pub(crate) fn with_accounts(version: u64, accounts: &Value) -> Value {
    let mut configuration = configuration(version, &["open".to_owned()]);
    let routes = configuration["Routes"].as_array_mut().expect("a list");
    let open = routes.iter_mut().find(|r| r["Name"] == "open");
    open.expect("the route")["Public"] = json!(true);
    configuration["Tenants"] = accounts.clone();
    configuration
}

/// Publishes a configuration with these accounts and waits until the gateways apply it.
pub(crate) fn publish(platform: &Platform, gateways: &[&Gateway], version: u64, accounts: &Value) {
    let configuration = with_accounts(version, accounts);
    platform.publish("keyed.op", "config", configuration);
    for gateway in gateways {
        gateway.wait_for("the configuration", || {
            gateway.has_line(CONFIG_APPLIED, "version", version)
        });
    }
}

fn account(name: &str, keys: &[&str]) -> Value {
    json!({"Name": name, "ApiKeys": keys})
}

fn start(accounts: &Value) -> (Platform, Gateway) {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    publish(&platform, &[&gateway], FIRST_VERSION + 1, accounts);
    (platform, gateway)
}

/// Sends a request with the key `key`, and returns the answer.
fn call_with_key(addr: SocketAddr, path: &str, id: &str, key: &str) -> String {
    let headers = format!(
        "X-Attempt-Id: {id}\r\nAuthorization: Token {key}\r\nX-Model: base/a7\r\n\
         X-Token-Count: 10,5\r\nX-Deadline-Ms: 4000\r\n"
    );
    call(addr, &format!("POST {path}"), &headers, "body")
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
}

fn check_denied(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert!(!answer.contains(KEY_PREFIX), "{answer}");
}

/// Checks what the endpoint that ran a request was told of its account.
fn check_account(platform: &Platform, id: &str, account: Option<&str>) {
    let headers = platform.ledger.headers(id).expect("a run");
    let name = headers.get("x-tenant").map(|n| n.to_str().expect("text"));
    assert_eq!(name, account, "{id}");
    let accounts = headers.get_all("x-tenant").iter().count();
    assert!(accounts <= 1, "{id} names {accounts} accounts");
    for name in ["authorization", "caraway-account"] {
        assert!(!headers.contains_key(name), "{id} has {name}");
    }
}

fn check_logs(gateway: &Gateway) {
    let lines = gateway.lines.lock().expect("no panic holds it");
    for line in lines.iter() {
        assert!(!line.to_string().contains(KEY_PREFIX), "{line}");
    }
}

// Guards against: a request without a valid key is served, or its body is read before it is refused.
#[test]
fn requests_without_a_valid_key_are_refused_before_their_body_is_read() {
    let accounts = json!([
        account("one", &["sekret-1"]),
        account("two", &["sekret-2", "sekret-both"]),
        account("three", &["sekret-both"])
    ]);
    let (platform, gateway) = start(&accounts);
    let denied = [
        "",
        "Authorization: Token sekret-0\r\n",
        "Authorization: Token sekret-both\r\n",
        "Authorization: Token \r\n",
        "Authorization: Token\r\n",
        "Authorization: Basic sekret-1\r\n",
        "Authorization: sekret-1\r\n",
        "Authorization: Token sekret-1 sekret-1\r\n",
        "Authorization: Token sekret-1\r\nAuthorization: Token sekret-1\r\n",
        "X-Tenant: one\r\ncaraway-account: one\r\n",
        "X-Deadline-Ms: soon\r\n",
    ];
    for (number, headers) in denied.into_iter().enumerate() {
        // The body that is announced does not arrive.
        let headers = format!("X-Attempt-Id: d{number}\r\nContent-Length: 1000\r\n{headers}");
        let request = format!("POST /draft/x HTTP/1.1\r\nHost: h.example\r\n{headers}\r\n");
        check_denied(&send(gateway.front, &request));
        assert_eq!(platform.ledger.runs(&format!("d{number}")), 0);
    }
    for (key, name) in [("sekret-1", "one"), ("sekret-2", "two")] {
        let answer = call_with_key(gateway.front, "/status/x", name, key);
        assert!(is_served(&answer), "{answer}");
        check_account(&platform, name, Some(name));
    }
    check_logs(&gateway);
}

/// Sends the text of a request and returns the answer up to its body's end.
fn send(addr: SocketAddr, request: &str) -> String {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(addr).expect("a connection");
    stream.write_all(request.as_bytes()).expect("it is sent");
    let limit = Duration::from_millis(300);
    stream.set_read_timeout(Some(limit)).expect("a time");
    let mut answer = Vec::new();
    // The gateway may wait for the rest of the body after its answer.
    stream.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

// Guards against: an endpoint gets a key, or an account that the caller has named itself, on any kind
// of request; or is told no account, as the caller lists its header in `Connection`.
#[test]
fn endpoints_are_told_the_account_and_no_key() {
    let (platform, gateway) = start(&json!([account("one", &["sekret-1"])]));
    let paths = [
        "/draft/x",
        "/summary/x",
        "/status/x",
        "/order/x",
        "/flaky/x",
    ];
    for path in paths {
        let id = path.replace('/', "-");
        let headers = format!(
            "X-Attempt-Id: {id}\r\nAuthorization: Token sekret-1\r\nX-Tenant: two\r\n\
             X-Tenant: three\r\nConnection: x-tenant\r\nX-Model: base/a7\r\n\
             X-Token-Count: 10,5\r\nX-Deadline-Ms: 4000\r\n"
        );
        let answer = call(gateway.front, &format!("POST {path}"), &headers, "body");
        assert_eq!(is_served(&answer), path != "/flaky/x", "{answer}");
        check_account(&platform, &id, Some("one"));
    }
    for (number, key) in ["sekret-1", "sekret-unknown", ""].iter().enumerate() {
        let id = format!("open{number}");
        let headers =
            format!("X-Attempt-Id: {id}\r\nAuthorization: Token {key}\r\nX-Tenant: one\r\n");
        let answer = call(gateway.front, "GET /open/x", &headers, "");
        assert!(is_served(&answer), "{answer}");
        check_account(&platform, &id, None);
    }
    check_logs(&gateway);
}

// Guards against: deployments without accounts lose headers that callers send.
#[test]
fn headers_are_forwarded_as_they_are_without_accounts() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    let headers = "X-Attempt-Id: r1\r\nAuthorization: Token sekret-1\r\nX-Tenant: one\r\n\
        caraway-account: two\r\n";
    let answer = call(gateway.front, "GET /status/x", headers, "");
    assert!(is_served(&answer), "{answer}");
    let headers = platform.ledger.headers("r1").expect("a run");
    assert_eq!(headers["authorization"], "Token sekret-1");
    assert_eq!(headers["x-tenant"], "one");
    assert!(!headers.contains_key("caraway-account"));
}

// Guards against: a key that was withdrawn is still valid, one that was added is not yet, or a stream
// breaks off when its key is withdrawn.
#[test]
fn keys_change_with_the_configuration() {
    let (platform, gateway) = start(&json!([account("one", &["sekret-1"])]));
    platform.with_parts(|p| p.engine.set_event_interval(Duration::from_millis(400)));
    let answer = std::thread::scope(|scope| {
        let front = gateway.front;
        let stream = scope.spawn(move || call_with_key(front, "/report/x", "long", "sekret-1"));
        gateway.wait_for("the stream", || platform.ledger.runs("long") > 0);
        let accounts = json!([account("one", &["sekret-2"])]);
        publish(&platform, &[&gateway], FIRST_VERSION + 2, &accounts);
        check_denied(&call_with_key(front, "/status/x", "old", "sekret-1"));
        let answer = call_with_key(front, "/status/x", "new", "sekret-2");
        assert!(is_served(&answer), "{answer}");
        stream.join().expect("a call")
    });
    assert!(answer.contains("id: 4\n"), "{answer}");
    // Without accounts that can be used, no key is valid; without accounts, none is needed.
    publish(
        &platform,
        &[&gateway],
        FIRST_VERSION + 3,
        &json!([{"Name": ""}]),
    );
    check_denied(&call_with_key(
        gateway.front,
        "/status/x",
        "none",
        "sekret-2",
    ));
    platform.publish("keyed.op", "config", configuration(FIRST_VERSION + 4, &[]));
    gateway.wait_for("the end of accounts", || {
        is_served(&call(
            gateway.front,
            "GET /status/x",
            "X-Attempt-Id: free\r\n",
            "",
        ))
    });
    check_logs(&gateway);
}

// Guards against: a request that is handed over loses its account, or takes its key along.
#[test]
fn requests_that_are_handed_over_keep_their_account() {
    let (platform, [cut, other]) = stranded::start();
    let accounts = json!([account("one", &["sekret-1"])]);
    publish(&platform, &[&cut, &other], FIRST_VERSION + 1, &accounts);
    stranded::set_way(&platform, &[&cut], ProxyMode::Reset);
    let mut tries = 0;
    cut.wait_for("the knowledge of the cut", || {
        tries += 1;
        stranded::send_each_kind(&cut, &format!("meanwhile{tries}"), 5);
        cut.has_event(1140)
    });
    let mut serve = |path: &str, key: &str| {
        let mut id = String::new();
        cut.wait_for("another instance to serve", || {
            tries += 1;
            id = format!("t{tries}");
            is_served(&call_with_key(cut.front, path, &id, key))
        });
        id
    };
    for path in ["/status/x", "/report/x"] {
        check_account(&platform, &serve(path, "sekret-1"), Some("one"));
    }
    check_account(&platform, &serve("/open/x", "sekret-1"), None);
    check_denied(&call_with_key(cut.front, "/status/x", "denied", "sekret-0"));
    cut.wait_for("the hand-overs in its log", || cut.count(HANDED_OVER) >= 3);
    check_logs(&cut);
    check_logs(&other);
}

// Guards against: a request that an instance without accounts hands over is served unchecked, or one
// that is checked already is refused.
#[test]
fn requests_of_an_older_build_are_checked_when_they_are_taken_over() {
    let (platform, gateway) = start(&json!([account("one", &["sekret-1"])]));
    let take = |id: &str, headers: &str| {
        let headers = format!("X-Attempt-Id: {id}\r\ncaraway-handed-by: gate-9\r\n{headers}");
        call(gateway.peers, "GET /status/x", &headers, "")
    };
    check_denied(&take("none", ""));
    check_denied(&take("named", "X-Tenant: one\r\n"));
    let answer = take("key", "Authorization: Token sekret-1\r\n");
    assert!(is_served(&answer), "{answer}");
    check_account(&platform, "key", Some("one"));
    for (id, name) in [("checked", "one"), ("newer", "two"), ("public", "")] {
        let answer = take(id, &format!("caraway-account: {name}\r\n"));
        assert!(is_served(&answer), "{answer}");
        check_account(&platform, id, Some(name).filter(|n| !n.is_empty()));
    }
}

// Guards against: a caller whose requests crash engines uses another key of its account to get around the
// quarantine, or two accounts are taken for one.
#[test]
fn requests_are_recognised_by_their_account() {
    let accounts = json!([
        account("one", &["sekret-1", "sekret-2"]),
        account("two", &["sekret-3"])
    ]);
    let (_platform, gateway) = start(&accounts);
    let digest = |id: &str, key: &str| {
        // One of the endpoints drops requests.
        call_with_key(gateway.front, "/flaky/x", id, key);
        let mut digest = Value::Null;
        gateway.wait_for("a failed attempt", || {
            let lines = gateway.lines.lock().expect("no panic holds it");
            let mut failed = lines.iter().filter(|l| l["event"] == 1403);
            let line = failed.find(|l| l["request"] == id);
            digest = line.map_or(Value::Null, |l| l["digest"].clone());
            !digest.is_null()
        });
        digest
    };
    let first = digest("a", "sekret-1");
    assert_eq!(digest("b", "sekret-2"), first);
    assert_ne!(digest("c", "sekret-3"), first);
}

// Guards against: requests wait by the priority of their route, though their account has its own.
#[test]
fn priority_of_the_account_replaces_that_of_the_route() {
    let mut urgent = account("urgent", &["sekret-1"]);
    let mut late = account("late", &["sekret-2"]);
    (urgent["Priority"], late["Priority"]) = (json!(0), json!(2));
    let (platform, gateway) = start(&json!([]));
    let mut configuration = with_accounts(FIRST_VERSION + 2, &json!([urgent, late]));
    for route in configuration["Routes"].as_array_mut().expect("a list") {
        route["GoalMs"] = json!(5000);
        route["Priority"] = json!(1);
    }
    platform.publish("keyed.op", "config", configuration);
    gateway.wait_for("the configuration", || {
        gateway.has_line(CONFIG_APPLIED, "version", FIRST_VERSION + 2)
    });
    // The engine runs one stream at a time, and all are on time.
    let addr = platform.with_parts(|p| {
        p.engine.set_event_interval(Duration::from_millis(150));
        p.engine_addr
    });
    let mut entry = registry_entry("lm", "z1", addr, 1, Some(held_models(true)));
    entry["Slots"] = json!(1);
    platform.publish("keyed.servers", "e-1", entry);
    std::thread::sleep(Duration::from_millis(300));
    std::thread::scope(|scope| {
        let front = gateway.front;
        let send = |id: &'static str, key: &'static str| {
            scope.spawn(move || call_with_key(front, "/report/x", id, key));
            std::thread::sleep(Duration::from_millis(60));
        };
        send("first", "sekret-2");
        gateway.wait_for("the first stream", || platform.ledger.runs("first") > 0);
        send("late1", "sekret-2");
        send("late2", "sekret-2");
        send("urgent", "sekret-1");
    });
    let began = |id: &str| platform.ledger.first_run(id).expect("a run");
    assert!(began("urgent") < began("late1") && began("urgent") < began("late2"));
}
