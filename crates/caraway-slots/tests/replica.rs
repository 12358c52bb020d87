//! Tests slots with pins, orders with an unknown outcome, delayed reports and engine restarts.

use std::time::{Duration, Instant};

use caraway_slots::{LoadState, Replica, SlotLoad, SlotReport};
use caraway_types::AdapterRef;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(name, "1")
}

fn snapshot(incarnation: u64, names: &[&str]) -> SlotReport {
    let load = |n: &&str| SlotLoad {
        name: (*n).into(),
        adapter: adapter(n),
        running: 0,
    };
    SlotReport {
        incarnation,
        slots: 2,
        loads: names.iter().map(load).collect(),
    }
}

#[test]
fn a_run_of_an_earlier_holder_counts_as_use() {
    let start = Instant::now();
    let mut replica = Replica::new(4);
    let snapshot = |running| {
        let mut snapshot = snapshot(1, &["other"]);
        snapshot.loads[0].running = running;
        snapshot
    };
    replica.apply_report(start, &snapshot(0));
    let later = start + Duration::from_secs(9);
    replica.apply_report(later, &snapshot(1));
    replica.apply_report(later + Duration::from_secs(1), &snapshot(0));
    assert_eq!(replica.get("other").unwrap().last_used, later);
}

#[test]
fn a_pinned_load_is_not_evicted() {
    let now = Instant::now();
    let mut replica = Replica::new(1);
    assert!(replica.start_load(now, "a".into(), adapter("a")));
    assert!(!replica.start_unload(now, "a"), "it is still on its way");
    replica.mark_resident(now, "a");
    assert!(replica.pin(now, "a", &"signs".into()));
    assert!(!replica.start_unload(now, "a"), "an attempt runs on it");
    replica.unpin(now, "a");
    assert!(replica.start_unload(now, "a"));
    assert!(
        !replica.pin(now, "a", &"signs".into()),
        "its unload is on its way"
    );
}

#[test]
fn a_lost_answer_keeps_its_slot_until_a_later_report() {
    let start = Instant::now();
    let mut replica = Replica::new(2);
    replica.start_load(start, "a".into(), adapter("a"));
    replica.mark_in_doubt(start, "a");
    assert_eq!(replica.free(), 1);
    let soon = start + Duration::from_millis(500);
    replica.apply_report(soon, &snapshot(1, &[]));
    assert_eq!(replica.free(), 1, "the report may be older than the order");
    let later = start + Duration::from_secs(3);
    replica.apply_report(later, &snapshot(1, &["a"]));
    assert_eq!(replica.get("a").map(|l| l.state), Some(LoadState::Resident));
    replica.mark_in_doubt(later, "a");
    assert_eq!(replica.get("a").map(|l| l.state), Some(LoadState::Resident));
    assert!(replica.start_unload(later, "a"));
    replica.mark_in_doubt(later, "a");
    replica.apply_report(later + Duration::from_secs(3), &snapshot(1, &[]));
    assert_eq!(replica.free(), 2);
}

#[test]
fn a_lagging_report_does_not_bring_an_unloaded_adapter_back() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.start_load(now, "a".into(), adapter("a"));
    replica.mark_resident(now, "a");
    replica.start_unload(now, "a");
    replica.remove(now, "a");
    replica.apply_report(now + Duration::from_millis(300), &snapshot(1, &["a"]));
    assert_eq!(replica.free(), 2);
}

#[test]
fn a_restarted_engine_is_empty_and_an_older_report_changes_nothing() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.apply_report(now, &snapshot(1, &["a", "b"]));
    assert_eq!(replica.free(), 0);
    let changes = replica.apply_report(now, &snapshot(2, &[]));
    assert!(changes.restarted);
    assert_eq!(changes.removed.len(), 2);
    assert_eq!(replica.free(), 2);
    replica.apply_report(now, &snapshot(1, &["a"]));
    assert_eq!(replica.free(), 2);
}

/// No sequence of orders, answers and reports may evict a pinned load or exceed the slots.
#[test]
fn pins_hold_in_any_order_of_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec((0u8..8, 0usize..4), 1..60);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&steps, |steps| {
            let names = ["a", "b", "c", "d"];
            let mut now = Instant::now();
            let mut replica = Replica::new(2);
            let mut pins = [0u32; 4];
            for (step, i) in steps {
                now += Duration::from_millis(700);
                let name = names[i];
                match step {
                    0 => drop(replica.start_load(now, name.into(), adapter(name))),
                    1 => replica.mark_resident(now, name),
                    2 => replica.mark_in_doubt(now, name),
                    3 if replica.pin(now, name, &"x".into()) => pins[i] += 1,
                    4 if pins[i] > 0 => {
                        pins[i] -= 1;
                        replica.unpin(now, name);
                    }
                    5 => prop_assert!(!(replica.start_unload(now, name) && pins[i] > 0)),
                    6 => drop(replica.apply_report(now, &snapshot(1, &[name]))),
                    _ => {}
                }
                let taken = replica.loads().filter(|(_, l)| l.ordered_here).count();
                prop_assert!(taken <= 2);
                for (i, name) in names.iter().enumerate() {
                    let kept = replica.get(name).is_some();
                    prop_assert!(kept || pins[i] == 0, "{} vanished under a pin", name);
                }
            }
            Ok(())
        })
        .unwrap();
}
