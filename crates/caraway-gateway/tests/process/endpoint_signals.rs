//! Endpoints that signal in their answers that they drain or want a pause.

use std::{thread, time::Duration};

use crate::harness::{Gateway, Platform, WAIT_LIMIT, call, has_endpoints};
use caraway_platform_standin::{Behavior, ProxyMode};
use serde_json::json;

/// Number of requests in a row; each may be balanced to either of two endpoints.
const REQUESTS: usize = 12;

/// Sends a request to the service `pair` and returns the answer.
fn get_pair(gateway: &Gateway, id: &str) -> String {
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 2000\r\n");
    call(gateway.front, "GET /pair/x", &headers, "")
}

/// Starts a gateway and waits until it knows both endpoints of the service `pair`.
fn start_pair_gateway(platform: &Platform) -> Gateway {
    let gateway = Gateway::start(platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    gateway
}

#[test]
fn draining_endpoint_gets_no_further_request() {
    let platform = Platform::start();
    let gateway = start_pair_gateway(&platform);
    platform.with_parts(|parts| parts.pair[0].set_behavior(Behavior::RespondDraining));
    for number in 0..REQUESTS {
        let answer = get_pair(&gateway, &format!("r{number}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let arrivals = || platform.with_parts(|parts| parts.pair[0].request_count());
    assert_eq!(arrivals(), 1, "its first answer said that it drains");
    // Its registry entry still says that it is ready, and is published again.
    let ready_entry = platform.pair_entry(0);
    platform.publish("keyed.servers", "p-1", ready_entry);
    for number in 0..REQUESTS {
        get_pair(&gateway, &format!("s{number}"));
    }
    assert_eq!(arrivals(), 1);
}

#[test]
fn paused_endpoint_gets_no_request_until_the_pause_ends() {
    let platform = Platform::start();
    let gateway = start_pair_gateway(&platform);
    platform.with_parts(|parts| parts.pair[0].set_behavior(Behavior::RefuseFor(WAIT_LIMIT)));
    for number in 0..REQUESTS {
        let answer = get_pair(&gateway, &format!("r{number}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let arrivals = platform.with_parts(|parts| parts.pair[0].request_count());
    assert_eq!(arrivals, 1, "its first answer asked for the pause");
}

#[test]
fn service_with_all_endpoints_paused_is_refused_with_the_shortest_pause() {
    let platform = Platform::start();
    let gateway = start_pair_gateway(&platform);
    platform.with_parts(|parts| {
        parts.pair[0].set_behavior(Behavior::RefuseFor(WAIT_LIMIT));
        parts.pair[1].set_behavior(Behavior::RefuseFor(WAIT_LIMIT * 2));
    });
    get_pair(&gateway, "r0");
    for number in 1..REQUESTS {
        let answer = get_pair(&gateway, &format!("r{number}"));
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        let after = answer.lines().find_map(|l| l.strip_prefix("retry-after: "));
        let after: f64 = after.expect("a time").parse().expect("a number");
        assert!(after > 1.0, "{after}: the shortest of the pauses");
    }
    let arrivals = platform.with_parts(|parts| parts.pair.clone().map(|d| d.request_count()));
    assert_eq!(arrivals, [1, 1]);
}

#[test]
fn request_waits_for_the_end_of_a_short_pause() {
    let platform = Platform::start();
    let gateway = start_pair_gateway(&platform);
    let short_pause = Duration::from_millis(60);
    platform.with_parts(move |parts| {
        parts.pair[0].set_behavior(Behavior::RefuseFor(short_pause));
        parts.pair[1].set_behavior(Behavior::RefuseFor(WAIT_LIMIT));
    });
    // The second attempt of this request goes to the other endpoint, which also asks for a pause.
    get_pair(&gateway, "r0");
    platform.with_parts(|parts| parts.pair[0].set_behavior(Behavior::Respond));
    let answer = get_pair(&gateway, "r1");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// The gateway must not send to a draining engine although the placer may still grant it by its
/// registry entry, which says that it is ready.
#[test]
fn draining_engine_gets_no_further_request() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the zone's holder", || gateway.has_event(1200));
    let post_draft = |id: &str| {
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Model: base/a7\r\nX-Token-Count: 10,5\r\n\
             X-Deadline-Ms: 2000\r\n"
        );
        call(gateway.front, "POST /draft/x", &headers, "prompt")
    };
    platform.with_parts(|parts| parts.engine.set_draining());
    assert!(post_draft("r1").starts_with("HTTP/1.1 200"));
    let answer = post_draft("r2");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(platform.ledger.runs("r2"), 0);
}

/// On-call engineers must see from the log which instance knew a limit, since when and from which
/// request's answer.
#[test]
fn limit_that_an_endpoint_states_is_logged_with_the_request_that_showed_it() {
    let platform = Platform::start();
    let gateway = start_pair_gateway(&platform);
    platform.with_parts(|parts| parts.pair[0].arrivals().set_limit(Some("50")));
    for number in 0..REQUESTS {
        let answer = get_pair(&gateway, &format!("r{number}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    gateway.wait_for("the limit's line", || {
        gateway.has_line(1123, "endpoint", "p-1")
    });
    let lines = gateway.lines.lock().expect("no panic holds it").clone();
    let line = lines.iter().find(|l| l["event"] == 1123).expect("a line");
    assert_eq!(line["per_second"], 50.0, "{line}");
    let request = line["request"].as_str().expect("a request");
    assert!(request.starts_with('r'), "{line}");
    platform.with_parts(|parts| parts.pair[0].arrivals().set_limit(Some("soon")));
    gateway.wait_for("the invalid limit's line", || {
        get_pair(&gateway, "s");
        gateway.has_line(1123, "unreadable", "soon")
    });
}

/// Starts a holder that the store does not serve any more, and another instance that it serves.
fn start_rejected_holder() -> (Platform, [Gateway; 2]) {
    let platform = Platform::start();
    let holder = Gateway::start_as(platform.store_proxy_addr, "gate-1");
    holder.wait_to_hold("gate-1");
    let other = Gateway::start_as(platform.store_addr, "gate-2");
    for gateway in [&holder, &other] {
        gateway.wait_for("the engines", || has_endpoints(gateway, &["l-1", "l-2"]));
    }
    other.wait_for("a session", || other.has_event(1210));
    platform.with_parts(|parts| parts.store_proxy.set_mode(ProxyMode::Reset));
    (platform, [holder, other])
}

// Guards against: an instance sends to an endpoint that it knows to have left, as a holder grants it that
// the store rejects.
#[test]
fn endpoint_that_has_left_gets_no_request_whoever_grants_it() {
    let (platform, [_holder, other]) = start_rejected_holder();
    platform.with_parts(|parts| parts.store.remove("keyed.servers", "l-1"));
    other.wait_for("the departure", || other.has_line(1120, "change", "Gone"));
    for number in 0..REQUESTS {
        let headers = format!(
            "X-Attempt-Id: r{number}\r\nX-Model: base/a{}\r\nX-Token-Count: 10,5\r\n\
             X-Deadline-Ms: 2000\r\n",
            number % 2
        );
        let answer = call(other.front, "POST /lab/x", &headers, "prompt");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let is_granted = other.has_line(1400, "endpoint", "l-1");
    assert!(!is_granted, "it was granted and not skipped");
}

// Guards against: a holder that the store rejects keeps its zone, and grants what its old copy of the
// registry lists, though the store serves another instance of the zone.
#[test]
fn holder_that_the_store_rejects_hands_its_zone_over() {
    let (_platform, [holder, other]) = start_rejected_holder();
    other.wait_to_hold("gate-2");
    holder.wait_for("the end", || holder.has_line(1202, "successor", "gate-2"));
}

// Guards against: the instance that reads the registry for the others learns from an answer that an endpoint
// drains, and then forwards the registry's record of it to none of them.
#[test]
fn draining_entry_reaches_all_instances_after_an_answer_that_said_so() {
    let platform = Platform::start();
    let reader = Gateway::start_in(platform.store_addr, "gate-1", "z1");
    reader.wait_to_hold("gate-1");
    let other = Gateway::start_in(platform.store_addr, "gate-2", "z2");
    for gateway in [&reader, &other] {
        gateway.wait_for("the endpoints", || has_endpoints(gateway, &["p-1", "p-2"]));
    }
    other.wait_for("a session", || other.has_line(1210, "held_zone", "z1"));
    // The last read of the registry by this instance ends.
    thread::sleep(Duration::from_secs(2));
    platform.with_parts(|parts| parts.pair[0].set_behavior(Behavior::RespondDraining));
    reader.wait_for("an answer that says so", || {
        get_pair(&reader, "r");
        reader.has_line(1120, "change", "Leaving")
    });
    let mut entry = platform.pair_entry(0);
    entry["State"] = json!("draining");
    platform.publish("keyed.servers", "p-1", entry);
    let mut later = platform.pair_entry(1);
    later["Service"] = json!("another");
    platform.publish("keyed.servers", "last", later);
    other.wait_for("the entry after it", || has_endpoints(&other, &["last"]));
    let arrivals = || platform.with_parts(|parts| parts.pair[0].request_count());
    let before = arrivals();
    for number in 0..REQUESTS {
        let answer = get_pair(&other, &format!("s{number}"));
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(arrivals() - before, 0, "its entry had said that it drains");
}
