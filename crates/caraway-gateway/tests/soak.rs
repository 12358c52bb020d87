//! Gateways under injected faults; `caraway-soak` plays more seeds for longer.

use std::time::Duration;

use caraway_soak::{Plan, run, schedule};

/// Longest time for gateways to recover on a busy machine; a stop, not a bound.
const PATIENCE: Duration = Duration::from_mins(1);

#[test]
fn promises_hold_while_faults_come_in_series() {
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_caraway-gateway").into(),
        seed: 3,
        fault_period: Duration::from_secs(4),
        recovery: PATIENCE,
        ..Plan::default()
    };
    let report = run(&plan).expect("processes and addresses");
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.faults >= 8 && report.served > 0, "{report}");
}

#[test]
fn a_seed_s_faults_are_the_same_each_time() {
    let plan = Plan::default();
    let faults = schedule(&plan);
    assert_eq!(faults, schedule(&plan));
    assert!(faults.iter().all(|f| f.at < plan.fault_period));
    assert!(faults.is_sorted_by_key(|f| f.at));
    let other = Plan {
        seed: plan.seed + 1,
        ..plan
    };
    assert_ne!(faults, schedule(&other));
}
