//! Runs the `caraway-demo` program and checks its report, exit status and messages.

use std::process::{Command, Output};

use serde_json::Value;

fn run_demo(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_caraway-demo"))
        .args(arguments)
        .output()
        .expect("caraway-demo starts")
}

fn parse_report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the report is valid JSON")
}

fn violation_count(report: &Value) -> u64 {
    let rules = report["rules"].as_object().expect("the report has rules");
    let count = |rule: &Value| rule["violations"].as_u64().expect("a number of violations");
    rules.values().map(count).sum()
}

/// Checks that a short run has no violations, and that the report contains every rule and the
/// ending of every request.
fn check_short_run(deployment: &str) {
    let output = run_demo(&["--deployment", deployment, "--seconds", "2", "--json"]);
    let report = parse_report(&output);
    let rules = &report["rules"];
    assert_eq!(violation_count(&report), 0, "{rules:#}");
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
fn cooperative_run_has_no_violations() {
    check_short_run("cooperative");
}

#[test]
fn rodopa_run_has_no_violations() {
    check_short_run("rodopa");
}

/// Guards against checks that no longer detect a fault: `--spoil` injects wrong tokens, a repeated
/// write, an unload of a load in use and too many loads.
#[test]
fn injected_violations_are_detected_and_fail_the_run() {
    let output = run_demo(&[
        "--deployment",
        "rodopa",
        "--seconds",
        "3",
        "--spoil",
        "--json",
    ]);
    let report = parse_report(&output);
    assert_eq!(output.status.code(), Some(1));
    for rule in ["right_answer", "at_most_once", "no_eviction", "store_limit"] {
        let broken = report["rules"][rule]["violations"].as_u64();
        assert!(broken.is_some_and(|count| count > 0), "{rule}");
    }
}

#[test]
fn rejects_an_unknown_deployment() {
    let output = run_demo(&["--deployment", "bakery"]);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(message.contains("cooperative or rodopa"), "{message}");
}
