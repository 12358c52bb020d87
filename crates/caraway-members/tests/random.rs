//! Long runs of the model with many random faults, from a fixed seed.

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

use support::{Fault, Setup, World};

/// Number of steps in which faults may start; about one step in four has a fault.
const FAULT_STEPS: usize = 120;
/// Number of steps without faults after which the replica must have a holder with full permission.
const RECOVERY_STEPS: usize = 60;

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..3_usize;
    let pair = (0..3_usize, 1..3_usize).prop_map(|(a, d)| (a, (a + d) % 3));
    let steps = 1..24_u32;
    prop_oneof![
        (node.clone(), steps.clone()).prop_map(|(n, s)| Fault::Pause(n, s)),
        (node.clone(), steps.clone()).prop_map(|(n, s)| Fault::Isolate(n, s)),
        (pair.clone(), steps.clone()).prop_map(|((a, b), s)| Fault::Partition(a, b, s)),
        (pair, steps.clone()).prop_map(|((a, b), s)| Fault::PartitionOneWay(a, b, s)),
        (node.clone(), 1..5_u32).prop_map(|(n, s)| Fault::DelayHeartbeats(n, s)),
        (node.clone(), steps).prop_map(|(n, s)| Fault::DelayOrders(n, s)),
        node.prop_map(Fault::Restart),
        Just(Fault::EngineRestart),
    ]
}

fn run(checks_fencing: bool, plan: &[Option<Fault>]) -> Result<(), TestCaseError> {
    let faults: Vec<_> = plan
        .iter()
        .enumerate()
        .filter(|(_, f)| f.is_some())
        .collect();
    let setup = Setup::new(checks_fencing);
    let mut world = World::with_holder(&setup);
    for fault in plan {
        let result = world.advance(&setup, fault.as_slice());
        prop_assert!(result.is_ok(), "{result:?} after {faults:?}");
    }
    for _ in 0..RECOVERY_STEPS {
        let result = world.advance(&setup, &[]);
        prop_assert!(result.is_ok(), "{result:?} after {faults:?}");
    }
    let faults: Vec<_> = plan
        .iter()
        .enumerate()
        .filter(|(_, f)| f.is_some())
        .collect();
    let has_holder = world.holder().is_some();
    prop_assert!(has_holder, "no holder after {faults:?}");
    Ok(())
}

fn config() -> Config {
    Config {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn engine_that_does_not_check(
        plan in prop::collection::vec(prop::option::weighted(0.25, fault()), FAULT_STEPS)
    ) {
        run(false, &plan)?;
    }

    #[test]
    fn engine_that_checks(
        plan in prop::collection::vec(prop::option::weighted(0.25, fault()), FAULT_STEPS)
    ) {
        run(true, &plan)?;
    }
}
