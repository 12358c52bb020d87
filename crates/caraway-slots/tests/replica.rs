//! Tests slots with pins, orders with an unknown outcome, delayed reports and engine restarts.

use std::time::{Duration, Instant};

use caraway_slots::{LoadState, Replica, Seen, Snapshot};
use caraway_types::AdapterRef;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(name, "1")
}

fn seen(incarnation: u64, names: &[&str]) -> Snapshot {
    let load = |n: &&str| Seen {
        name: (*n).into(),
        adapter: adapter(n),
        running: 0,
    };
    Snapshot {
        incarnation,
        slots: 2,
        loads: names.iter().map(load).collect(),
    }
}

#[test]
fn a_run_of_an_earlier_holder_counts_as_use() {
    let start = Instant::now();
    let mut replica = Replica::new(4);
    let seen = |running| {
        let mut seen = seen(1, &["other"]);
        seen.loads[0].running = running;
        seen
    };
    replica.settle(start, &seen(0));
    let later = start + Duration::from_secs(9);
    replica.settle(later, &seen(1));
    replica.settle(later + Duration::from_secs(1), &seen(0));
    assert_eq!(replica.get("other").unwrap().used, later);
}

#[test]
fn a_pinned_load_is_not_evicted() {
    let now = Instant::now();
    let mut replica = Replica::new(1);
    assert!(replica.load(now, "a".into(), adapter("a")));
    assert!(!replica.evict(now, "a"), "it is still on its way");
    replica.loaded(now, "a");
    assert!(replica.pin(now, "a", &"signs".into()));
    assert!(!replica.evict(now, "a"), "an attempt runs on it");
    replica.unpin(now, "a");
    assert!(replica.evict(now, "a"));
    assert!(
        !replica.pin(now, "a", &"signs".into()),
        "its unload is on its way"
    );
}

#[test]
fn a_lost_answer_keeps_its_slot_until_a_later_report() {
    let start = Instant::now();
    let mut replica = Replica::new(2);
    replica.load(start, "a".into(), adapter("a"));
    replica.doubt(start, "a");
    assert_eq!(replica.free(), 1);
    let soon = start + Duration::from_millis(500);
    replica.settle(soon, &seen(1, &[]));
    assert_eq!(replica.free(), 1, "the report may be older than the order");
    let later = start + Duration::from_secs(3);
    replica.settle(later, &seen(1, &["a"]));
    assert_eq!(replica.get("a").map(|l| l.state), Some(LoadState::Resident));
    replica.doubt(later, "a");
    assert_eq!(replica.get("a").map(|l| l.state), Some(LoadState::Resident));
    assert!(replica.evict(later, "a"));
    replica.doubt(later, "a");
    replica.settle(later + Duration::from_secs(3), &seen(1, &[]));
    assert_eq!(replica.free(), 2);
}

#[test]
fn a_lagging_report_does_not_bring_an_unloaded_adapter_back() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.load(now, "a".into(), adapter("a"));
    replica.loaded(now, "a");
    replica.evict(now, "a");
    replica.remove(now, "a");
    replica.settle(now + Duration::from_millis(300), &seen(1, &["a"]));
    assert_eq!(replica.free(), 2);
}

#[test]
fn a_restarted_engine_is_empty_and_an_older_report_changes_nothing() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.settle(now, &seen(1, &["a", "b"]));
    assert_eq!(replica.free(), 0);
    let changes = replica.settle(now, &seen(2, &[]));
    assert!(changes.restarted);
    assert_eq!(changes.gone.len(), 2);
    assert_eq!(replica.free(), 2);
    replica.settle(now, &seen(1, &["a"]));
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
                    0 => drop(replica.load(now, name.into(), adapter(name))),
                    1 => replica.loaded(now, name),
                    2 => replica.doubt(now, name),
                    3 if replica.pin(now, name, &"x".into()) => pins[i] += 1,
                    4 if pins[i] > 0 => {
                        pins[i] -= 1;
                        replica.unpin(now, name);
                    }
                    5 => prop_assert!(!(replica.evict(now, name) && pins[i] > 0)),
                    6 => drop(replica.settle(now, &seen(1, &[name]))),
                    _ => {}
                }
                let taken = replica.loads().filter(|(_, l)| l.own).count();
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
