//! Calls that may not be repeated, through daemons as separate processes, by the service's ledger.

mod testbed;

use std::{net::SocketAddr, thread, time::Duration};

use caraway_standin::{LogFaults, ServiceFaults};
use caraway_types::Millis;
use caraway_wire::list::{ListEntry, Role};
use serde_json::json;
use testbed::{
    Plan, Testbed,
    caller::{Answer, eventually, get, send},
};

const PATH: &str = "/services/quotes/deposits?desk=2";

fn plan() -> Plan {
    let mut plan = Plan {
        engines: 1,
        adapters: 1,
        ..Plan::default()
    };
    plan.times["first_token_ms"] = json!(1500);
    plan
}

/// Sends a deposit; `None` says that no whole answer came.
fn try_deposit(addr: SocketAddr, key: Option<&str>, body: &str) -> Option<Answer> {
    let mut headers = vec![("x-client-account", "co-op")];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    send("POST", addr, PATH, &headers, Some(body.to_owned()))
}

fn deposit(addr: SocketAddr, key: Option<&str>, body: &str) -> Answer {
    try_deposit(addr, key, body).expect("an answer")
}

/// Returns certainty and reason of a refusal.
fn refusal(answer: &Answer) -> (String, String) {
    let certainty = answer.certainty.clone().unwrap_or_default();
    let reason = answer.json()["error"]["reason"].clone();
    (certainty, reason.as_str().unwrap_or_default().to_owned())
}

fn is_refused(answer: &Answer, certainty: &str, reason: &str) {
    let want = (certainty.to_owned(), reason.to_owned());
    assert_eq!(refusal(answer), want, "{} {}", answer.status, answer.body);
}

/// Counts how often the services carried a body out.
fn runs(bed: &Testbed, body: &str) -> usize {
    let calls = bed
        .services
        .iter()
        .flat_map(caraway_standin::Service::ledger);
    calls.filter(|call| &*call.body == body).count()
}

fn state(addr: SocketAddr, key: &str) -> String {
    let path = format!("/v1/outcomes/{key}?service=quotes");
    let headers = [("x-client-account", "co-op")];
    let answer = send("GET", addr, &path, &headers, None).expect("an answer");
    answer.json()["state"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

fn service_faults(bed: &Testbed, faults: &ServiceFaults) {
    for service in &bed.services {
        service.set_faults(faults.clone());
    }
}

#[test]
fn a_repeat_through_another_instance_gets_the_recorded_answer() {
    let bed = Testbed::start(plan());
    let [a, b] = [bed.entries[0].addr, bed.entries[1].addr];
    let first = deposit(a, Some("k1"), "40 dollars");
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(first.json()["call"]["path"], "/deposits?desk=2");
    for addr in [a, b] {
        let repeat = deposit(addr, Some("k1"), "40 dollars");
        assert_eq!((repeat.status, &repeat.body), (200, &first.body));
        is_refused(
            &deposit(addr, Some("k1"), "50 dollars"),
            "not_run",
            "key_reused",
        );
    }
    assert_eq!((runs(&bed, "40 dollars"), runs(&bed, "50 dollars")), (1, 0));
    assert_eq!(state(b, "k1"), "answered");
    assert_eq!(state(b, "k2"), "unknown");
}

#[test]
fn sendings_at_once_through_two_instances_run_once() {
    let bed = Testbed::start(plan());
    for n in 0..10 {
        let (key, body) = (format!("both-{n}"), format!("{n} dollars"));
        let addrs: Vec<_> = bed.entries.iter().map(|e| e.addr).collect();
        let answers: Vec<_> = thread::scope(|scope| {
            let sendings = addrs
                .iter()
                .map(|addr| scope.spawn(|| deposit(*addr, Some(&key), &body)));
            let sendings: Vec<_> = sendings.collect();
            sendings
                .into_iter()
                .map(|s| s.join().expect("no panic"))
                .collect()
        });
        assert_eq!(runs(&bed, &body), 1);
        for answer in answers {
            assert_eq!(answer.json()["call"]["body"], body, "{}", answer.body);
        }
    }
}

#[test]
fn an_answer_lost_after_the_action_is_in_doubt_and_not_repeated() {
    let bed = Testbed::start(plan());
    service_faults(
        &bed,
        &ServiceFaults {
            lose_answers: 1,
            ..Default::default()
        },
    );
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    for entry in &bed.entries {
        is_refused(
            &deposit(entry.addr, Some("k"), "40"),
            "in_doubt",
            "endpoint_failed",
        );
        assert_eq!(state(entry.addr, "k"), "in_doubt");
    }
    assert_eq!(runs(&bed, "40"), 1);
    service_faults(
        &bed,
        &ServiceFaults {
            lose_answers: 1,
            ..Default::default()
        },
    );
    is_refused(
        &deposit(bed.entries[0].addr, None, "no key"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_eq!(runs(&bed, "no key"), 1);
}

#[test]
fn a_service_that_dies_before_the_action_is_in_doubt() {
    let bed = Testbed::start(plan());
    service_faults(
        &bed,
        &ServiceFaults {
            die_early: 1,
            ..Default::default()
        },
    );
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    is_refused(
        &deposit(bed.entries[1].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_eq!(runs(&bed, "40"), 0);
}

#[test]
fn a_silent_service_is_in_doubt() {
    let bed = Testbed::start(plan());
    service_faults(
        &bed,
        &ServiceFaults {
            silence: 1,
            ..Default::default()
        },
    );
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "stalled",
    );
    assert_eq!(deposit(bed.entries[0].addr, Some("k2"), "41").status, 200);
    assert_eq!((runs(&bed, "40"), runs(&bed, "41")), (1, 1));
}

#[test]
fn an_answer_to_another_call_is_not_passed_on() {
    let bed = Testbed::start(plan());
    let addr = bed.entries[0].addr;
    assert_eq!(deposit(addr, None, "first").status, 200);
    service_faults(
        &bed,
        &ServiceFaults {
            cross_answers: 1,
            ..Default::default()
        },
    );
    is_refused(
        &deposit(addr, Some("k"), "second"),
        "in_doubt",
        "endpoint_failed",
    );
    assert_eq!((runs(&bed, "first"), runs(&bed, "second")), (1, 1));
}

#[test]
fn without_the_log_a_keyed_call_does_not_run_and_another_runs_once() {
    let bed = Testbed::start(plan());
    bed.log.set_faults(LogFaults {
        down: true,
        ..Default::default()
    });
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "not_run",
        "log_unavailable",
    );
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "not_run",
        "log_unavailable",
    );
    assert_eq!(deposit(bed.entries[0].addr, None, "no key").status, 200);
    assert_eq!((runs(&bed, "40"), runs(&bed, "no key")), (0, 1));
    bed.log.set_faults(LogFaults::default());
    eventually("the key runs", || {
        deposit(bed.entries[0].addr, Some("k"), "40").status == 200
    });
    assert_eq!(runs(&bed, "40"), 1);
}

#[test]
fn lost_append_answers_are_read_back() {
    let bed = Testbed::start(plan());
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
    assert_eq!((runs(&bed, "40"), runs(&bed, "41")), (1, 1));
}

#[test]
fn lost_append_answers_and_a_lost_answer_together_run_once() {
    let bed = Testbed::start(plan());
    bed.log.set_faults(LogFaults {
        lose_answers: 3,
        ..Default::default()
    });
    service_faults(
        &bed,
        &ServiceFaults {
            lose_answers: 1,
            ..Default::default()
        },
    );
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "endpoint_failed",
    );
    let repeat = deposit(bed.entries[1].addr, Some("k"), "40");
    assert_eq!(
        repeat.certainty.as_deref(),
        Some("in_doubt"),
        "{}",
        repeat.body
    );
    assert_eq!(runs(&bed, "40"), 1);
}

#[test]
fn an_entry_killed_in_mid_call_leaves_the_key_in_doubt() {
    let mut bed = Testbed::start(plan());
    service_faults(
        &bed,
        &ServiceFaults {
            slow: Millis::new(600),
            ..Default::default()
        },
    );
    let addr = bed.entries[0].addr;
    let caller = thread::spawn(move || try_deposit(addr, Some("k"), "40"));
    eventually("the intent is agreed", || {
        state(bed.entries[1].addr, "k") == "pending"
    });
    thread::sleep(Duration::from_millis(200));
    bed.entries[0].kill();
    assert!(caller.join().expect("no panic").is_none());
    is_refused(
        &deposit(bed.entries[1].addr, Some("k"), "40"),
        "in_doubt",
        "outcome_unknown",
    );
    bed.add_entry(0);
    bed.wait_ready();
    is_refused(
        &deposit(bed.entries[0].addr, Some("k"), "40"),
        "in_doubt",
        "outcome_unknown",
    );
    assert!(runs(&bed, "40") <= 1);
}

#[test]
fn a_paused_instance_does_not_send_what_another_ran() {
    let bed = Testbed::start(plan());
    for n in 0..4 {
        let (key, body) = (format!("k{n}"), format!("{n} dollars"));
        let addr = bed.entries[0].addr;
        bed.log.set_faults(LogFaults {
            slow: Millis::new(60),
            ..Default::default()
        });
        let (own_key, own_body) = (key.clone(), body.clone());
        let caller = thread::spawn(move || try_deposit(addr, Some(&own_key), &own_body));
        thread::sleep(Duration::from_millis(25 * n));
        bed.entries[0].freeze();
        bed.log.set_faults(LogFaults::default());
        let other = deposit(bed.entries[1].addr, Some(&key), &body);
        bed.entries[0].thaw();
        let own = caller.join().expect("no panic").expect("an answer");
        assert!(runs(&bed, &body) <= 1, "{other:?} {own:?}");
        for answer in [other, own] {
            if answer.status == 200 {
                assert_eq!(answer.json()["call"]["body"], body);
            }
        }
    }
}

#[test]
fn a_call_moves_on_only_when_it_was_not_written() {
    let mut bed = Testbed::start(Plan {
        services: 2,
        ..plan()
    });
    bed.services[0].stop();
    for n in 0..4 {
        assert_eq!(
            deposit(bed.entries[0].addr, Some(&format!("k{n}")), "40").status,
            200
        );
    }
    bed.services[1].stop();
    is_refused(
        &deposit(bed.entries[0].addr, Some("k9"), "90"),
        "not_run",
        "no_endpoint",
    );
    assert_eq!((runs(&bed, "40"), runs(&bed, "90")), (4, 0));
    eventually("the key is free again", || {
        state(bed.entries[1].addr, "k9") == "not_run"
    });
}

#[test]
fn a_repeatable_call_that_was_written_is_in_doubt_when_no_replica_is_left() {
    let mut bed = Testbed::start(plan());
    let dying = ServiceFaults {
        slow: Millis::new(600),
        die_early: 1,
        ..Default::default()
    };
    service_faults(&bed, &dying);
    let addr = bed.entries[0].addr;
    let caller = thread::spawn(move || {
        let headers = [("x-client-account", "co-op")];
        send("PUT", addr, PATH, &headers, Some("40".into())).expect("an answer")
    });
    thread::sleep(Duration::from_millis(300));
    bed.services[0].stop();
    is_refused(&caller.join().expect("no panic"), "in_doubt", "no_endpoint");
}

#[test]
fn a_graceful_stop_lets_a_call_end_and_records_it() {
    let mut bed = Testbed::start(plan());
    service_faults(
        &bed,
        &ServiceFaults {
            slow: Millis::new(500),
            ..Default::default()
        },
    );
    let addr = bed.entries[0].addr;
    let caller = thread::spawn(move || try_deposit(addr, Some("k"), "40"));
    eventually("the call is agreed", || {
        state(bed.entries[1].addr, "k") == "pending"
    });
    bed.entries[0].terminate();
    let down = LogFaults {
        down: true,
        ..Default::default()
    };
    bed.log.set_faults(down);
    let answer = caller.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    thread::sleep(Duration::from_secs(1));
    bed.log.set_faults(LogFaults::default());
    assert!(bed.entries[0].wait());
    assert_eq!(state(bed.entries[1].addr, "k"), "answered");
    assert_eq!(runs(&bed, "40"), 1);
}

#[test]
fn a_leaving_service_gets_no_new_calls() {
    let bed = Testbed::start(Plan {
        services: 2,
        ..plan()
    });
    let leaving = |leaving| ListEntry {
        id: "quotes-0".into(),
        role: Role::Service,
        zone: "zone-0".into(),
        addr: bed.services[0].addr(),
        incarnation: 1,
        leaving,
    };
    bed.list.set(leaving(true));
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
fn bad_input_runs_nothing() {
    let bed = Testbed::start(plan());
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
        is_refused(&answer, "not_run", reason);
    }
    let large = Some("x".repeat(2 << 20));
    let answer = send("POST", addr, PATH, &[account], large).expect("an answer");
    is_refused(&answer, "not_run", "too_large");
    assert_eq!(bed.services[0].ledger().len(), 0);
    assert_eq!(get(addr, "/healthz").expect("an answer").status, 200);
}
