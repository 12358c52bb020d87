//! Which version a stream of which there is no record began at.

use std::collections::BTreeMap;

use caraway_streams::{HistoryRecord, Origin, StreamOrigins, VersionHistory, VersionRecord};
use caraway_types::SoftwareVersion;

const SERVICE: &str = "lm";
/// How long streams last at most, in milliseconds.
const LIFE: u64 = 20_000;
/// Time of the first update, in Unix milliseconds.
const START: u64 = 1_000_000_000;

/// Updates a history by versions, each with the start of its earliest endpoint; returns whether other
/// instances have to know.
fn update(history: &mut VersionHistory, now: u64, present: &[(&str, u64)]) -> bool {
    let versions = present
        .iter()
        .map(|(name, started)| (SoftwareVersion::from(*name), Some(*started)));
    let versions: BTreeMap<SoftwareVersion, Option<u64>> = versions.collect();
    history.update(now, &SERVICE.into(), &versions).is_some()
}

/// Updates a history until a version that is missing counts as gone.
fn update_for_long(history: &mut VersionHistory, from: u64, present: &[(&str, u64)]) -> u64 {
    for second in 0..5 {
        update(history, from + second * 1000, present);
    }
    from + 4000
}

fn origin(history: &VersionHistory, now: u64) -> Origin {
    history.unrecorded_origin(now, SERVICE, LIFE)
}

fn known(software: &str) -> Origin {
    Origin::Known(software.into())
}

#[test]
fn only_version_is_the_origin_and_needs_no_record() {
    let mut history = VersionHistory::default();
    assert!(
        !update(&mut history, START, &[("v1", 5)]),
        "nothing to share"
    );
    assert!(!history.needs_record(START + 1, SERVICE, LIFE));
    assert_eq!(origin(&history, START + 1), known("v1"));
    assert_eq!(
        history.unrecorded_origin(START, "other", LIFE),
        Origin::Ambiguous,
        "nothing is known of other services"
    );
}

#[test]
fn streams_from_before_a_release_began_at_the_former_version() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    let release = START + 60_000;
    assert!(update(&mut history, release, &[("v1", 5), ("v2", release)]));
    assert!(history.needs_record(release + 1, SERVICE, LIFE));
    assert_eq!(origin(&history, release + 1000), known("v1"));
    assert_eq!(
        origin(&history, release + LIFE),
        Origin::Ambiguous,
        "those that exist now began beside both versions"
    );
}

// Guards against: an instance starts in the middle of a release and takes the new version, whose name
// sorts first, for the former one.
#[test]
fn of_versions_that_are_seen_together_first_the_oldest_endpoint_has_the_former() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("a-new", START - 10), ("old", 5)]);
    assert_eq!(origin(&history, START + 1000), known("old"));
}

// Guards against: the engines of the old version have just left, and the only one left is taken for
// the origin of every stream.
#[test]
fn version_that_has_just_left_is_still_a_possible_origin() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    update(&mut history, START + 1000, &[("v1", 5), ("v2", START)]);
    let left = update_for_long(&mut history, START + 60_000, &[("v2", START)]);
    assert_eq!(origin(&history, left + 1000), Origin::Ambiguous);
    assert!(history.needs_record(left + 1000, SERVICE, LIFE));
    let later = left + LIFE + 6000;
    assert_eq!(origin(&history, later), known("v2"));
    assert!(!history.needs_record(later, SERVICE, LIFE));
}

// Guards against: an instance that has just started knows only what it sees.
#[test]
fn started_instance_learns_the_history_of_others() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    let versions = [("v1", Some(5)), ("v2", Some(START))];
    let versions = versions.map(|(name, started)| (SoftwareVersion::from(name), started));
    let record = history
        .update(START + 1000, &SERVICE.into(), &BTreeMap::from(versions))
        .expect("a change");

    let mut started = VersionHistory::default();
    started.adopt(&record);
    let now = update_for_long(&mut started, START + 60_000, &[("v2", START)]);
    assert_eq!(origin(&started, now), Origin::Ambiguous);
}

#[test]
fn endpoint_that_is_missing_for_a_moment_changes_nothing() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    update(&mut history, START + 1000, &[("v1", 5), ("v2", START)]);
    assert!(!update(&mut history, START + 2000, &[("v2", START)]));
    assert!(!update(
        &mut history,
        START + 3000,
        &[("v1", 5), ("v2", START)]
    ));
    assert!(!update(&mut history, START + 9000, &[("v2", START)]));
}

#[test]
fn version_that_comes_back_is_a_possible_origin_again() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    update(&mut history, START + 1000, &[("v1", 5), ("v2", START)]);
    let left = update_for_long(&mut history, START + 60_000, &[("v2", START)]);
    let back = left + 100_000;
    assert_eq!(origin(&history, back - 1), known("v2"));
    let both = [("v1", back), ("v2", START)];
    assert!(update(&mut history, back, &both), "others have to know");
    assert!(history.needs_record(back, SERVICE, LIFE));
    assert_eq!(origin(&history, back + LIFE), Origin::Ambiguous);
}

// Guards against: a record with absurd times ends the process.
#[test]
fn absurd_times_are_survived() {
    let mut history = VersionHistory::default();
    let version = |software: &str, since, until| VersionRecord {
        software: software.into(),
        since,
        until,
    };
    history.adopt(&HistoryRecord {
        service: SERVICE.into(),
        versions: vec![
            version("v1", Some(u64::MAX), Some(u64::MAX)),
            version("v2", Some(0), Some(u64::MAX)),
        ],
        replaced: None,
        records_lost: None,
    });
    update(&mut history, START, &[("v1", u64::MAX)]);
    assert_eq!(origin(&history, START), Origin::Ambiguous);
}

#[test]
fn number_of_versions_is_bounded() {
    let mut history = VersionHistory::default();
    for number in 0..1000_u64 {
        let name = format!("v{number}");
        let now = START + number * 10_000;
        update_for_long(&mut history, now, &[(&name, now)]);
    }
    assert!(history.needs_record(START + 10_000_000, SERVICE, 1 << 40));
}

#[test]
fn first_record_of_a_stream_stays_and_the_oldest_are_dropped() {
    let mut origins = StreamOrigins::default();
    origins.insert(&"r1".into(), &"v1".into());
    origins.insert(&"r1".into(), &"v2".into());
    assert_eq!(origins.get("r1").map(|s| &**s), Some("v1"));
    for number in 0..40_000 {
        origins.insert(&format!("n{number}").into(), &"v2".into());
    }
    assert_eq!(origins.get("r1"), None);
    assert_eq!(origins.get("n39999").map(|s| &**s), Some("v2"));
}

// Guards against: an instance that has not read the new entry of an endpoint begins streams there without
// a record, which are taken for streams of the former version.
#[test]
fn unrecorded_streams_are_ambiguous_after_an_endpoint_changed_its_version() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    let release = START + 60_000;
    history.set_replaced(&SERVICE.into(), release);
    assert!(update(&mut history, release, &[("v1", 5), ("v2", release)]));
    assert_eq!(origin(&history, release + 1000), Origin::Ambiguous);
    let former = history.former_version(release + 1000, SERVICE, LIFE);
    assert_eq!(former, known("v1"), "older builds conclude this");
    let mut other = VersionHistory::default();
    other.adopt(&history.records()[0]);
    assert_eq!(origin(&other, release + 1000), Origin::Ambiguous);
    assert!(!update(
        &mut history,
        release + 1000,
        &[("v1", 5), ("v2", release)]
    ));
}

// Guards against: the store has lost the records of streams, and those are taken for streams of the former
// version.
#[test]
fn unrecorded_streams_are_ambiguous_after_records_were_lost() {
    let mut history = VersionHistory::default();
    update(&mut history, START, &[("v1", 5)]);
    let release = START + 1000;
    update(&mut history, release, &[("v1", 5), ("v2", release)]);
    assert!(history.set_records_lost(&SERVICE.into(), release + 2000));
    assert!(!history.set_records_lost(&SERVICE.into(), release + 2100));
    assert_eq!(origin(&history, release + 2500), Origin::Ambiguous);
    let former = history.former_version(release + 2500, SERVICE, LIFE);
    assert_eq!(former, known("v1"), "older builds conclude this");
    let mut other = VersionHistory::default();
    other.adopt(&history.records()[0]);
    assert_eq!(origin(&other, release + 2500), Origin::Ambiguous);
}

#[test]
fn newest_streams_come_first() {
    let mut origins = StreamOrigins::default();
    for number in 0..20_000 {
        origins.insert(&format!("n{number}").into(), &"v2".into());
    }
    let newest: Vec<&str> = origins.newest(10_000).map(|(id, _)| &**id).collect();
    let expected: Vec<String> = (10_000..20_000).rev().map(|n| format!("n{n}")).collect();
    assert_eq!(newest, expected);
}
