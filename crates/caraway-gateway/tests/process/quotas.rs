//! Quotas of client accounts, which hold over all instances together.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use caraway_platform_standin::Behavior;
use serde_json::{Value, json};

use crate::{
    accounts::publish,
    builds,
    harness::{FIRST_VERSION, Gateway, Platform, call},
};

/// Event of an account that is exhausted or has allowance again.
const QUOTA_EXHAUSTED: u16 = 1150;
/// Event of an instance that reaches no holder with allowance, or does again.
const POOLS_LOST: u16 = 1151;
/// Event of a request that was refused for its account.
const REQUEST_DENIED: u16 = 1409;
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Returns an account whose key is `key-` and its name.
fn account(name: &str, unit: &str, rate: f64, burst: f64) -> Value {
    json!({"Name": name, "ApiKeys": [format!("key-{name}")], "Unit": unit, "PlainTokens": 200,
        "RatePerS": rate, "Burst": burst})
}

/// Starts gateways with these accounts; the first holds the zone.
fn start(names: &[&str], accounts: &Value) -> (Platform, Vec<Gateway>) {
    let platform = Platform::start();
    let mut gateways: Vec<Gateway> = Vec::new();
    for name in names {
        let gateway = Gateway::start_as(platform.store_addr, name);
        if gateways.is_empty() {
            gateway.wait_to_hold(name);
        } else {
            gateway.wait_for("a session", || gateway.has_event(1210));
        }
        gateways.push(gateway);
    }
    let all: Vec<&Gateway> = gateways.iter().collect();
    publish(&platform, &all, FIRST_VERSION + 1, accounts);
    (platform, gateways)
}

fn send(addr: SocketAddr, account: &str, path: &str, id: &str, more: &str) -> String {
    let headers = format!(
        "X-Attempt-Id: {id}\r\nAuthorization: Token key-{account}\r\nX-Deadline-Ms: 2000\r\n{more}"
    );
    call(addr, &format!("POST {path}"), &headers, "body")
}

/// Sends requests of an account to each of the gateways from two callers, and returns the answers.
fn flood(gateways: &[&Gateway], account: &str, more: &str) -> Vec<String> {
    let start = Instant::now();
    thread::scope(|scope| {
        let callers = gateways.iter().flat_map(|g| (0..2).map(move |c| (g, c)));
        let calls: Vec<_> = callers
            .map(|(gateway, caller)| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while start.elapsed() < LOAD_TIME {
                        let number = answers.len();
                        let id = format!("{account}-{}-{caller}-{number}", gateway.front.port());
                        answers.push(send(gateway.front, account, "/status/x", &id, more));
                        thread::sleep(Duration::from_millis(5));
                    }
                    answers
                })
            })
            .collect();
        let answers = calls.into_iter().map(|c| c.join().expect("no panic"));
        answers.flatten().collect()
    })
}

fn count_served(answers: &[String]) -> usize {
    let is_served = |a: &&String| a.starts_with("HTTP/1.1 200");
    answers.iter().filter(is_served).count()
}

/// Returns the delay that a refusal states; checks that the answer is one for the quota.
fn refused_delay(answer: &str) -> Duration {
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    let seconds = answer
        .lines()
        .find_map(|l| l.strip_prefix("retry-after: "))
        .expect("a delay");
    Duration::from_secs_f64(seconds.parse().expect("decimal seconds"))
}

// Guards against: instances that together admit more of an account than its quota, refuse what is within
// it, or state a delay after which there is no allowance.
#[test]
fn quota_holds_over_all_instances_together() {
    let accounts = json!([
        account("few", "request", 10.0, 10.0),
        account("free", "request", 0.0, 0.0)
    ]);
    let (platform, gateways) = start(&["gate-1", "gate-2"], &accounts);
    let both: Vec<&Gateway> = gateways.iter().collect();
    let answers = flood(&both, "few", "");
    let served = count_served(&answers);
    // The rate in the time, the burst, and a tenth more.
    assert!(served <= 55, "{served} of {} were served", answers.len());
    assert!(served >= 38, "{served} of {} were served", answers.len());
    for (answer, id) in answers
        .iter()
        .zip(0..)
        .filter(|(a, _)| !a.contains(" 200 "))
    {
        assert!(
            refused_delay(answer) <= Duration::from_secs(1),
            "{id}: {answer}"
        );
    }
    let runs = platform.ledger.requests();
    let runs = runs.iter().filter(|r| r.starts_with("few")).count();
    assert_eq!(runs, served, "a refused request did not run");
    for gateway in &gateways {
        gateway.wait_for("an event", || {
            gateway.has_line(QUOTA_EXHAUSTED, "exhausted", true)
        });
        gateway.wait_for("an event", || {
            gateway.has_line(QUOTA_EXHAUSTED, "exhausted", false)
        });
        assert!(gateway.count(QUOTA_EXHAUSTED) <= 6, "one event a change");
        assert!(gateway.count(REQUEST_DENIED) <= 60, "few lines in a flood");
        assert!(gateway.has_line(REQUEST_DENIED, "account", "few"));
    }
    // The delay that a refusal states is true for a caller that is alone.
    let mut refused = None;
    for number in 0..40 {
        let answer = send(both[1].front, "few", "/status/x", &format!("a{number}"), "");
        if !answer.starts_with("HTTP/1.1 200") {
            refused = Some(answer);
            break;
        }
    }
    let delay = refused_delay(&refused.expect("the quota is used up"));
    thread::sleep(delay);
    let answer = send(both[1].front, "few", "/status/x", "back", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{delay:?}: {answer}");
    let answers = flood(&both[..1], "free", "");
    assert_eq!(count_served(&answers), answers.len(), "it has no quota");
}

// Guards against: an account whose callers use one instance, not the zone's holder, gets only a part of
// its quota; or its requests cost the wrong number of tokens.
#[test]
fn quota_counts_tokens_wherever_callers_are() {
    let accounts = json!([account("tokens", "token_stream", 10_000.0, 10_000.0)]);
    let (_platform, gateways) = start(&["gate-1", "gate-2"], &accounts);
    // The buckets are full after a second.
    thread::sleep(Duration::from_millis(1100));
    let tokens = "X-Token-Count: 900,100\r\n";
    let served = count_served(&flood(&[&gateways[1]], "tokens", tokens));
    assert!((46..=56).contains(&served), "{served} at 1000 tokens");
    let served = count_served(&flood(&[&gateways[1]], "tokens", ""));
    assert!((190..=275).contains(&served), "{served} at 200 tokens");
}

// Guards against: requests that no endpoint ran use up the quota.
#[test]
fn requests_that_did_not_run_are_refunded() {
    let accounts = json!([account("few", "request", 1.0, 6.0)]);
    let (platform, gateways) = start(&["gate-1", "gate-2"], &accounts);
    let set_behavior = |behavior| {
        platform.with_parts(move |parts| parts.pair.iter().for_each(|p| p.set_behavior(behavior)));
    };
    // The buckets are half full after this time.
    thread::sleep(Duration::from_secs(3));
    set_behavior(Behavior::Refuse);
    for gateway in &gateways {
        for number in 0..15 {
            let id = format!("{}-{number}", gateway.front.port());
            let answer = send(gateway.front, "few", "/order/x", &id, "");
            assert!(answer.starts_with("HTTP/1.1 503"), "{number}: {answer}");
            thread::sleep(Duration::from_millis(60));
        }
    }
    set_behavior(Behavior::Respond);
    let ids = 0..15;
    let answers = ids.map(|n| send(gateways[1].front, "few", "/order/x", &format!("r{n}"), ""));
    let answers: Vec<String> = answers.collect();
    assert!((1..=10).contains(&count_served(&answers)), "{answers:?}");
}

/// Starts a holder of a build without quotas: it answers sessions and pings, and skips draws.
fn start_former_holder() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let pong = json!({"Pong": {"asked": null, "peers": 1, "pressure": 0.0,
                    "served": true, "next": []}});
                let pong = builds::chunk(&pong);
                let mut is_open = stream.write_all(head.as_bytes()).is_ok();
                while is_open {
                    is_open = stream.write_all(&pong).is_ok();
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    });
    addr
}

// Guards against: requests wait for draws that a holder of an older build never answers, each of them
// anew; or nothing limits them then.
#[test]
fn holder_that_does_not_answer_draws_is_not_asked_for_a_while() {
    let platform = Platform::start();
    let holder = json!({"instance": "gate-9", "incarnation": 1,
        "addr": start_former_holder().to_string(), "released": false, "era": 0});
    platform.publish("keyed.caraway", "holder/z1", holder);
    let gateway = Gateway::start(&platform);
    gateway.wait_for("a session", || gateway.has_event(1210));
    let accounts = json!([account("few", "request", 1000.0, 1000.0)]);
    publish(&platform, &[&gateway], FIRST_VERSION + 1, &accounts);
    let (mut answers, mut slow) = (Vec::new(), 0);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let sent_at = Instant::now();
        let id = format!("r{}", answers.len());
        answers.push(send(gateway.front, "few", "/status/x", &id, ""));
        slow += usize::from(sent_at.elapsed() > Duration::from_millis(90));
        thread::sleep(Duration::from_millis(10));
    }
    assert!(slow <= 6, "{slow} of {} waited", answers.len());
    let served = count_served(&answers);
    // The instance has a part of what the bound leaves beyond the quota.
    assert!((2..=60).contains(&served), "{served} of {}", answers.len());
    for answer in answers.iter().filter(|a| !a.starts_with("HTTP/1.1 200")) {
        refused_delay(answer);
    }
    gateway.wait_for("an event", || {
        gateway.has_line(POOLS_LOST, "reachable", false)
    });
}
