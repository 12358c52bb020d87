//! The store returns from a copy that is older than what it had acknowledged.

use std::time::Duration;

use caraway_platform_standin::StoreCopy;
use serde_json::json;

use crate::harness::{FIRST_VERSION, Gateway, Platform, call, configuration, has_endpoints};

/// Number of configurations, and of registry entries, that the store loses.
const LOST_RECORDS: u64 = 6;

/// Returns what the store has now.
fn copy(platform: &Platform) -> StoreCopy {
    platform.with_parts(|parts| parts.store.copy())
}

fn start_two(platform: &Platform) -> [Gateway; 2] {
    ["gate-1", "gate-2"].map(|name| {
        let gateway = Gateway::start_as(platform.store_addr, name);
        gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
        gateway.wait_for("the zone's holder", || gateway.has_event(1200));
        gateway
    })
}

fn publish_configuration(platform: &Platform, version: u64, routes: &[String]) {
    platform.publish("keyed.op", "config", configuration(version, routes));
}

/// Publishes the entry of an endpoint that no instance has known, and waits until all know it.
fn publish_marker(platform: &Platform, gateways: &[Gateway; 2], id: &'static str) {
    let mut marker = platform.pair_entry(0);
    marker["Service"] = json!("marker");
    platform.publish("keyed.servers", id, marker);
    for gateway in gateways {
        gateway.wait_for("the marker", || has_endpoints(gateway, &[id]));
    }
}

/// Sends requests to the service `pair` and checks that all run at the endpoint `p-1`.
fn check_first_endpoint_runs_all(platform: &Platform, gateways: &[Gateway; 2], name: &str) {
    for number in 0..20 {
        let id = format!("{name}-{number}");
        let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n");
        let answer = call(gateways[number % 2].front, "GET /pair/x", &headers, "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let headers = platform.ledger.headers(&id).expect("a run");
        assert_eq!(headers["x-expect-replica"], "p-1");
    }
}

// Guards against: an instance goes on reading the store at positions from before its return, so that no
// later configuration comes into force and no endpoint's departure is noticed there.
#[test]
fn changes_are_in_force_after_the_store_went_back() {
    let platform = Platform::start();
    let gateways = start_two(&platform);
    let copy = copy(&platform);
    let newest = FIRST_VERSION + LOST_RECORDS;
    for version in FIRST_VERSION + 1..=newest {
        publish_configuration(&platform, version, &["kept".to_owned()]);
        let mut entry = platform.pair_entry(1);
        entry["ColdLeftMs"] = json!(version);
        entry["Slots"] = json!(version);
        platform.publish("keyed.servers", "p-2", entry);
    }
    for gateway in &gateways {
        gateway.wait_for("the configuration", || {
            gateway.has_line(1100, "version", newest)
        });
    }
    publish_marker(&platform, &gateways, "marker");

    platform.with_parts(move |parts| parts.store.restore(copy));
    let mut draining = platform.pair_entry(1);
    draining["State"] = json!("draining");
    platform.publish("keyed.servers", "p-2", draining);
    for gateway in &gateways {
        gateway.wait_for("the endpoint's departure", || {
            gateway.has_line(1120, "change", "Draining")
        });
        // The operator has not written the configuration again, which stays in force.
        let kept = call(gateway.front, "GET /kept/x", "X-Attempt-Id: kept\r\n", "");
        assert!(kept.starts_with("HTTP/1.1 200"), "{kept}");
    }
    check_first_endpoint_runs_all(&platform, &gateways, "restored");

    publish_configuration(&platform, newest, &["kept".to_owned()]);
    publish_configuration(&platform, newest + 1, &["late".to_owned()]);
    for gateway in &gateways {
        gateway.wait_for("the later configuration", || {
            gateway.has_line(1100, "version", newest + 1)
        });
        let late = call(gateway.front, "GET /late/x", "X-Attempt-Id: late\r\n", "");
        assert!(late.starts_with("HTTP/1.1 200"), "{late}");
    }
}

// Guards against: an endpoint that has left gets requests again, as the older copy of the registry
// lists it.
#[test]
fn endpoint_that_left_is_not_back_after_the_store_went_back() {
    let platform = Platform::start();
    let gateways = start_two(&platform);
    let copy = copy(&platform);
    platform.with_parts(|parts| parts.store.remove("keyed.servers", "p-2"));
    for gateway in &gateways {
        gateway.wait_for("the endpoint's removal", || {
            gateway.has_line(1120, "change", "Gone")
        });
    }
    platform.with_parts(move |parts| parts.store.restore(copy));
    publish_marker(&platform, &gateways, "marker");
    check_first_endpoint_runs_all(&platform, &gateways, "restored");
    // The copy's entry is still there when all entries are read once more.
    platform.with_parts(|parts| parts.store.compact());
    publish_marker(&platform, &gateways, "marker-2");
    check_first_endpoint_runs_all(&platform, &gateways, "compacted");
}

// Guards against: an instance that starts after the store's return takes the older configuration of its
// copy, although the zone's holder knows the one in force.
#[test]
fn starting_instance_gets_the_configuration_in_force_from_its_holder() {
    let platform = Platform::start();
    let holder = Gateway::start_as(platform.store_addr, "gate-1");
    holder.wait_for("the zone's holder", || holder.has_event(1200));
    let copy = copy(&platform);
    publish_configuration(&platform, FIRST_VERSION + 1, &["kept".to_owned()]);
    holder.wait_for("the configuration", || {
        holder.has_line(1100, "version", FIRST_VERSION + 1)
    });
    platform.with_parts(move |parts| parts.store.restore(copy));
    holder.wait_for("the store's return", || holder.has_event(1112));
    // The holder records itself again, so that the starting instance finds it.
    holder.wait_for("the holder's record", || {
        holder.has_line(1201, "era", 1) && holder.has_line(1200, "holder", "gate-1")
    });
    let started = Gateway::start_as(platform.store_addr, "gate-2");
    started.wait_for("the configuration in force", || {
        started.has_line(1100, "version", FIRST_VERSION + 1)
    });
}

// Guards against: the store gives out again the offsets from which fencing tokens are made, so that
// engines refuse all orders of a zone's next holder.
#[test]
fn next_holder_is_obeyed_after_the_store_went_back() {
    let platform = Platform::start();
    let copy = copy(&platform);
    let [mut first, second] = start_two(&platform);
    let stream = |gateway: &Gateway, id: &str, adapter: &str| {
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Model: base/{adapter}\r\nX-Token-Count: 10,5\r\n\
             X-Deadline-Ms: 4000\r\n"
        );
        call(gateway.front, "POST /report/x", &headers, "prompt")
    };
    let answer = stream(&first, "r1", "a1");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    platform.with_parts(move |parts| parts.store.restore(copy));
    for gateway in [&first, &second] {
        gateway.wait_for("the store's return", || gateway.has_event(1112));
    }
    let holds = first.has_line(1200, "holder", "gate-1");
    let (last, name) = if holds {
        first.child.kill().expect("it runs");
        (&second, "gate-2")
    } else {
        (&first, "gate-1")
    };
    last.wait_to_hold(name);
    // The first requests may come before the placer has learned what the engine holds.
    last.wait_for("a load by the next holder", || {
        std::thread::sleep(Duration::from_millis(100));
        stream(last, "r2", "a2").starts_with("HTTP/1.1 200")
    });
}
