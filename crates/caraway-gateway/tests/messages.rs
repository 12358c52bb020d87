//! Messages that landed builds have encoded, in `messages/BUILD/`, are understood by this one. Each lies
//! beside a `.fields` file with what it says; fields that were added since have their defaults.
//!
//! A message that changes its shape needs a folder for the new build: encoded messages of the newest folder
//! are encoded the same by this build, and it has one of each kind.

use std::{collections::BTreeSet, fs, path::Path};

use caraway_gateway::MessageKind;
use datatest_stable::Result;
use serde_json::Value;

/// The folder of the newest build.
const NEWEST: &str = "tests/messages/0.2.0";

/// Returns the kind of a message by the name of its file.
fn kind_of(path: &Path) -> MessageKind {
    let name = path.file_name().expect("a file").to_string_lossy();
    match name.split('.').next() {
        Some("to_holder") => MessageKind::ToHolder,
        Some("from_holder") => MessageKind::FromHolder,
        Some("holder") => MessageKind::Holder,
        Some("history") => MessageKind::History,
        other => panic!("{other:?} is no kind of message"),
    }
}

/// Returns whether `fields` has all that `expected` has; objects may have more fields.
fn contains(fields: &Value, expected: &Value) -> bool {
    match (fields, expected) {
        (Value::Object(fields), Value::Object(expected)) => expected
            .iter()
            .all(|(name, e)| fields.get(name).is_some_and(|f| contains(f, e))),
        (Value::Array(fields), Value::Array(expected)) => {
            fields.len() == expected.len()
                && fields.iter().zip(expected).all(|(f, e)| contains(f, e))
        }
        _ => fields == expected,
    }
}

/// Guards against: a message of a landed build is not understood any more, or understood otherwise.
fn message_is_understood(path: &Path) -> Result<()> {
    let decoded = kind_of(path).decode(&fs::read(path)?)?;
    let expected: Value =
        serde_json::from_str(&fs::read_to_string(path.with_extension("fields"))?)?;
    assert!(
        contains(&decoded.fields, &expected),
        "{} is not {expected}",
        decoded.fields
    );
    if path.starts_with(NEWEST) {
        let is_same = decoded.encoded == fs::read(path)?;
        assert!(
            is_same,
            "it is encoded otherwise: add a folder for the build"
        );
        check_all_kinds(path)?;
    }
    Ok(())
}

/// Checks that the newest folder has a frame of each kind. Decoding an unknown kind names those that
/// there are.
fn check_all_kinds(path: &Path) -> Result<()> {
    let (kind, prefix) = match kind_of(path) {
        kind @ MessageKind::ToHolder => (kind, "to_holder."),
        kind @ MessageKind::FromHolder => (kind, "from_holder."),
        MessageKind::Holder | MessageKind::History => return Ok(()),
    };
    let unknown = kind.decode(b"\xa7Unknown").expect_err("no kind");
    let unknown = unknown.to_string();
    let names: BTreeSet<&str> = unknown.split('`').skip(3).step_by(2).collect();
    assert!(names.len() > 5, "{unknown}");
    let mut known = BTreeSet::new();
    for file in fs::read_dir(NEWEST)? {
        let file = file?.path();
        let name = file.file_name().expect("a file").to_string_lossy();
        if name.starts_with(prefix) && name.ends_with(".msgpack") {
            let fields = kind.decode(&fs::read(&file)?)?.fields;
            let object = fields.as_object().and_then(|o| o.keys().next().cloned());
            known.extend(object.or_else(|| fields.as_str().map(str::to_owned)));
        }
    }
    for name in names {
        assert!(known.contains(name), "{NEWEST} has no {name}");
    }
    Ok(())
}

datatest_stable::harness! {
    { test = message_is_understood, root = "tests/messages", pattern = r"\.(msgpack|json)$" },
}
