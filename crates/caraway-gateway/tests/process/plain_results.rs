//! Instances share the results of their calls to plain services.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use caraway_platform_standin::Behavior;

use crate::harness::{Gateway, Platform, call, has_endpoints};

/// Number of calls of the instance that has made none before, and of those that may still fail.
const CALLS: usize = 20;
const MAX_FAILED: usize = 3;
/// Time in which instances learn of an endpoint that fails.
const LEARN_TIME: Duration = Duration::from_millis(1500);

/// Calls the service `pair`, whose requests can't be repeated; returns whether it answered.
fn order(gateway: &Gateway, id: &str) -> bool {
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n");
    call(gateway.front, "POST /order/x", &headers, "body").contains(" 200 OK")
}

// Guards against: each of many instances has to find out by its own few calls that an endpoint fails.
#[test]
fn instance_learns_from_the_calls_of_another_that_an_endpoint_fails() {
    let platform = Platform::start();
    let first = Gateway::start_as(platform.store_addr, "gate-1");
    first.wait_to_hold("gate-1");
    let second = Gateway::start_as(platform.store_addr, "gate-2");
    for gateway in [&first, &second] {
        gateway.wait_for("the endpoints", || has_endpoints(gateway, &["p-1", "p-2"]));
    }
    second.wait_for("a session", || second.has_event(1210));
    platform.with_parts(|parts| parts.pair[0].set_behavior(Behavior::DropResponse));
    let is_over = AtomicBool::new(false);
    // Both the holder and the other instance report and learn.
    for (busy, idle) in [(&second, &first), (&first, &second)] {
        is_over.store(false, Ordering::Relaxed);
        let failed = thread::scope(|scope| {
            let is_over = &is_over;
            scope.spawn(move || {
                let name = busy.child.id();
                let mut ids = (0..).map(|number| format!("b{name}-{number}"));
                while !is_over.load(Ordering::Relaxed) {
                    order(busy, &ids.next().expect("there is no last id"));
                }
            });
            thread::sleep(LEARN_TIME);
            let name = idle.child.id();
            let calls = (0..CALLS).map(|number| order(idle, &format!("i{name}-{number}")));
            let failed = calls.filter(|is_answered| !is_answered).count();
            is_over.store(true, Ordering::Relaxed);
            failed
        });
        assert!(failed <= MAX_FAILED, "{failed} of {CALLS} calls failed");
    }
}
