//! Calls that must run at most once, through entry instances as separate processes. The ledger of
//! the stand-in service shows how often each call ran.

mod testbed;

use std::{net::SocketAddr, thread, time::Duration};

use caraway_standin::{LogFaults, ServiceFaults};
use caraway_types::Millis;
use caraway_wire::list::{ListEntry, Role};
use serde_json::json;
use testbed::{
    Testbed, TestbedConfig,
    caller::{Answer, eventually, get, send},
};

const PATH: &str = "/services/quotes/deposits?desk=2";

fn config() -> TestbedConfig {
    let mut config = TestbedConfig {
        engines: 1,
        adapters: 1,
        ..TestbedConfig::default()
    };
    config.times["first_token_ms"] = json!(1500);
    config
}

/// Sends a deposit; returns `None` if no complete response arrived.
fn try_deposit(addr: SocketAddr, key: Option<&str>, body: &str) -> Option<Answer> {
    let mut headers = vec![("x-client-account", "co-op")];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    send("POST", addr, PATH, &headers, Some(body.to_owned()))
}

fn deposit(addr: SocketAddr, key: Option<&str>, body: &str) -> Answer {
    try_deposit(addr, key, body).expect("an answer")
}

/// Returns the certainty and the reason of a refusal.
fn refusal(answer: &Answer) -> (String, String) {
    let certainty = answer.certainty.clone().unwrap_or_default();
    let reason = answer.json()["error"]["reason"].clone();
    (certainty, reason.as_str().unwrap_or_default().to_owned())
}

fn assert_refused(answer: &Answer, certainty: &str, reason: &str) {
    let expected = (certainty.to_owned(), reason.to_owned());
    assert_eq!(
        refusal(answer),
        expected,
        "{} {}",
        answer.status,
        answer.body
    );
}

/// Returns how often the services ran a call with this body.
fn run_count(bed: &Testbed, body: &str) -> usize {
    let calls = bed
        .services
        .iter()
        .flat_map(caraway_standin::Service::ledger);
    calls.filter(|call| &*call.body == body).count()
}

/// Returns the state of a key in the answer of `GET /v1/outcomes/KEY`.
fn key_state(addr: SocketAddr, key: &str) -> String {
    let path = format!("/v1/outcomes/{key}?service=quotes");
    let headers = [("x-client-account", "co-op")];
    let answer = send("GET", addr, &path, &headers, None).expect("an answer");
    answer.json()["state"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

fn set_service_faults(bed: &Testbed, faults: &ServiceFaults) {
    for service in &bed.services {
        service.set_faults(faults.clone());
    }
}

#[test]
fn retry_through_another_instance_gets_the_recorded_answer() {
    let bed = Testbed::start(config());
    let [a, b] = [bed.entries[0].addr, bed.entries[1].addr];
    let first = deposit(a, Some("k1"), "40 dollars");
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(first.json()["call"]["path"], "/deposits?desk=2");
    for addr in [a, b] {
        let retry = deposit(addr, Some("k1"), "40 dollars");
        assert_eq!((retry.status, &retry.body), (200, &first.body));
        assert_refused(
            &deposit(addr, Some("k1"), "50 dollars"),
            "not_run",
            "key_reused",
        );
    }
    assert_eq!(
        (run_count(&bed, "40 dollars"), run_count(&bed, "50 dollars")),
        (1, 0)
    );
    assert_eq!(key_state(b, "k1"), "answered");
    assert_eq!(key_state(b, "k2"), "unknown");
}

#[test]
fn concurrent_calls_through_two_instances_run_once() {
    let bed = Testbed::start(config());
    for n in 0..10 {
        let (key, body) = (format!("both-{n}"), format!("{n} dollars"));
        let addrs: Vec<_> = bed.entries.iter().map(|e| e.addr).collect();
        let answers: Vec<_> = thread::scope(|scope| {
            let callers = addrs
                .iter()
                .map(|addr| scope.spawn(|| deposit(*addr, Some(&key), &body)));
            let callers: Vec<_> = callers.collect();
            callers
                .into_iter()
                .map(|caller| caller.join().expect("no panic"))
                .collect()
        });
        assert_eq!(run_count(&bed, &body), 1);
        for answer in answers {
            assert_eq!(answer.json()["call"]["body"], body, "{}", answer.body);
        }
    }
}

#[test]
fn answer_lost_after_the_run_is_in_doubt_and_not_retried() {
    let bed = Testbed::start(config());
    set_service_faults(
        &bed,
        &ServiceFaults {
            lose_answers: 1,
            ..Default::default()
        },
    );
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    for entry in &bed.entries {
        assert_refused(
            &deposit(entry.addr, Some("k"), "40"),
            "in_doubt",
            "endpoint_failed",
        );
        assert_eq!(key_state(entry.addr, "k"), "in_doubt");
    }
    assert_eq!(run_count(&bed, "40"), 1);
    set_service_faults(
        &bed,
        &ServiceFaults {
            lose_answers: 1,
            ..Default::default()
        },
    );
    assert_refused(
        &deposit(bed.entries[0].addr, None, "no key"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_eq!(run_count(&bed, "no key"), 1);
}

#[test]
fn service_crash_before_the_run_is_in_doubt() {
    let bed = Testbed::start(config());
    set_service_faults(
        &bed,
        &ServiceFaults {
            die_early: 1,
            ..Default::default()
        },
    );
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_refused(
        &deposit(bed.entries[1].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_eq!(run_count(&bed, "40"), 0);
}

#[test]
fn unresponsive_service_is_in_doubt() {
    let bed = Testbed::start(config());
    set_service_faults(
        &bed,
        &ServiceFaults {
            silence: 1,
            ..Default::default()
        },
    );
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "stalled",
    );
    assert_eq!(deposit(bed.entries[0].addr, Some("k2"), "41").status, 200);
    assert_eq!((run_count(&bed, "40"), run_count(&bed, "41")), (1, 1));
}

/// The stand-in returns the answer of an earlier call, as after responses were mixed up on a
/// connection.
#[test]
fn answer_to_another_call_is_not_delivered() {
    let bed = Testbed::start(config());
    let addr = bed.entries[0].addr;
    assert_eq!(deposit(addr, None, "first").status, 200);
    set_service_faults(
        &bed,
        &ServiceFaults {
            cross_answers: 1,
            ..Default::default()
        },
    );
    assert_refused(
        &deposit(addr, Some("k"), "second"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_eq!(
        (run_count(&bed, "first"), run_count(&bed, "second")),
        (1, 1)
    );
}

#[test]
fn log_outage_refuses_keyed_calls_and_runs_calls_without_key() {
    let bed = Testbed::start(config());
    bed.log.set_faults(LogFaults {
        down: true,
        ..Default::default()
    });
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "not_run",
        "log_unavailable",
    );
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "not_run",
        "log_unavailable",
    );
    assert_eq!(deposit(bed.entries[0].addr, None, "no key").status, 200);
    assert_eq!((run_count(&bed, "40"), run_count(&bed, "no key")), (0, 1));
    bed.log.set_faults(LogFaults::default());
    eventually("the key runs", || {
        deposit(bed.entries[0].addr, Some("k"), "40").status == 200
    });
    assert_eq!(run_count(&bed, "40"), 1);
}

/// The log applies appends whose responses are lost, then drops appends; the instance must read the
/// log to learn which of them took effect.
#[test]
fn lost_appends_and_append_responses_are_recovered() {
    let bed = Testbed::start(config());
    bed.log.set_faults(LogFaults {
        lose_answers: 2,
        ..Default::default()
    });
    assert_eq!(deposit(bed.entries[0].addr, Some("k"), "40").status, 200);
    bed.log.set_faults(LogFaults {
        drop_appends: 2,
        ..Default::default()
    });
    assert_eq!(deposit(bed.entries[1].addr, Some("k2"), "41").status, 200);
    assert_eq!(deposit(bed.entries[1].addr, Some("k"), "40").status, 200);
    assert_eq!((run_count(&bed, "40"), run_count(&bed, "41")), (1, 1));
}

#[test]
fn lost_append_responses_and_a_lost_answer_together_run_once() {
    let bed = Testbed::start(config());
    bed.log.set_faults(LogFaults {
        lose_answers: 3,
        ..Default::default()
    });
    set_service_faults(
        &bed,
        &ServiceFaults {
            lose_answers: 1,
            ..Default::default()
        },
    );
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    let retry = deposit(bed.entries[1].addr, Some("k"), "40");
    assert_eq!(
        retry.certainty.as_deref(),
        Some("in_doubt"),
        "{}",
        retry.body
    );
    assert_eq!(run_count(&bed, "40"), 1);
}

#[test]
fn killing_an_instance_during_a_call_leaves_the_key_in_doubt() {
    let mut bed = Testbed::start(config());
    set_service_faults(
        &bed,
        &ServiceFaults {
            slow: Millis::new(600),
            ..Default::default()
        },
    );
    let addr = bed.entries[0].addr;
    let caller = thread::spawn(move || try_deposit(addr, Some("k"), "40"));
    eventually("the intent is recorded", || {
        key_state(bed.entries[1].addr, "k") == "pending"
    });
    thread::sleep(Duration::from_millis(200));
    bed.entries[0].kill();
    assert!(caller.join().expect("no panic").is_none());
    assert_refused(
        &deposit(bed.entries[1].addr, Some("k"), "40"),
        "in_doubt",
        "outcome_unknown",
    );
    bed.add_entry(0);
    bed.wait_ready();
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "outcome_unknown",
    );
    assert!(run_count(&bed, "40") <= 1);
}

/// One instance is paused at different times between recording its intent and sending the call,
/// while the other one handles the same call. After it resumes, it must not send the call again.
#[test]
fn paused_instance_does_not_send_a_call_that_another_ran() {
    let bed = Testbed::start(config());
    for n in 0..4 {
        let (key, body) = (format!("k{n}"), format!("{n} dollars"));
        let addr = bed.entries[0].addr;
        bed.log.set_faults(LogFaults {
            slow: Millis::new(60),
            ..Default::default()
        });
        let (paused_key, paused_body) = (key.clone(), body.clone());
        let caller = thread::spawn(move || try_deposit(addr, Some(&paused_key), &paused_body));
        thread::sleep(Duration::from_millis(25 * n));
        bed.entries[0].freeze();
        bed.log.set_faults(LogFaults::default());
        let other = deposit(bed.entries[1].addr, Some(&key), &body);
        bed.entries[0].thaw();
        let paused = caller.join().expect("no panic").expect("an answer");
        assert!(run_count(&bed, &body) <= 1, "{other:?} {paused:?}");
        for answer in [other, paused] {
            if answer.status == 200 {
                assert_eq!(answer.json()["call"]["body"], body);
            }
        }
    }
}

#[test]
fn call_moves_to_another_replica_only_if_it_was_not_written() {
    let mut bed = Testbed::start(TestbedConfig {
        services: 2,
        ..config()
    });
    bed.services[0].stop();
    for n in 0..4 {
        assert_eq!(
            deposit(bed.entries[0].addr, Some(&format!("k{n}")), "40").status,
            200
        );
    }
    bed.services[1].stop();
    assert_refused(
        &deposit(bed.entries[0].addr, Some("k9"), "90"),
        "not_run",
        "no_endpoint",
    );
    assert_eq!((run_count(&bed, "40"), run_count(&bed, "90")), (4, 0));
    eventually("the key is free again", || {
        key_state(bed.entries[1].addr, "k9") == "not_run"
    });
}

#[test]
fn written_idempotent_call_is_in_doubt_when_no_replica_is_left() {
    let mut bed = Testbed::start(config());
    let crash_before_run = ServiceFaults {
        slow: Millis::new(600),
        die_early: 1,
        ..Default::default()
    };
    set_service_faults(&bed, &crash_before_run);
    let addr = bed.entries[0].addr;
    let caller = thread::spawn(move || {
        let headers = [("x-client-account", "co-op")];
        send("PUT", addr, PATH, &headers, Some("40".into())).expect("an answer")
    });
    thread::sleep(Duration::from_millis(300));
    bed.services[0].stop();
    assert_refused(&caller.join().expect("no panic"), "in_doubt", "no_endpoint");
}

#[test]
fn graceful_stop_completes_and_records_a_call_in_flight() {
    let mut bed = Testbed::start(config());
    set_service_faults(
        &bed,
        &ServiceFaults {
            slow: Millis::new(500),
            ..Default::default()
        },
    );
    let addr = bed.entries[0].addr;
    let caller = thread::spawn(move || try_deposit(addr, Some("k"), "40"));
    eventually("the intent is recorded", || {
        key_state(bed.entries[1].addr, "k") == "pending"
    });
    bed.entries[0].terminate();
    let outage = LogFaults {
        down: true,
        ..Default::default()
    };
    bed.log.set_faults(outage);
    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    thread::sleep(Duration::from_secs(1));
    bed.log.set_faults(LogFaults::default());
    assert!(bed.entries[0].wait());
    assert_eq!(key_state(bed.entries[1].addr, "k"), "answered");
    assert_eq!(run_count(&bed, "40"), 1);
}

#[test]
fn leaving_service_replica_gets_no_new_calls() {
    let bed = Testbed::start(TestbedConfig {
        services: 2,
        ..config()
    });
    let list_entry = |leaving| ListEntry {
        id: "quotes-0".into(),
        role: Role::Service,
        zone: "zone-0".into(),
        addr: bed.services[0].addr(),
        incarnation: 1,
        leaving,
    };
    bed.list.set(list_entry(true));
    thread::sleep(Duration::from_secs(3));
    let before = bed.services[0].ledger().len();
    for n in 0..6 {
        let entry = &bed.entries[n % 2];
        assert_eq!(deposit(entry.addr, None, "40").status, 200);
    }
    assert_eq!(bed.services[0].ledger().len(), before);
    assert_eq!(bed.services[1].ledger().len(), 6);
}

#[test]
fn invalid_input_is_refused_and_runs_nothing() {
    let bed = Testbed::start(config());
    let addr = bed.entries[0].addr;
    let account = ("x-client-account", "co-op");
    let long = "k".repeat(256);
    let cases = [
        (PATH, vec![], "bad_request"),
        ("/services/nothing/x", vec![account], "unknown_service"),
        (
            PATH,
            vec![account, ("idempotency-key", "a b")],
            "bad_request",
        ),
        (
            PATH,
            vec![account, ("idempotency-key", long.as_str())],
            "bad_request",
        ),
        (PATH, vec![account, ("x-deadline-ms", "0")], "bad_request"),
    ];
    for (path, headers, reason) in cases {
        let answer = send("POST", addr, path, &headers, Some("x".into())).expect("an answer");
        assert_refused(&answer, "not_run", reason);
    }
    let large = Some("x".repeat(2 << 20));
    let answer = send("POST", addr, PATH, &[account], large).expect("an answer");
    assert_refused(&answer, "not_run", "too_large");
    assert_eq!(bed.services[0].ledger().len(), 0);
    assert_eq!(get(addr, "/healthz").expect("an answer").status, 200);
}
