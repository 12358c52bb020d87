//! Snapshots that are torn, altered or false are not used.

mod common;

use std::{sync::Arc, time::Duration};

use caraway_records::{
    Assembly, Follower, FollowerInput, FollowerSettings, LogPage, LogRecord, Notice, PeerAnswer,
    Snapshot, SnapshotError,
};
use common::Floor;
use serde_json::json;

/// A floor without instances whose log holds a thousand versions.
fn floor(keep: usize) -> Floor {
    let mut floor = Floor::new(0, keep, FollowerSettings::default());
    for i in 0..1000 {
        let key = format!("sign@{i}");
        floor.publish(
            &key,
            "adapter_version",
            &key,
            &json!({ "note": "n".repeat(99) }),
        );
    }
    floor
}

/// The chunks of a snapshot with one text replaced in each.
fn altered(snapshot: &Snapshot, from: &str, to: &str) -> Vec<Arc<str>> {
    let chunks = snapshot.chunks.iter();
    chunks.map(|c| c.replacen(from, to, 1).into()).collect()
}

#[test]
fn torn_and_altered_snapshots_are_refused() {
    let floor = floor(usize::MAX);
    let snapshot = Snapshot::of(&floor.log.truth);
    assert!(snapshot.chunks.len() > 2);
    let restore = |chunks: &[Arc<str>]| Assembly::restore_all(chunks, None).map(|_| ());
    assert_eq!(restore(&snapshot.chunks), Ok(()));
    let torn = restore(&snapshot.chunks[1..]);
    assert_eq!(torn, Err(SnapshotError::Incomplete));
    let void = altered(&snapshot, r#""valid""#, r#""void""#);
    assert_eq!(restore(&void), Err(SnapshotError::Sum));
    let digest = format!("\"digest\":{}", snapshot.id.digest);
    let other = altered(&snapshot, &digest, "\"digest\":1");
    assert_eq!(restore(&other), Err(SnapshotError::Digest));
}

#[test]
fn a_false_snapshot_in_the_log_gives_way_to_the_true_one() {
    let mut floor = floor(20);
    let good = Snapshot::of(&floor.log.truth);
    for chunk in good.chunks {
        floor.log.append(chunk);
    }
    let digest = format!("\"digest\":{}", floor.log.truth.digest());
    let later = Snapshot::of(&floor.log.truth);
    for chunk in altered(&later, &digest, "\"digest\":1") {
        floor.log.append(chunk);
    }
    floor.log.keep = 4 + 2 * later.chunks.len();
    let i = floor.start();
    floor.settle(Duration::from_secs(10));
    assert_eq!(**floor.members[i].follower.state(), floor.log.truth);
}

#[test]
fn a_false_snapshot_of_a_peer_is_told() {
    let mut floor = floor(0);
    let chunks = altered(&Snapshot::of(&floor.log.truth), r#""valid""#, r#""void""#);
    let i = floor.start();
    let answer = PeerAnswer {
        snapshot: chunks,
        ..PeerAnswer::default()
    };
    floor.handle(i, FollowerInput::Answer("entry-9".into(), Some(answer)));
    assert_eq!(floor.members[i].follower.state().next(), 0);
    let told = &floor.members[i].notices;
    assert!(told.contains(&Notice::SnapshotRejected(SnapshotError::Sum)));
}

#[test]
fn a_late_answer_of_a_peer_takes_nothing_back() {
    let mut floor = floor(usize::MAX);
    let early = Snapshot::of(&floor.log.truth);
    floor.publish("late", "account", "c", &json!({}));
    let i = floor.start();
    floor.settle(Duration::from_secs(10));
    let answer = PeerAnswer {
        snapshot: early.chunks,
        ..PeerAnswer::default()
    };
    floor.handle(i, FollowerInput::Answer("entry-9".into(), Some(answer)));
    floor.run(Duration::from_millis(100));
    assert!(floor.members[i].follower.state().account("c").is_some());
}

#[test]
fn a_peer_with_another_digest_is_told_once() {
    let mut floor = floor(usize::MAX);
    let i = floor.start();
    floor.settle(Duration::from_secs(10));
    let mut offer = floor.members[i].follower.offer();
    offer.digest += 1;
    for _ in 0..3 {
        floor.handle(i, FollowerInput::Offer("entry-9".into(), offer));
    }
    let told = Notice::Diverged {
        peer: "entry-9".into(),
        offset: offer.next,
    };
    assert_eq!(floor.members[i].notices, [told]);
}

#[test]
fn snapshots_move_on_before_the_retention_reaches_them() {
    let settings = FollowerSettings {
        snapshot_every: 1_000_000,
        snapshot_age_ms: 1_000_000_000.into(),
        ..FollowerSettings::default()
    };
    let mut floor = Floor::new(3, 100, settings);
    for i in 0..1000 {
        let key = format!("c{}", i % 20);
        floor.publish(&i.to_string(), "account", &key, &json!({ "rate": i }));
        floor.run(Duration::from_secs(5));
    }
    let appended = floor.log.records.len() - 1000;
    assert!(appended < 60, "{appended} chunks");
    floor.members.clear();
    floor.start();
    floor.settle(Duration::from_secs(10));
    assert_eq!(**floor.members[0].follower.state(), floor.log.truth);
}

#[test]
fn a_page_from_beyond_a_gap_is_not_folded() {
    let mut floor = floor(usize::MAX);
    let mut follower = Follower::new(&"a".into(), FollowerSettings::default(), floor.now);
    let record = LogRecord {
        offset: 7,
        data: floor.log.records[7].clone(),
    };
    let page = LogPage {
        oldest: 0,
        end: 8,
        records: vec![record],
    };
    follower.handle(floor.now, FollowerInput::Page(page), &mut Vec::new());
    assert_eq!(follower.state().next(), 0);
    floor.run(Duration::from_millis(100));
}
