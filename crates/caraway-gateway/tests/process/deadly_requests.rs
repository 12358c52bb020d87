//! Requests that crash every endpoint that runs them, and come again.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::harness::{Gateway, Platform, call, has_endpoints};

/// Body of the requests that crash endpoints.
const DEADLY_BODY: &str = "deadly";
/// Number of times that it is sent.
const DEADLY_REQUESTS: usize = 24;
/// Time between them, in which a crashed endpoint is back.
const DEADLY_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between rounds of sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
/// Crashes after which the bound applies.
const BOUND_CRASHES: usize = 3;
/// Time after these crashes from which on few of the requests may reach endpoints.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests that may reach endpoints after that.
const MAX_LATE_RUNS: usize = 3;
/// Time from the start of a run to the crash, before the first event of a stream.
const EARLY: Duration = Duration::from_millis(7);
/// The same, after two of the four events of a stream.
const AFTER_EVENTS: Duration = Duration::from_millis(38);

/// A service whose endpoints crash, and how it is called.
#[derive(Clone, Copy)]
struct Target {
    line: &'static str,
    headers: &'static str,
    endpoints: [&'static str; 2],
    /// Text that complete answers have.
    complete: &'static str,
}

const LAB: Target = Target {
    line: "POST /lab/x",
    headers: "X-Model: base/a7\r\nX-Token-Count: 50,5\r\nX-Prompt-Prefix: 5a:20,5b:20,77:10\r\n",
    endpoints: ["l-1", "l-2"],
    complete: "id: 4\ndata: ",
};

/// Headers of requests for another adapter, whose prompts have other segments.
const OTHER_MODEL: &str =
    "X-Model: base/a8\r\nX-Token-Count: 50,5\r\nX-Prompt-Prefix: 6a:20,6b:20,78:10\r\n";

/// Its requests may be repeated.
const PAIR: Target = Target {
    line: "GET /pair/x",
    headers: "",
    endpoints: ["p-1", "p-2"],
    complete: "HTTP/1.1 200",
};

impl Target {
    /// Sends a request with this body and returns the answer.
    fn send(&self, gateway: &Gateway, id: &str, body: &str) -> String {
        let own = format!(
            "X-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{}",
            self.headers
        );
        call(gateway.front, self.line, &own, body)
    }

    /// Sends sound requests, which are like the deadly one but for their bodies, until `is_over`.
    /// Returns the last answer of each instance.
    fn send_sound(&self, gateways: &[Gateway; 2], is_over: &AtomicBool) -> [String; 2] {
        let mut number = 0;
        let mut last = [String::new(), String::new()];
        while !is_over.load(Ordering::Relaxed) {
            for (gateway, last) in gateways.iter().zip(&mut last) {
                number += 1;
                *last = self.send(gateway, &format!("sound-{number}"), &format!("{number}"));
            }
            thread::sleep(SOUND_INTERVAL);
        }
        last
    }
}

fn start(target: &Target) -> (Platform, [Gateway; 2]) {
    let platform = Platform::start();
    let gateways = ["gate-1", "gate-2"].map(|name| {
        let gateway = Gateway::start_as(platform.store_addr, name);
        gateway.wait_for("the endpoints", || {
            has_endpoints(&gateway, &target.endpoints)
        });
        gateway.wait_for("the zone's holder", || gateway.has_event(1200));
        gateway
    });
    (platform, gateways)
}

/// Sends the deadly request to both instances in turn, beside sound ones, and checks how many of
/// them reach endpoints.
fn check(target: &Target, platform: &Platform, gateways: &[Gateway; 2]) {
    let is_over = AtomicBool::new(false);
    let (sent, sound) = thread::scope(|scope| {
        let sound = scope.spawn(|| target.send_sound(gateways, &is_over));
        let sent: Vec<(Instant, String)> = (0..DEADLY_REQUESTS)
            .map(|number| {
                let (sent_at, id) = (Instant::now(), format!("deadly-{number}"));
                let answer = target.send(&gateways[number % 2], &id, DEADLY_BODY);
                thread::sleep(DEADLY_INTERVAL);
                (sent_at, answer)
            })
            .collect();
        is_over.store(true, Ordering::Relaxed);
        (sent, sound.join().expect("no panic"))
    });
    let runs = |number: &usize| platform.ledger.runs(&format!("deadly-{number}"));
    let mut crashes = 0;
    let third = (0..DEADLY_REQUESTS).find(|number| {
        crashes += runs(number);
        crashes >= BOUND_CRASHES
    });
    let third = third.expect("three crashes");
    let bound = sent[third].0 + CONTACT_TIME;
    let late = (third..DEADLY_REQUESTS).filter(|number| sent[*number].0 > bound);
    let late: usize = late.map(|number| runs(&number)).sum();
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} reached endpoints late, allowed {MAX_LATE_RUNS}"
    );
    for (_, answer) in sent.iter().rev().take(DEADLY_REQUESTS / 3) {
        assert_refused(answer);
    }
    for answer in sound {
        assert!(answer.contains(target.complete), "a sound one: {answer}");
    }
    // An instance that starts later must know the request before it sends it on.
    let late = Gateway::start_as(platform.store_addr, "gate-3");
    late.wait_for("the endpoints", || has_endpoints(&late, &target.endpoints));
    assert_refused(&target.send(&late, "deadly-late", DEADLY_BODY));
    assert_eq!(platform.ledger.runs("deadly-late"), 0);
    // Demand moves to another model, and the request comes again for that one.
    let other = Target {
        headers: OTHER_MODEL,
        ..*target
    };
    assert_refused(&other.send(&gateways[0], "deadly-other", DEADLY_BODY));
    assert_eq!(platform.ledger.runs("deadly-other"), 0);
}

fn assert_refused(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}

// Guards against: a request that crashes engines crashes one after the other, as sound requests share
// all shared segments of its prompt.
#[test]
fn request_that_crashes_engines_reaches_few_of_them() {
    let (platform, gateways) = start(&LAB);
    platform.with_parts(|parts| {
        for engine in &parts.lab {
            engine.set_deadly_body(DEADLY_BODY, EARLY);
        }
    });
    check(&LAB, &platform, &gateways);
}

// Guards against: the events that a request's streams had before each crash clear it.
#[test]
fn request_that_crashes_engines_in_its_stream_reaches_few_of_them() {
    let (platform, gateways) = start(&LAB);
    platform.with_parts(|parts| {
        for engine in &parts.lab {
            engine.set_deadly_body(DEADLY_BODY, AFTER_EVENTS);
        }
    });
    check(&LAB, &platform, &gateways);
}

// Guards against: nothing is concluded from the crashes of endpoints without engines.
#[test]
fn request_that_crashes_plain_endpoints_reaches_few_of_them() {
    let (platform, gateways) = start(&PAIR);
    platform.with_parts(|parts| {
        for endpoint in &parts.pair {
            endpoint.set_deadly_body(DEADLY_BODY, EARLY);
        }
    });
    check(&PAIR, &platform, &gateways);
}
