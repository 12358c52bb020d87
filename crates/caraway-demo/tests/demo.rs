//! Runs the `caraway-demo` program and checks its report, exit status and messages.

use std::process::{Command, Output};

use serde_json::Value;

fn demo(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_caraway-demo"))
        .args(arguments)
        .output()
        .expect("caraway-demo starts")
}

fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the report is valid JSON")
}

fn violations(report: &Value) -> u64 {
    let rules = report["rules"].as_object().expect("the report has rules");
    let count = |rule: &Value| rule["violations"].as_u64().expect("a number of violations");
    rules.values().map(count).sum()
}

/// Checks that a short run has no violations, and that the report contains every rule and the
/// ending of every request.
fn short_run(deployment: &str) {
    let output = demo(&["--deployment", deployment, "--seconds", "2", "--json"]);
    let report = report(&output);
    let rules = &report["rules"];
    assert_eq!(violations(&report), 0, "{rules:#}");
    assert!(output.status.success());
    assert_eq!(report["deployment"], deployment);
    for rule in [
        "right_answer",
        "whole_answer",
        "not_run",
        "at_most_once",
        "no_eviction",
        "store_limit",
        "leaving",
        "graceful_stop",
        "configuration",
        "every_workload",
    ] {
        assert!(report["rules"][rule]["checks"].is_u64(), "{rule}");
    }
    for workload in report["workloads"]
        .as_array()
        .expect("the report has workloads")
    {
        let count = |name: &str| workload[name].as_u64().expect("a number of requests");
        let ended = ["answered", "not_run", "in_doubt", "failed"].map(count);
        assert_eq!(count("sent"), ended.iter().sum::<u64>());
    }
    let progress = String::from_utf8_lossy(&output.stderr);
    assert!(progress.contains("in flight"), "{progress}");
}

#[test]
fn the_cooperative_breaks_no_rule() {
    short_run("cooperative");
}

#[test]
fn rodopa_breaks_no_rule() {
    short_run("rodopa");
}

#[test]
fn sees_broken_rules_and_fails() {
    let output = demo(&[
        "--deployment",
        "rodopa",
        "--seconds",
        "3",
        "--spoil",
        "--json",
    ]);
    let report = report(&output);
    assert_eq!(output.status.code(), Some(1));
    for rule in ["right_answer", "at_most_once", "no_eviction", "store_limit"] {
        let broken = report["rules"][rule]["violations"].as_u64();
        assert!(broken.is_some_and(|count| count > 0), "{rule}");
    }
}

#[test]
fn refuses_an_unknown_deployment() {
    let output = demo(&["--deployment", "bakery"]);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("cooperative or rodopa"), "{message}");
}
