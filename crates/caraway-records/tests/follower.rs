//! Followers converge despite failures of the log, of instances and of operators.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use caraway_records::{
    FollowerInput, FollowerSettings, Notice, Offer, Outcome, RefusedRecord, Snapshot,
};
use common::Cluster;
use serde_json::{Value, json};

/// Time within which a change must be in force on all instances.
const APPLY_LIMIT: Duration = Duration::from_secs(10);
const MINUTE: Duration = Duration::from_mins(1);
const UNLIMITED: usize = usize::MAX;

fn cluster(retention: usize) -> Cluster {
    Cluster::new(6, retention, FollowerSettings::default())
}

/// Returns the distinct offsets and digests of all instances.
fn digests(cluster: &Cluster) -> BTreeSet<(u64, u64)> {
    let offers = cluster.instances.iter().map(|m| m.follower.offer());
    offers.map(|o| (o.next, o.digest)).collect()
}

/// Publishes `count` versions of one adapter and serves the last.
fn publish_versions(cluster: &mut Cluster, adapter: &str, count: usize) {
    for i in 0..count {
        let key = format!("{adapter}@{i}");
        cluster.publish(&key, "adapter_version", &key, &json!({}));
    }
    let last = (count - 1).to_string();
    let id = format!("serve-{adapter}-{last}");
    cluster.publish(&id, "adapter", adapter, &json!({ "version": last }));
}

#[test]
fn concurrent_operators_converge_on_200_keys() {
    let mut cluster = cluster(UNLIMITED);
    for round in 0..3 {
        for key in 0..200 {
            let key = format!("c{key}");
            let base = cluster.log.expected.revision("account", &key);
            for operator in ["ann", "ben"] {
                let record = json!({
                    "schema": 1, "kind": "account", "key": key, "base": base,
                    "id": format!("{operator}-{key}-{round}"), "author": operator,
                    "body": {"rate": if operator == "ann" { 1 } else { 2 }},
                });
                cluster.log.append(record.to_string());
            }
        }
        cluster.settle(APPLY_LIMIT);
    }
    assert_eq!(digests(&cluster).len(), 1);
    for instance in &cluster.instances {
        let refused = |o: &&(u64, Outcome)| matches!(o.1, Outcome::Refused(_));
        assert_eq!(instance.outcomes.iter().filter(refused).count(), 600);
        for key in 0..200 {
            let account = instance.follower.state().account(&format!("c{key}"));
            assert!((account.unwrap().rate - 1.0).abs() < f64::EPSILON);
        }
    }
}

#[test]
fn duplicate_append_is_ignored() {
    let mut cluster = cluster(UNLIMITED);
    cluster.publish("a", "account", "c", &json!({"rate": 1}));
    let text = cluster.log.records[0].clone();
    cluster.publish("b", "account", "c", &json!({"rate": 2}));
    assert_eq!(cluster.log.append(text).1, Outcome::Duplicate(0));
    cluster.settle(APPLY_LIMIT);
    assert_eq!(digests(&cluster).len(), 1);
    let state = cluster.instances[5].follower.state();
    assert!((state.account("c").unwrap().rate - 2.0).abs() < f64::EPSILON);
}

#[test]
fn instance_paused_beyond_retention_catches_up() {
    let settings = FollowerSettings {
        snapshot_every: 20,
        ..FollowerSettings::default()
    };
    let mut cluster = Cluster::new(6, 100, settings);
    publish_versions(&mut cluster, "sign", 2);
    cluster.settle(APPLY_LIMIT);
    cluster.instances[0].paused = true;
    for i in 0..30 {
        publish_versions(&mut cluster, &format!("a{i}"), 9);
        cluster.run_for(MINUTE);
    }
    let before = cluster.instances[0].follower.state().next();
    cluster.instances[0].paused = false;
    cluster.settle(APPLY_LIMIT);
    assert!(cluster.instances[0].follower.state().next() > before + 100);
    assert_eq!(digests(&cluster).len(), 1);
}

#[test]
fn new_instances_catch_up_from_one_peer_while_log_is_down() {
    let mut cluster = cluster(UNLIMITED);
    publish_versions(&mut cluster, "sign", 3);
    cluster.settle(APPLY_LIMIT);
    cluster.log.down = true;
    cluster.run_for(MINUTE);
    cluster.instances.truncate(1);
    for _ in 0..5 {
        let i = cluster.start();
        assert!(!cluster.instances[i].follower.is_ready());
    }
    cluster.settle(APPLY_LIMIT);
    assert_eq!(digests(&cluster).len(), 1);
    for instance in &cluster.instances {
        assert!(instance.follower.is_ready());
        let adapter = instance.follower.state().resolve("sign").unwrap();
        assert_eq!(adapter.to_string(), "sign@2");
    }
}

#[test]
fn snapshots_preserve_history_beyond_retention() {
    let settings = FollowerSettings {
        snapshot_every: 100,
        ..FollowerSettings::default()
    };
    let mut cluster = Cluster::new(6, 300, settings);
    for i in 0..60 {
        publish_versions(&mut cluster, &format!("a{i}"), 24);
        cluster.run_for(MINUTE);
    }
    assert!(cluster.log.records.len() > 1500);
    cluster.instances.clear();
    cluster.start();
    cluster.settle(APPLY_LIMIT);
    let state = cluster.instances[0].follower.state();
    assert_eq!(state.resolve("a0").unwrap().to_string(), "a0@23");
    assert_eq!(**state, cluster.log.expected);
}

#[test]
fn idle_log_retains_a_snapshot() {
    let settings = FollowerSettings {
        snapshot_age_ms: 600_000.into(),
        ..FollowerSettings::default()
    };
    let mut cluster = Cluster::new(6, 40, settings);
    publish_versions(&mut cluster, "sign", 3);
    cluster.run_for(60 * MINUTE);
    let chunks = cluster.log.records.len() - 4;
    assert!((4..=18).contains(&chunks), "{chunks} chunks");
    cluster.log.retention = 1;
    cluster.instances.clear();
    cluster.start();
    cluster.settle(APPLY_LIMIT);
    assert!(
        cluster.instances[0]
            .follower
            .state()
            .resolve("sign")
            .is_ok()
    );
}

#[test]
fn instances_cut_off_from_log_follow_through_peers() {
    let mut cluster = cluster(UNLIMITED);
    cluster.instances[4].log_unreachable = true;
    cluster.instances[5].log_unreachable = true;
    publish_versions(&mut cluster, "sign", 2);
    cluster.settle(APPLY_LIMIT);
    cluster.run_for(MINUTE);
    publish_versions(&mut cluster, "banner", 2);
    cluster.settle(APPLY_LIMIT);
    assert_eq!(digests(&cluster).len(), 1);
}

#[test]
fn change_after_log_outage_is_applied_in_time() {
    let mut cluster = cluster(UNLIMITED);
    publish_versions(&mut cluster, "sign", 2);
    cluster.settle(APPLY_LIMIT);
    cluster.log.down = true;
    cluster.run_for(MINUTE);
    cluster.log.down = false;
    publish_versions(&mut cluster, "banner", 2);
    cluster.settle(APPLY_LIMIT);
}

#[test]
fn lost_append_answers_do_not_affect_state() {
    let settings = FollowerSettings {
        snapshot_every: 10,
        ..FollowerSettings::default()
    };
    let mut cluster = Cluster::new(6, 60, settings);
    cluster.log.lost_answers = 3;
    for i in 0..20 {
        publish_versions(&mut cluster, &format!("a{i}"), 9);
        cluster.run_for(MINUTE);
    }
    assert_eq!(cluster.log.lost_answers, 0);
    cluster.instances.clear();
    cluster.start();
    cluster.settle(APPLY_LIMIT);
    assert_eq!(
        **cluster.instances[0].follower.state(),
        cluster.log.expected
    );
}

#[test]
fn all_instances_reject_malformed_records_alike() {
    let mut cluster = cluster(UNLIMITED);
    publish_versions(&mut cluster, "sign", 1);
    let long = "x".repeat(300_000);
    let deep = "[".repeat(1000);
    let record = |id: &str, kind: &str, key: &str, body: Value| {
        json!({"schema": 1, "kind": kind, "key": key, "id": id, "body": body}).to_string()
    };
    let malformed = [
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
    for text in malformed {
        cluster.log.append(text);
    }
    cluster.settle(APPLY_LIMIT);
    let first = cluster.instances[0].outcomes.clone();
    assert!(first[2..].iter().all(|(_, o)| *o != Outcome::Applied));
    assert!(cluster.instances.iter().all(|m| m.outcomes == first));
    let state = cluster.instances[0].follower.state();
    assert_eq!(state.resolve("sign").unwrap().to_string(), "sign@0");
    let large = |o: &Outcome| matches!(o, Outcome::Refused(RefusedRecord::TooLarge { .. }));
    assert_eq!(first.iter().filter(|(_, o)| large(o)).count(), 2);
}

#[test]
fn corrupt_snapshot_chunk_is_not_restored() {
    let settings = FollowerSettings {
        snapshot_every: 10,
        ..FollowerSettings::default()
    };
    let mut cluster = Cluster::new(2, 60, settings);
    for i in 0..10 {
        publish_versions(&mut cluster, &format!("a{i}"), 9);
        cluster.run_for(MINUTE);
    }
    let chunk = Snapshot::of(&cluster.log.expected).chunks[0].clone();
    let corrupt_chunk: Arc<str> = chunk.replace("a3@", "a4@").into();
    cluster.log.append(corrupt_chunk);
    cluster.instances.clear();
    cluster.start();
    cluster.settle(APPLY_LIMIT);
    assert_eq!(
        **cluster.instances[0].follower.state(),
        cluster.log.expected
    );
}

#[test]
fn lost_history_is_reported_and_follower_is_not_ready() {
    let mut cluster = cluster(2);
    cluster.instances.clear();
    publish_versions(&mut cluster, "sign", 9);
    let i = cluster.start();
    cluster.run_for(MINUTE);
    let lost = Notice::HistoryLost { oldest: 8 };
    assert_eq!(cluster.instances[i].notices, [lost]);
    assert!(!cluster.instances[i].follower.is_ready());
}

#[test]
fn expired_offer_does_not_block_readiness() {
    let mut cluster = cluster(UNLIMITED);
    publish_versions(&mut cluster, "sign", 2);
    cluster.settle(APPLY_LIMIT);
    cluster.log.down = true;
    cluster.instances.truncate(1);
    let i = cluster.start();
    let offer = Offer {
        next: 1_000,
        digest: 1,
    };
    cluster.handle(i, FollowerInput::Offer("gone".into(), offer));
    cluster.run_for(2 * MINUTE);
    assert!(cluster.instances[i].follower.is_ready());
}
