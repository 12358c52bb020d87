//! Property tests of the fold: the same records give the same state, however they are delivered.

use std::sync::Arc;

use caraway_records::{Outcome, Snapshot, SnapshotAssembly, State};
use proptest::{
    collection::vec,
    prelude::*,
    sample::Index,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Value, json};

/// Number of random cases per property.
const CASES: u32 = 200;

/// One step of a random history.
#[derive(Clone, Debug)]
enum Step {
    /// A record of the given kind, key and schema, with a correct or a wrong base.
    Record {
        kind: usize,
        key: u8,
        version: u8,
        schema: u32,
        delete: bool,
        base_matches: bool,
    },
    /// A duplicate of an earlier record.
    Duplicate(Index),
    /// A different record with an earlier id.
    ReusedId(Index),
    /// A text that is not a record.
    Malformed(String),
    /// One chunk of a snapshot.
    Chunk,
}

/// Checks a property with a fixed random seed, so that the result is reproducible.
fn check<S: Strategy>(strategy: &S, property: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(strategy, property).unwrap();
}

fn step() -> impl Strategy<Value = Step> {
    let record = (0..8usize, 0..3u8, 1..4u8, 1..4u32, 0..6u8, 0..8u8);
    let record =
        record.prop_map(
            |(kind, key, version, schema, delete, base_matches)| Step::Record {
                kind,
                key,
                version,
                schema,
                delete: delete == 0,
                base_matches: base_matches > 0,
            },
        );
    prop_oneof![
        16 => record,
        2 => any::<Index>().prop_map(Step::Duplicate),
        1 => any::<Index>().prop_map(Step::ReusedId),
        1 => ".{0,20}".prop_map(Step::Malformed),
        1 => Just(Step::Chunk),
    ]
}

/// Creates the record of a step; its body may not match the kind or the schema.
fn record(state: &State, index: usize, step: &Step) -> Value {
    let Step::Record {
        kind,
        key,
        version,
        schema,
        delete,
        base_matches,
    } = step
    else {
        return Value::Null;
    };
    let version = version.to_string();
    let (kind, key, body) = match kind {
        0 => ("adapter", format!("a{key}"), json!({ "version": version })),
        1 => ("adapter", format!("a{key}"), json!({ "serve": version })),
        2..4 => ("adapter_version", format!("a{key}@{version}"), json!({})),
        4 => ("account", format!("c{key}"), json!({ "rate": 3.5 })),
        5 => (
            "objective",
            format!("o{key}"),
            json!({"measure": "answered", "account": format!("c{version}")}),
        ),
        6 => ("routing", "default".into(), json!({ "stall_weight": 2 })),
        _ => ("unknown", format!("u{key}"), json!([])),
    };
    let base = if *base_matches {
        state.revision(kind, &key)
    } else {
        Some(0)
    };
    json!({
        "schema": schema,
        "kind": kind,
        "key": key,
        "base": base,
        "id": format!("r{index}"),
        "body": if *delete { Value::Null } else { body },
    })
}

/// Creates the log that results from a list of steps.
fn history(steps: &[Step]) -> Vec<Arc<str>> {
    let mut state = State::default();
    let mut log: Vec<Arc<str>> = Vec::new();
    for (i, step) in steps.iter().enumerate() {
        let text: Arc<str> = match step {
            Step::Duplicate(index) if !log.is_empty() => index.get(&log).clone(),
            Step::ReusedId(index) if !log.is_empty() => format!("{} ", index.get(&log)).into(),
            Step::Malformed(text) => text.as_str().into(),
            Step::Chunk => Snapshot::of(&state).chunks[0].clone(),
            step => record(&state, i, step).to_string().into(),
        };
        state.apply(state.next(), &text);
        log.push(text);
    }
    log
}

fn fold(state: &mut State, log: &[Arc<str>]) -> Vec<Outcome> {
    let from = usize::try_from(state.next()).unwrap();
    let rest = log[from..].iter();
    rest.map(|text| state.apply(state.next(), text)).collect()
}

#[test]
fn restoring_a_snapshot_at_any_offset_gives_the_same_state() {
    check(&(vec(step(), 1..60), any::<Index>()), |(steps, cut)| {
        let log = history(&steps);
        let mut whole = State::default();
        let outcomes = fold(&mut whole, &log);
        let cut = cut.index(log.len());
        let mut before = State::default();
        fold(&mut before, &log[..cut]);
        let chunks = Snapshot::of(&before).chunks;
        let mut after = SnapshotAssembly::restore_all(&chunks, None).unwrap();
        prop_assert_eq!(&after, &before);
        let rest = fold(&mut after, &log);
        prop_assert_eq!(&rest[..], &outcomes[cut..]);
        prop_assert_eq!(after.digest(), whole.digest());
        prop_assert_eq!(after, whole);
        Ok(())
    });
}

#[test]
fn records_at_unexpected_offsets_are_ignored() {
    let strategy = (vec(step(), 1..60), vec(any::<Index>(), 120));
    check(&strategy, |(steps, indexes)| {
        let log = history(&steps);
        let mut whole = State::default();
        fold(&mut whole, &log);
        let mut state = State::default();
        for index in indexes {
            let at = index.index(log.len());
            let offset = at as u64;
            let before = state.next();
            let outcome = state.apply(offset, &log[at]);
            match offset.cmp(&before) {
                std::cmp::Ordering::Less => prop_assert_eq!(outcome, Outcome::Old),
                std::cmp::Ordering::Greater => prop_assert_eq!(outcome, Outcome::Gap(before)),
                std::cmp::Ordering::Equal => prop_assert_eq!(state.next(), before + 1),
            }
        }
        fold(&mut state, &log);
        prop_assert_eq!(state, whole);
        Ok(())
    });
}

#[test]
fn schema_limit_does_not_change_which_records_are_accepted() {
    check(&(vec(step(), 1..60), any::<Index>()), |(steps, cut)| {
        let log = history(&steps);
        let mut new = State::default();
        let mut old = State::with_schema_limit(Some(1));
        let pairs = fold(&mut new, &log).into_iter().zip(fold(&mut old, &log));
        for (new, old) in pairs {
            prop_assert_eq!(new.is_accepted(), old.is_accepted());
        }
        prop_assert_eq!(new.digest(), old.digest());
        let cut = cut.index(log.len());
        let mut before = State::with_schema_limit(Some(1));
        fold(&mut before, &log[..cut]);
        let chunks = Snapshot::of(&before).chunks;
        let mut upgraded = SnapshotAssembly::restore_all(&chunks, None).unwrap();
        fold(&mut upgraded, &log);
        prop_assert_eq!(upgraded.digest(), new.digest());
        Ok(())
    });
}
