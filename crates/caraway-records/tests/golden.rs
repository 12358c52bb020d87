//! Replays recorded sessions of a follower and compares its outputs.
//!
//! Each file contains the follower's settings and a list of steps. In a step, `at_ms` is the time
//! since the start, `input` the follower's input and `output` all outputs for it. `BLESS=1` updates
//! the files with the actual outputs.

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

/// Replaces records written as JSON objects by their JSON texts, as they are in the log.
fn encode_records(value: &mut Value) {
    match value {
        Value::Array(list) => list.iter_mut().for_each(encode_records),
        Value::Object(map) => {
            for (name, value) in map {
                if name == "data" && value.is_object() {
                    *value = value.to_string().into();
                } else {
                    encode_records(value);
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
    let mut mismatches = Vec::new();
    for (i, step) in session.steps.iter_mut().enumerate() {
        let mut input = step.input.clone();
        encode_records(&mut input);
        let input: FollowerInput = serde_json::from_value(input)?;
        let mut out = Vec::new();
        follower.handle(start + Duration::from_millis(step.at_ms), input, &mut out);
        let output = serde_json::to_value(out)?;
        if output != step.output {
            mismatches.push(format!("step {i}: expected {}, got {output}", step.output));
        }
        step.output = output;
    }
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(path, serde_json::to_string_pretty(&session)? + "\n")?;
        return Ok(());
    }
    if mismatches.is_empty() {
        Ok(())
    } else {
        Err(mismatches.join("\n").into())
    }
}

datatest_stable::harness! {
    { test = run, root = "tests/golden", pattern = r"\.json$" },
}
