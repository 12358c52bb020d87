//! What endpoints ask for in their answers, as the program heeds it.

use std::time::Duration;

use crate::standin::{Gateway, PATIENCE, Platform, call, has_endpoints};
use caraway_platform_standin::Behavior;

/// Requests that are sent where one is enough to see the rule.
const ROUNDS: usize = 12;

fn ask(gateway: &Gateway, id: &str) -> String {
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\n");
    call(gateway.front, "GET /pair/x", &headers, "")
}

/// Returns a gateway that knows both endpoints of the service `pair`.
fn gateway_of_pair(platform: &Platform) -> Gateway {
    let gateway = Gateway::start(platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    gateway
}

#[test]
fn an_endpoint_that_said_that_it_leaves_gets_no_further_request() {
    let platform = Platform::start();
    let gateway = gateway_of_pair(&platform);
    platform.act(|parts| parts.pair[0].set_behavior(Behavior::RespondDraining));
    for round in 0..ROUNDS {
        let answer = ask(&gateway, &format!("r{round}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let arrivals = || platform.act(|parts| parts.pair[0].request_count());
    assert_eq!(arrivals(), 1, "one answer told it");
    // Its entry still says that it is ready, and comes once more.
    let addr = platform.pair_entry(0);
    platform.publish("keyed.servers", "p-1", addr);
    for round in 0..ROUNDS {
        ask(&gateway, &format!("s{round}"));
    }
    assert_eq!(arrivals(), 1);
}

#[test]
fn an_endpoint_that_asked_for_a_pause_gets_nothing_until_its_end() {
    let platform = Platform::start();
    let gateway = gateway_of_pair(&platform);
    platform.act(|parts| parts.pair[0].set_behavior(Behavior::RefuseFor(PATIENCE)));
    for round in 0..ROUNDS {
        let answer = ask(&gateway, &format!("r{round}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let arrivals = platform.act(|parts| parts.pair[0].request_count());
    assert_eq!(arrivals, 1, "one answer asked for it");
}

#[test]
fn a_service_whose_endpoints_all_pause_is_refused_at_once_with_the_pause() {
    let platform = Platform::start();
    let gateway = gateway_of_pair(&platform);
    platform.act(|parts| {
        parts.pair[0].set_behavior(Behavior::RefuseFor(PATIENCE));
        parts.pair[1].set_behavior(Behavior::RefuseFor(PATIENCE * 2));
    });
    ask(&gateway, "r0");
    for round in 1..ROUNDS {
        let answer = ask(&gateway, &format!("r{round}"));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        let after = answer.lines().find_map(|l| l.strip_prefix("retry-after: "));
        let after: f64 = after.expect("a time").parse().expect("a number");
        assert!(after > 1.0, "{after}: the shortest of the pauses");
    }
    let arrivals = platform.act(|parts| parts.pair.clone().map(|d| d.request_count()));
    assert_eq!(arrivals, [1, 1]);
}

#[test]
fn a_short_pause_of_all_is_waited_for() {
    let platform = Platform::start();
    let gateway = gateway_of_pair(&platform);
    let short = Duration::from_millis(60);
    platform.act(move |parts| {
        parts.pair[0].set_behavior(Behavior::RefuseFor(short));
        parts.pair[1].set_behavior(Behavior::RefuseFor(PATIENCE));
    });
    // The second try of this request goes to the other endpoint, which asks, too.
    ask(&gateway, "r0");
    platform.act(|parts| parts.pair[0].set_behavior(Behavior::Respond));
    let answer = ask(&gateway, "r1");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// The placer of the zone grants by the registry, which still says that the engine is ready.
#[test]
fn an_engine_that_said_that_it_leaves_gets_no_further_request() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let draft = |id: &str| {
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
             X-Deadline-Ms: 2000\r\n"
        );
        call(gateway.front, "POST /draft/x", &headers, "prompt")
    };
    platform.act(|parts| parts.engine.set_draining());
    assert!(draft("r1").starts_with("HTTP/1.1 200"));
    let answer = draft("r2");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(platform.ledger.runs("r2"), 0);
}
