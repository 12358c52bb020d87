//! Incomplete, altered and inconsistent snapshots are rejected, and snapshots are renewed in time.

mod common;

use std::{sync::Arc, time::Duration};

use caraway_records::{
    Follower, FollowerInput, FollowerSettings, LogPage, LogRecord, Notice, PeerAnswer, Snapshot,
    SnapshotAssembly, SnapshotError,
};
use common::Cluster;
use serde_json::json;

/// Returns a cluster without instances whose log contains 1000 versions.
fn cluster(retention: usize) -> Cluster {
    let mut cluster = Cluster::new(0, retention, FollowerSettings::default());
    for i in 0..1000 {
        let key = format!("sign@{i}");
        cluster.publish(
            &key,
            "adapter_version",
            &key,
            &json!({ "note": "n".repeat(99) }),
        );
    }
    cluster
}

/// Returns the chunks of a snapshot with the first occurrence of `from` in each replaced by `to`.
fn altered(snapshot: &Snapshot, from: &str, to: &str) -> Vec<Arc<str>> {
    let chunks = snapshot.chunks.iter();
    chunks.map(|c| c.replacen(from, to, 1).into()).collect()
}

#[test]
fn incomplete_and_altered_snapshots_are_rejected() {
    let cluster = cluster(usize::MAX);
    let snapshot = Snapshot::of(&cluster.log.expected);
    assert!(snapshot.chunks.len() > 2);
    let restore = |chunks: &[Arc<str>]| SnapshotAssembly::restore_all(chunks, None).map(|_| ());
    assert_eq!(restore(&snapshot.chunks), Ok(()));
    let incomplete = restore(&snapshot.chunks[1..]);
    assert_eq!(incomplete, Err(SnapshotError::Incomplete));
    let altered_status = altered(&snapshot, r#""valid""#, r#""void""#);
    assert_eq!(
        restore(&altered_status),
        Err(SnapshotError::ChecksumMismatch)
    );
    let digest = format!("\"digest\":{}", snapshot.id.digest);
    let altered_digest = altered(&snapshot, &digest, "\"digest\":1");
    assert_eq!(restore(&altered_digest), Err(SnapshotError::DigestMismatch));
}

#[test]
fn valid_snapshot_is_restored_if_a_later_one_is_invalid() {
    let mut cluster = cluster(20);
    let good = Snapshot::of(&cluster.log.expected);
    for chunk in good.chunks {
        cluster.log.append(chunk);
    }
    let digest = format!("\"digest\":{}", cluster.log.expected.digest());
    let later = Snapshot::of(&cluster.log.expected);
    for chunk in altered(&later, &digest, "\"digest\":1") {
        cluster.log.append(chunk);
    }
    cluster.log.retention = 4 + 2 * later.chunks.len();
    let i = cluster.start();
    cluster.settle(Duration::from_secs(10));
    assert_eq!(
        **cluster.instances[i].follower.state(),
        cluster.log.expected
    );
}

#[test]
fn invalid_snapshot_from_peer_is_reported() {
    let mut cluster = cluster(0);
    let chunks = altered(
        &Snapshot::of(&cluster.log.expected),
        r#""valid""#,
        r#""void""#,
    );
    let i = cluster.start();
    let answer = PeerAnswer {
        snapshot: chunks,
        ..PeerAnswer::default()
    };
    cluster.handle(i, FollowerInput::Answer("entry-9".into(), Some(answer)));
    assert_eq!(cluster.instances[i].follower.state().next(), 0);
    let reported = &cluster.instances[i].notices;
    assert!(reported.contains(&Notice::SnapshotRejected(SnapshotError::ChecksumMismatch)));
}

#[test]
fn late_answer_from_peer_does_not_revert_state() {
    let mut cluster = cluster(usize::MAX);
    let early = Snapshot::of(&cluster.log.expected);
    cluster.publish("late", "account", "c", &json!({}));
    let i = cluster.start();
    cluster.settle(Duration::from_secs(10));
    let answer = PeerAnswer {
        snapshot: early.chunks,
        ..PeerAnswer::default()
    };
    cluster.handle(i, FollowerInput::Answer("entry-9".into(), Some(answer)));
    cluster.run_for(Duration::from_millis(100));
    assert!(cluster.instances[i].follower.state().account("c").is_some());
}

#[test]
fn diverged_peer_is_reported_once() {
    let mut cluster = cluster(usize::MAX);
    let i = cluster.start();
    cluster.settle(Duration::from_secs(10));
    let mut offer = cluster.instances[i].follower.offer();
    offer.digest += 1;
    for _ in 0..3 {
        cluster.handle(i, FollowerInput::Offer("entry-9".into(), offer));
    }
    let reported = Notice::Diverged {
        peer: "entry-9".into(),
        offset: offer.next,
    };
    assert_eq!(cluster.instances[i].notices, [reported]);
}

#[test]
fn snapshots_are_renewed_before_retention_drops_them() {
    let settings = FollowerSettings {
        snapshot_every: 1_000_000,
        snapshot_age_ms: 1_000_000_000.into(),
        ..FollowerSettings::default()
    };
    let mut cluster = Cluster::new(3, 100, settings);
    for i in 0..1000 {
        let key = format!("c{}", i % 20);
        cluster.publish(&i.to_string(), "account", &key, &json!({ "rate": i }));
        cluster.run_for(Duration::from_secs(5));
    }
    let appended = cluster.log.records.len() - 1000;
    assert!(appended < 60, "{appended} chunks");
    cluster.instances.clear();
    cluster.start();
    cluster.settle(Duration::from_secs(10));
    assert_eq!(
        **cluster.instances[0].follower.state(),
        cluster.log.expected
    );
}

#[test]
fn page_after_a_gap_is_not_folded() {
    let mut cluster = cluster(usize::MAX);
    let mut follower = Follower::new(&"a".into(), FollowerSettings::default(), cluster.now);
    let record = LogRecord {
        offset: 7,
        data: cluster.log.records[7].clone(),
    };
    let page = LogPage {
        oldest: 0,
        end: 8,
        records: vec![record],
    };
    follower.handle(cluster.now, FollowerInput::Page(page), &mut Vec::new());
    assert_eq!(follower.state().next(), 0);
    cluster.run_for(Duration::from_millis(100));
}
