//! Prompts with a segment that crashes every engine that generates for it.

use std::{
    fmt::Write,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use crate::harness::{Gateway, Platform, call, has_endpoints};

/// A segment that crashes engines.
const DEADLY_SEGMENT: u64 = 0xdead;
/// A sound segment that all prompts share.
const SHARED_SEGMENT: u64 = 0x5a;
/// Pause between rounds of sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
/// Requests with the deadly segment that may reach engines: five crashes and three more.
const MAX_DEADLY_RUNS: usize = 8;
/// Requests with the deadly segment that are sent.
const DEADLY_REQUESTS: usize = 24;
/// Time between them, in which a crashed engine is back.
const DEADLY_INTERVAL: Duration = Duration::from_millis(400);

/// Starts two instances that know the engines of the service `lab`, on which `deadly` crash them.
fn start(deadly: &'static [u64]) -> (Platform, [Gateway; 2]) {
    let platform = Platform::start();
    platform.with_parts(move |parts| {
        for engine in &parts.lab {
            engine.set_deadly_segments(deadly);
        }
    });
    let gateways = ["gate-1", "gate-2"].map(|name| {
        let gateway = Gateway::start_as(platform.store_addr, name);
        gateway.wait_for("the endpoints", || has_endpoints(&gateway, &["l-1", "l-2"]));
        gateway.wait_for("the zone's holder", || gateway.has_event(1200));
        gateway
    });
    (platform, gateways)
}

/// Sends a request whose prompt has these segments and one of its own; returns the answer.
fn send(gateway: &Gateway, id: &str, segments: &[u64]) -> String {
    send_to(gateway, "base/a7", id, segments)
}

/// Sends such a request for this adapter.
fn send_to(gateway: &Gateway, model: &str, id: &str, segments: &[u64]) -> String {
    let own = id.bytes().fold(1, |hash: u64, b| hash * 31 + u64::from(b));
    let mut prompt = String::new();
    for segment in segments {
        write!(prompt, "{segment:x}:20,").expect("a string takes any text");
    }
    let headers = format!(
        "X-Attempt-Id: {id}\r\nX-Model: {model}\r\nX-Token-Count: 50,5\r\n\
         X-Prompt-Prefix: {prompt}{own:x}:10\r\nX-Deadline-Ms: 1500\r\n"
    );
    call(gateway.front, "POST /lab/x", &headers, "prompt")
}

/// Sends sound requests with the segment that all prompts share through both instances until
/// `is_over`; returns the last answer of each instance.
fn send_sound(gateways: &[Gateway; 2], is_over: &AtomicBool) -> [String; 2] {
    let mut number = 0;
    let mut last = [String::new(), String::new()];
    while !is_over.load(Ordering::Relaxed) {
        for (gateway, last) in gateways.iter().zip(&mut last) {
            number += 1;
            let answer = send(
                gateway,
                &format!("sound-{number}"),
                &[SHARED_SEGMENT, number],
            );
            if !answer.is_empty() {
                *last = answer;
            }
        }
        thread::sleep(SOUND_INTERVAL);
    }
    last
}

/// Returns the number of requests with the deadly segment that engines ran.
fn deadly_runs(platform: &Platform) -> usize {
    let requests = platform.ledger.requests();
    requests
        .iter()
        .filter(|id| id.starts_with("deadly"))
        .count()
}

fn assert_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}

// Guards against: requests that share a segment which crashes engines crash one engine after the
// other, as no instance concludes from the crashes that another saw what they have in common.
#[test]
fn segment_that_crashes_engines_reaches_few_of_them() {
    let (platform, gateways) = start(&[DEADLY_SEGMENT]);
    let is_over = AtomicBool::new(false);
    let (answers, sound) = thread::scope(|scope| {
        let sound = scope.spawn(|| send_sound(&gateways, &is_over));
        let answers: Vec<String> = (0..DEADLY_REQUESTS)
            .map(|number| {
                let id = format!("deadly-{number}");
                let segments = [SHARED_SEGMENT, DEADLY_SEGMENT, 1000 + number as u64];
                let answer = send(&gateways[number % 2], &id, &segments);
                thread::sleep(DEADLY_INTERVAL);
                answer
            })
            .collect();
        is_over.store(true, Ordering::Relaxed);
        (answers, sound.join().expect("no panic"))
    });
    let runs = deadly_runs(&platform);
    assert!(
        runs <= MAX_DEADLY_RUNS,
        "{runs} requests reached engines, allowed {MAX_DEADLY_RUNS}"
    );
    for answer in answers.iter().rev().take(DEADLY_REQUESTS / 3) {
        assert_refused(answer);
    }
    for answer in sound {
        assert!(answer.contains("id: 4\ndata: "), "a sound one: {answer}");
    }
    // An instance that starts later must know the segment before it sends a request with it.
    let late = Gateway::start_as(platform.store_addr, "gate-3");
    late.wait_for("the endpoints", || has_endpoints(&late, &["l-1", "l-2"]));
    let segments = [SHARED_SEGMENT, DEADLY_SEGMENT, 1];
    assert_refused(&send(&late, "deadly-late", &segments));
    // The segment is as deadly for other adapters.
    assert_refused(&send_to(&late, "base/a8", "deadly-other", &segments));
    assert_eq!(deadly_runs(&platform), runs, "the late instance sent none");
}
