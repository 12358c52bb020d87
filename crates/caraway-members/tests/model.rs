//! Breadth-first search over the states of the holder protocol, with three instances and one
//! replica. Up to two faults start at any of the first steps, on an engine that checks fencing
//! tokens and on one that does not.

mod support;

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

use caraway_types::Millis;

use support::{Fault, Safeguard, Setup, World};

/// Number of steps in which faults may start.
const FAULT_STEPS: u32 = 4;
/// Number of steps to run after [`FAULT_STEPS`].
const REMAINING_STEPS: u32 = 18;

/// Result of a search.
#[derive(Debug, Default)]
struct Findings {
    /// Number of distinct states visited.
    states: usize,
    evictions: u32,
    refused: u32,
    violation: Option<String>,
}

fn faults() -> Vec<Fault> {
    let mut all = vec![Fault::ListOutage, Fault::EngineRestart];
    for n in 0..3 {
        all.extend([
            Fault::Pause(n, 5),
            Fault::Pause(n, 11),
            Fault::Isolate(n, 16),
            Fault::Kill(n),
            Fault::Restart(n),
            Fault::Leave(n),
            Fault::Delist(n),
            Fault::DelayHeartbeats(n, 3),
            Fault::DelayOrders(n, 3),
            Fault::DelayOrders(n, 14),
        ]);
        let next = (n + 1) % 3;
        all.extend([
            Fault::Partition(n, next, 12),
            Fault::PartitionOneWay(n, next, 12),
            Fault::PartitionOneWay(next, n, 12),
        ]);
    }
    all
}

fn hash(world: &World, left: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (world, left).hash(&mut hasher);
    hasher.finish()
}

/// Visits every state that `limit` faults can lead to.
fn search(setup: &Setup, limit: usize) -> Findings {
    let start = World::with_holder(setup);
    let end = start.step + FAULT_STEPS + REMAINING_STEPS;
    let faults_end = start.step + FAULT_STEPS;
    let faults = faults();
    let mut findings = Findings::default();
    let mut visited = HashSet::new();
    let mut layer = vec![(start, limit, Vec::new())];
    while let Some((first, ..)) = layer.first() {
        if first.step == end {
            break;
        }
        let mut next = Vec::new();
        for (world, left, path) in layer {
            let options = if left > 0 && world.step < faults_end {
                &faults[..]
            } else {
                &[]
            };
            let with_fault = options.iter().map(|f| vec![*f]);
            for choice in with_fault.chain([Vec::new()]) {
                let mut after = world.clone();
                let mut path: Vec<(u32, Fault)> = path.clone();
                path.extend(choice.iter().map(|f| (world.step, *f)));
                if let Err(violation) = after.advance(setup, &choice) {
                    findings.violation = Some(format!("{violation} after {path:?}"));
                    return findings;
                }
                let left = left - choice.len();
                if visited.insert(hash(&after, left)) {
                    findings.states += 1;
                    next.push((after, left, path));
                }
            }
        }
        layer = next;
    }
    findings.evictions = layer.iter().map(|(w, ..)| w.evictions).sum();
    findings.refused = layer.iter().map(|(w, ..)| w.refused).sum();
    findings
}

fn assert_no_violation(setup: &Setup) {
    let findings = search(setup, 2);
    println!("{findings:?}");
    assert_eq!(findings.violation, None);
    assert!(findings.states > 100_000, "{}", findings.states);
    assert!(findings.evictions > 0);
}

#[test]
fn engine_that_does_not_check() {
    assert_no_violation(&Setup::new(false));
}

#[test]
fn engine_that_checks() {
    assert_no_violation(&Setup::new(true));
}

fn assert_violates(setup: &Setup, expected: &str) {
    let findings = search(setup, 2);
    println!("{findings:?}");
    let violation = findings.violation.expect("a violation");
    assert!(violation.contains(expected), "{violation}");
}

#[test]
fn without_a_guard_two_may_evict() {
    let mut setup = Setup::new(false);
    setup.settings.guard = Millis::new(0);
    // The wait of `idle` after a drop from the list would hide that the guard is missing.
    setup.settings.idle = Millis::new(0);
    assert_violates(&setup, "two instances may evict");
}

#[test]
fn without_the_permission_check_two_may_evict() {
    let setup = Setup::new(false).without(Safeguard::Permission);
    assert_violates(&setup, "two instances may evict");
}

#[test]
fn without_the_engine_check_a_stale_order_is_executed() {
    let setup = Setup::new(true).without(Safeguard::EngineCheck);
    assert_violates(&setup, "stale order executed");
}

#[test]
fn without_the_usable_check_a_late_order_unloads_a_pinned_load() {
    let setup = Setup::new(false).without(Safeguard::UsableCheck);
    assert_violates(&setup, "pinned load unloaded");
}

#[test]
fn without_the_idle_limit_a_dropped_instance_uses_an_unloaded_load() {
    let setup = Setup::new(false).without(Safeguard::IdleLimit);
    assert_violates(&setup, "pinned load unloaded");
}

#[test]
fn without_the_eviction_check_a_pinned_load_is_unloaded() {
    for checks_fencing in [false, true] {
        let setup = Setup::new(checks_fencing).without(Safeguard::EvictionCheck);
        assert_violates(&setup, "pinned load unloaded");
    }
}
