//! Folding single records: the resulting state and the outcome of each record.

use caraway_records::{Outcome, RefusedRecord, ResolveError, State};
use serde_json::{Value, json};

/// Creates a record without a base.
fn record(id: &str, kind: &str, key: &str, body: &Value) -> Value {
    json!({"schema": 1, "kind": kind, "key": key, "id": id, "body": body})
}

/// Folds `record` at the next offset.
fn fold(state: &mut State, record: &Value) -> Outcome {
    state.apply(state.next(), &record.to_string())
}

/// Returns a state in which `sign` has versions `1` and `2` and serves `1`.
fn published() -> State {
    let mut state = State::default();
    for version in ["1", "2"] {
        let key = format!("sign@{version}");
        let record = record(&key, "adapter_version", &key, &json!({}));
        assert_eq!(fold(&mut state, &record), Outcome::Applied);
    }
    let record = record("serve", "adapter", "sign", &json!({"version": "1"}));
    assert_eq!(fold(&mut state, &record), Outcome::Applied);
    state
}

#[test]
fn resolve_distinguishes_invalid_and_unknown_names() {
    let state = published();
    assert_eq!(state.resolve("sign").unwrap().to_string(), "sign@1");
    assert_eq!(state.resolve("sign@2").unwrap().to_string(), "sign@2");
    assert_eq!(state.resolve("sign@3"), Err(ResolveError::UnknownVersion));
    assert_eq!(state.resolve("banner"), Err(ResolveError::UnknownAdapter));
    assert_eq!(state.resolve("sign@"), Err(ResolveError::BadName));
    assert_eq!(state.resolve("a b"), Err(ResolveError::BadName));
}

#[test]
fn second_of_two_concurrent_records_is_rejected() {
    let mut state = published();
    let mut first = record("a", "adapter", "sign", &json!({"version": "2"}));
    first["base"] = 2.into();
    first["author"] = "ann".into();
    let mut second = record("b", "adapter", "sign", &json!({"version": "1"}));
    second["base"] = 2.into();
    assert_eq!(fold(&mut state, &first), Outcome::Applied);
    let conflict = RefusedRecord::Conflict {
        base: Some(2),
        current: Some(3),
        author: Some("ann".into()),
    };
    assert_eq!(fold(&mut state, &second), Outcome::Refused(conflict));
    assert_eq!(state.resolve("sign").unwrap().to_string(), "sign@2");
}
