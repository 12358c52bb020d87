//! A short soak test of gateways under injected faults; `caraway-soak` runs more seeds for longer.

use std::{path::PathBuf, time::Duration};

use caraway_soak::{Plan, Report, run, schedule};

/// Time after which the test stops waiting for recovery. It only ends a hanging test: a busy machine
/// may be slow.
const RECOVERY_LIMIT: Duration = Duration::from_mins(1);

/// Runs a seed with faults that start in this time.
fn run_seed(seed: u64, fault_period: Duration) -> Report {
    let plan = Plan {
        program: env!("CARGO_BIN_EXE_caraway-gateway").into(),
        seed,
        fault_period,
        recovery: RECOVERY_LIMIT,
        ..Plan::default()
    };
    run(&plan).expect("gateway processes and free ports")
}

#[test]
fn invariants_hold_under_a_series_of_faults() {
    let report = run_seed(3, Duration::from_secs(4));
    assert!(report.violations.is_empty(), "{report}");
    assert!(report.faults >= 8 && report.served > 0, "{report}");
}

// Guards against: a limit that the holder never learns of, since it was read while the session to it
// was being opened.
#[test]
fn request_limit_is_kept_while_sessions_are_opened() {
    let report = run_seed(9, Duration::from_secs(6));
    assert!(report.violations.is_empty(), "{report}");
}

#[test]
fn seed_determines_the_schedule_of_faults() {
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

// Guards against: instances that are replaced by ones of another build, and back, among other faults break a
// guarantee. Both builds are this one here; other builds are run by hand.
#[test]
fn invariants_hold_while_builds_are_replaced() {
    let program: PathBuf = env!("CARGO_BIN_EXE_caraway-gateway").into();
    let plan = Plan {
        former: Some(program.clone()),
        program,
        seed: 5,
        fault_period: Duration::from_secs(4),
        recovery: RECOVERY_LIMIT,
        ..Plan::default()
    };
    let report = run(&plan).expect("gateway processes and free ports");
    assert!(report.violations.is_empty(), "{report}");
    assert_eq!(report.invalid_frames, 0, "{report}");
    assert!(report.served > 0, "{report}");
}
