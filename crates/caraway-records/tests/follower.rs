//! Failures of the log, of instances and of operators, against a small fake log.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use caraway_records::{
    FollowerInput, FollowerSettings, Notice, Offer, Outcome, RefusedRecord, Snapshot,
};
use common::Floor;
use serde_json::{Value, json};

/// Time within which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_mins(1);
const ALL: usize = usize::MAX;

fn floor(keep: usize) -> Floor {
    Floor::new(6, keep, FollowerSettings::default())
}

/// The offsets and digests of all instances.
fn digests(floor: &Floor) -> BTreeSet<(u64, u64)> {
    let offers = floor.members.iter().map(|m| m.follower.offer());
    offers.map(|o| (o.next, o.digest)).collect()
}

/// Publishes `count` versions of one adapter, and serves the last.
fn publish_versions(floor: &mut Floor, adapter: &str, count: usize) {
    for i in 0..count {
        let key = format!("{adapter}@{i}");
        floor.publish(&key, "adapter_version", &key, &json!({}));
    }
    let last = (count - 1).to_string();
    let id = format!("serve-{adapter}-{last}");
    floor.publish(&id, "adapter", adapter, &json!({ "version": last }));
}

#[test]
fn two_operators_race_on_200_keys() {
    let mut floor = floor(ALL);
    for round in 0..3 {
        for key in 0..200 {
            let key = format!("c{key}");
            let base = floor.log.truth.revision("account", &key);
            for operator in ["ann", "ben"] {
                let record = json!({
                    "schema": 1, "kind": "account", "key": key, "base": base,
                    "id": format!("{operator}-{key}-{round}"), "author": operator,
                    "body": {"rate": if operator == "ann" { 1 } else { 2 }},
                });
                floor.log.append(record.to_string());
            }
        }
        floor.settle(IN_FORCE);
    }
    assert_eq!(digests(&floor).len(), 1);
    for member in &floor.members {
        let refused = |o: &&(u64, Outcome)| matches!(o.1, Outcome::Refused(_));
        assert_eq!(member.outcomes.iter().filter(refused).count(), 600);
        for key in 0..200 {
            let account = member.follower.state().account(&format!("c{key}"));
            assert!((account.unwrap().rate - 1.0).abs() < f64::EPSILON);
        }
    }
}

#[test]
fn a_repeated_append_is_no_second_change() {
    let mut floor = floor(ALL);
    floor.publish("a", "account", "c", &json!({"rate": 1}));
    let text = floor.log.records[0].clone();
    floor.publish("b", "account", "c", &json!({"rate": 2}));
    assert_eq!(floor.log.append(text).1, Outcome::Duplicate(0));
    floor.settle(IN_FORCE);
    assert_eq!(digests(&floor).len(), 1);
    let state = floor.members[5].follower.state();
    assert!((state.account("c").unwrap().rate - 2.0).abs() < f64::EPSILON);
}

#[test]
fn an_instance_paused_past_the_retention_comes_back() {
    let settings = FollowerSettings {
        snapshot_every: 20,
        ..FollowerSettings::default()
    };
    let mut floor = Floor::new(6, 100, settings);
    publish_versions(&mut floor, "sign", 2);
    floor.settle(IN_FORCE);
    floor.members[0].paused = true;
    for i in 0..30 {
        publish_versions(&mut floor, &format!("a{i}"), 9);
        floor.run(MINUTE);
    }
    let before = floor.members[0].follower.state().next();
    floor.members[0].paused = false;
    floor.settle(IN_FORCE);
    assert!(floor.members[0].follower.state().next() > before + 100);
    assert_eq!(digests(&floor).len(), 1);
}

#[test]
fn all_instances_but_one_are_replaced_while_the_log_is_down() {
    let mut floor = floor(ALL);
    publish_versions(&mut floor, "sign", 3);
    floor.settle(IN_FORCE);
    floor.log.down = true;
    floor.run(MINUTE);
    floor.members.truncate(1);
    for _ in 0..5 {
        let i = floor.start();
        assert!(!floor.members[i].follower.is_ready());
    }
    floor.settle(IN_FORCE);
    assert_eq!(digests(&floor).len(), 1);
    for member in &floor.members {
        assert!(member.follower.is_ready());
        let adapter = member.follower.state().resolve("sign").unwrap();
        assert_eq!(adapter.to_string(), "sign@2");
    }
}

#[test]
fn a_history_longer_than_the_retention_survives_in_snapshots() {
    let settings = FollowerSettings {
        snapshot_every: 100,
        ..FollowerSettings::default()
    };
    let mut floor = Floor::new(6, 300, settings);
    for i in 0..60 {
        publish_versions(&mut floor, &format!("a{i}"), 24);
        floor.run(MINUTE);
    }
    assert!(floor.log.records.len() > 1500);
    floor.members.clear();
    floor.start();
    floor.settle(IN_FORCE);
    let state = floor.members[0].follower.state();
    assert_eq!(state.resolve("a0").unwrap().to_string(), "a0@23");
    assert_eq!(**state, floor.log.truth);
}

#[test]
fn an_idle_log_keeps_a_snapshot() {
    let settings = FollowerSettings {
        snapshot_age_ms: 600_000.into(),
        ..FollowerSettings::default()
    };
    let mut floor = Floor::new(6, 40, settings);
    publish_versions(&mut floor, "sign", 3);
    floor.run(60 * MINUTE);
    let chunks = floor.log.records.len() - 4;
    assert!((4..=18).contains(&chunks), "{chunks} chunks");
    floor.log.keep = 1;
    floor.members.clear();
    floor.start();
    floor.settle(IN_FORCE);
    assert!(floor.members[0].follower.state().resolve("sign").is_ok());
}

#[test]
fn a_zone_cut_off_from_the_log_keeps_up_through_peers() {
    let mut floor = floor(ALL);
    floor.members[4].cut = true;
    floor.members[5].cut = true;
    publish_versions(&mut floor, "sign", 2);
    floor.settle(IN_FORCE);
    floor.run(MINUTE);
    publish_versions(&mut floor, "banner", 2);
    floor.settle(IN_FORCE);
    assert_eq!(digests(&floor).len(), 1);
}

#[test]
fn a_change_made_while_the_log_is_slow_to_come_back_is_in_force_in_time() {
    let mut floor = floor(ALL);
    publish_versions(&mut floor, "sign", 2);
    floor.settle(IN_FORCE);
    floor.log.down = true;
    floor.run(MINUTE);
    floor.log.down = false;
    publish_versions(&mut floor, "banner", 2);
    floor.settle(IN_FORCE);
}

#[test]
fn lost_answers_to_snapshot_appends_end_in_one_state() {
    let settings = FollowerSettings {
        snapshot_every: 10,
        ..FollowerSettings::default()
    };
    let mut floor = Floor::new(6, 60, settings);
    floor.log.lose = 3;
    for i in 0..20 {
        publish_versions(&mut floor, &format!("a{i}"), 9);
        floor.run(MINUTE);
    }
    assert_eq!(floor.log.lose, 0);
    floor.members.clear();
    floor.start();
    floor.settle(IN_FORCE);
    assert_eq!(**floor.members[0].follower.state(), floor.log.truth);
}

#[test]
fn corrupt_and_hostile_records_are_refused_alike() {
    let mut floor = floor(ALL);
    publish_versions(&mut floor, "sign", 1);
    let long = "x".repeat(300_000);
    let deep = "[".repeat(1000);
    let record = |id: &str, kind: &str, key: &str, body: Value| {
        json!({"schema": 1, "kind": kind, "key": key, "id": id, "body": body}).to_string()
    };
    let hostile = [
        String::new(),
        "\0\u{202e}{".into(),
        "null".into(),
        "[]".into(),
        r#"{"schema":-1,"kind":"adapter","key":"a","id":"1","body":{}}"#.into(),
        r#"{"schema":1,"kind":"adapter","key":"a/b","id":"2","body":{}}"#.into(),
        r#"{"schema":1,"kind":"snapshot","key":"9","body":{}}"#.into(),
        record("3", "adapter", "sign", json!({"version": "none"})),
        record("4", "adapter", "sign", json!(7)),
        record("5", "account", "c", json!({"rate": 1e300})),
        record("6", "account", "c", json!({"rate": 1, "colour": "red"})),
        record("7", "adapter", "x", json!({"version": "1"})),
        record("8", "account", "d", json!({ "rate": 1, "x": long })),
        deep,
        long,
    ];
    for text in hostile {
        floor.log.append(text);
    }
    floor.settle(IN_FORCE);
    let first = floor.members[0].outcomes.clone();
    assert!(first[2..].iter().all(|(_, o)| *o != Outcome::Applied));
    assert!(floor.members.iter().all(|m| m.outcomes == first));
    let state = floor.members[0].follower.state();
    assert_eq!(state.resolve("sign").unwrap().to_string(), "sign@0");
    let large = |o: &Outcome| matches!(o, Outcome::Refused(RefusedRecord::TooLarge { .. }));
    assert_eq!(first.iter().filter(|(_, o)| large(o)).count(), 2);
}

#[test]
fn a_false_snapshot_is_told_and_not_used() {
    let settings = FollowerSettings {
        snapshot_every: 10,
        ..FollowerSettings::default()
    };
    let mut floor = Floor::new(2, 60, settings);
    for i in 0..10 {
        publish_versions(&mut floor, &format!("a{i}"), 9);
        floor.run(MINUTE);
    }
    let chunk = Snapshot::of(&floor.log.truth).chunks[0].clone();
    let false_chunk: Arc<str> = chunk.replace("a3@", "a4@").into();
    floor.log.append(false_chunk);
    floor.members.clear();
    floor.start();
    floor.settle(IN_FORCE);
    assert_eq!(**floor.members[0].follower.state(), floor.log.truth);
}

#[test]
fn lost_history_is_told_and_nothing_is_served() {
    let mut floor = floor(2);
    floor.members.clear();
    publish_versions(&mut floor, "sign", 9);
    let i = floor.start();
    floor.run(MINUTE);
    let lost = Notice::HistoryLost { oldest: 8 };
    assert_eq!(floor.members[i].notices, [lost]);
    assert!(!floor.members[i].follower.is_ready());
}

#[test]
fn the_offer_of_a_peer_that_is_gone_holds_nobody_back() {
    let mut floor = floor(ALL);
    publish_versions(&mut floor, "sign", 2);
    floor.settle(IN_FORCE);
    floor.log.down = true;
    floor.members.truncate(1);
    let i = floor.start();
    let offer = Offer {
        next: 1_000,
        digest: 1,
    };
    floor.handle(i, FollowerInput::Offer("gone".into(), offer));
    floor.run(2 * MINUTE);
    assert!(floor.members[i].follower.is_ready());
}
