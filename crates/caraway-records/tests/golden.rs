//! Whole sessions of a follower: what happens when, and what the follower does then.
//!
//! A file holds the settings and steps. In a step, `at_ms` is the time, `input` what happens and
//! `output` all that the follower does then. `BLESS=1` writes what it does into the files.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use caraway_records::{Follower, FollowerInput, FollowerSettings};
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Serialize, Deserialize)]
struct Session {
    about: String,
    settings: FollowerSettings,
    steps: Vec<Step>,
}

#[derive(Serialize, Deserialize)]
struct Step {
    at_ms: u64,
    input: Value,
    output: Value,
}

/// Writes the records that a session gives as JSON as the texts that they are in the log.
fn to_texts(value: &mut Value) {
    match value {
        Value::Array(list) => list.iter_mut().for_each(to_texts),
        Value::Object(map) => {
            for (name, value) in map {
                if name == "data" && value.is_object() {
                    *value = value.to_string().into();
                } else {
                    to_texts(value);
                }
            }
        }
        _ => {}
    }
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let mut session: Session = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let start = Instant::now();
    let mut follower = Follower::new(&"entry-1".into(), session.settings.clone(), start);
    let mut wrong = Vec::new();
    for (i, step) in session.steps.iter_mut().enumerate() {
        let mut input = step.input.clone();
        to_texts(&mut input);
        let input: FollowerInput = serde_json::from_value(input)?;
        let mut out = Vec::new();
        follower.handle(start + Duration::from_millis(step.at_ms), input, &mut out);
        let output = serde_json::to_value(out)?;
        if output != step.output {
            wrong.push(format!("step {i}: expected {}, got {output}", step.output));
        }
        step.output = output;
    }
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(path, serde_json::to_string_pretty(&session)? + "\n")?;
        return Ok(());
    }
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(wrong.join("\n").into())
    }
}

datatest_stable::harness! {
    { test = run, root = "tests/golden", pattern = r"\.json$" },
}
