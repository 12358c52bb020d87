//! Instances that get too little processor time for the requests of their callers.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::harness::{Gateway, Platform, call, has_endpoints};

/// Number of callers that each send one request after the other, which is more than one instance
/// serves without being short of processor time.
const CALLERS: usize = 24;
/// Times for which the process is stopped and runs in turn.
const STOPPED: Duration = Duration::from_millis(150);
const RUNNING: Duration = Duration::from_millis(15);
/// Event of an instance that has become short of processor time, or has enough again.
const PROCESSOR_TIME_CHANGED: u16 = 1141;

fn pair_call(gateway: &Gateway, id: &str) -> String {
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 4000\r\n");
    call(gateway.front, "GET /pair/x", &headers, "body")
}

// Guards against: requests wait unread at an instance that is short of processor time until their
// callers give up, though others have time to serve them.
#[test]
fn instance_short_of_processor_time_refuses_requests_as_not_run() {
    let platform = Platform::start();
    let gateway = Gateway::start(&platform);
    gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["p-1", "p-2"]));
    let is_over = AtomicBool::new(false);
    let refused: Vec<(String, String)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (gateway, is_over) = (&gateway, &is_over);
                scope.spawn(move || {
                    let ids = (0..).map(|number| format!("c{caller}-{number}"));
                    let ids = ids.take_while(|_| !is_over.load(Ordering::Relaxed));
                    let answers = ids.map(|id| (pair_call(gateway, &id), id));
                    let refused = answers.filter(|(answer, _)| !answer.contains(" 200 OK"));
                    refused.collect::<Vec<_>>()
                })
            })
            .collect();
        gateway.wait_for("refused requests", || {
            gateway.pause();
            thread::sleep(STOPPED);
            gateway.resume();
            thread::sleep(RUNNING);
            gateway.has_line(PROCESSOR_TIME_CHANGED, "short", true) && gateway.has_event(1410)
        });
        is_over.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        callers.flat_map(|c| c.join().expect("it ends")).collect()
    });
    let shed = refused.iter().filter(|(a, _)| a.contains("short of proc"));
    assert!(shed.clone().count() > 0, "{refused:?}");
    for (answer, id) in shed {
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        assert!(answer.contains("retry-after: 0.0"), "{answer}");
        assert_eq!(platform.ledger.runs(id), 0, "{id}");
    }
    gateway.wait_for("enough processor time", || {
        gateway.has_line(PROCESSOR_TIME_CHANGED, "short", false)
    });
    let answer = pair_call(&gateway, "after");
    assert!(answer.contains(" 200 OK"), "{answer}");
}
