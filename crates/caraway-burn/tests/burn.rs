//! Compares burn rates with manual computations, and checks reports with missing or invalid
//! sources.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use caraway_burn::{Alarm, InstanceCounts, Report, Sample, Snapshot, Sources, render_text};
use caraway_records::{Measure, Objective};
use caraway_types::{Class, InstanceId, Millis};

/// The last second of a one-minute bucket, so that the last hour is 60 complete buckets.
const NOW: u64 = 1_800_000_059;

fn objective(measure: Measure, threshold_ms: u64) -> Objective {
    Objective {
        account: None,
        class: Some(Class::Interactive),
        measure,
        threshold_ms: Millis::new(threshold_ms),
        target: 0.95,
        window_ms: Millis::new(3 * 24 * 3600 * 1000),
    }
}

fn objectives() -> BTreeMap<Arc<str>, Objective> {
    BTreeMap::from([
        ("answered".into(), objective(Measure::Answered, 0)),
        ("first-token".into(), objective(Measure::FirstToken, 1900)),
    ])
}

fn sample(first_token_ms: u64) -> Sample {
    Sample {
        account: "co-op".into(),
        answered: true,
        first_token: Some(Duration::from_millis(first_token_ms)),
        total_time: Duration::from_secs(3),
        ..Sample::default()
    }
}

/// Returns the counts of one request per second for an hour, of which every `slow_every`th is slow.
fn counts(slow_every: u64) -> InstanceCounts {
    let objectives = objectives();
    let mut counts = InstanceCounts::default();
    for second in NOW - 3599..=NOW {
        let wait = if second % slow_every == 0 { 2500 } else { 400 };
        counts.add(second, objectives.iter(), &sample(wait));
    }
    counts
}

/// Returns the snapshot of an instance of which every `slow_every`th request is slow.
fn snapshot(name: &str, slow_every: u64) -> Snapshot {
    Snapshot {
        objectives: objectives(),
        ..counts(slow_every).snapshot(NOW, &instance(name), 1)
    }
}

/// Returns the snapshot of an instance without requests.
fn idle_snapshot(name: &str) -> Snapshot {
    Snapshot {
        objectives: objectives(),
        ..InstanceCounts::default().snapshot(NOW, &instance(name), 1)
    }
}

fn instance(name: &str) -> InstanceId {
    name.into()
}

#[test]
fn burn_rates_match_manual_computation() {
    let sources = Sources {
        snapshots: vec![snapshot("tt-1", 1), snapshot("tt-2", 4)],
        ..Sources::default()
    };
    let report = Report::new(NOW, &sources);
    assert_eq!(report.notes, []);
    let [answered, first] = &report.rows[..] else {
        panic!("two objectives");
    };
    // All requests of one instance and a quarter of the other's are slow: 4,500 of 7,200 is a share
    // of 0.625, which is 12.5 times the allowed 0.05.
    let hour = first
        .windows
        .iter()
        .find(|w| w.seconds == 3600)
        .expect("an hour");
    assert_eq!((hour.counts.bad, hour.counts.good), (4500, 2700));
    assert!((hour.rate.expect("requests") - 12.5).abs() < 1e-9);
    // 12.5 is below the 14.4 of the page rule and above the 6 of the next one.
    assert_eq!(first.alarm, Some(Alarm::Urgent));
    assert!((first.budget_left.expect("requests") + 11.5).abs() < 1e-9);
    assert_eq!(first.exhausted_in, Some(Millis::new(0)));
    // Slow requests burn only the budget of the objective that measures the first token.
    assert_eq!(answered.alarm, None);
    assert!((answered.budget_left.expect("requests") - 1.0).abs() < 1e-9);
    assert_eq!(answered.exhausted_in, None);
}

#[test]
fn unreachable_instance_is_counted_once_from_its_records() {
    let mut counts = counts(1);
    let unreachable = instance("tt-1");
    let mut records: Vec<Arc<str>> = Vec::new();
    // The record of the closed bucket is in the log twice, followed by two invalid records.
    let record = counts
        .take_record(NOW, &unreachable, 7, false)
        .expect("a closed bucket");
    assert_eq!(counts.take_record(NOW, &unreachable, 7, false), None);
    let text: Arc<str> = serde_json::to_string(&record).expect("it encodes").into();
    records.extend([
        Arc::clone(&text),
        text,
        "{".into(),
        r#"{"schema":9}"#.into(),
    ]);
    let sources = Sources {
        snapshots: vec![idle_snapshot("tt-2")],
        unreachable: BTreeMap::from([(unreachable, "no answer in time".into())]),
        records,
        ..Sources::default()
    };
    let report = Report::new(NOW, &sources);
    let first = &report.rows[1];
    let long = first.windows.last().expect("windows");
    assert_eq!(long.counts.bad, 600);
    let places: Vec<_> = report.notes.iter().map(|n| &*n.source).collect();
    assert_eq!(places, ["tt-1", "record 2", "record 3"]);
}

#[test]
fn invalid_sources_are_noted_and_the_others_are_counted() {
    let mut newer = snapshot("tt-9", 1);
    newer.schema = 2;
    let mut late = snapshot("tt-2", u64::MAX);
    late.now = NOW - 90;
    let sources = Sources {
        snapshots: vec![newer, late],
        log_error: Some("no answer in time".into()),
        ..Sources::default()
    };
    let text = render_text(&Report::new(NOW, &sources));
    let notes: Vec<_> = text.lines().filter(|l| l.starts_with("note:")).collect();
    assert_eq!(
        notes,
        [
            "note: tt-9: schema 2 is not known; left out",
            "note: tt-2: its clock differs by 90 s",
            "note: log: not read (no answer in time); instances that ended are missing",
        ]
    );
    assert!(
        text.contains("first-token               95.00%      3600   0.00"),
        "{text}"
    );
}

#[test]
fn empty_window_has_no_burn_rate() {
    let sources = Sources {
        snapshots: vec![idle_snapshot("tt-1")],
        ..Sources::default()
    };
    let report = Report::new(NOW, &sources);
    assert!(
        report
            .rows
            .iter()
            .all(|r| r.alarm.is_none() && r.budget_left.is_none())
    );
}
