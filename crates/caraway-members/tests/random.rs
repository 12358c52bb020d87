//! Long runs with many faults, from fixed seeds.

mod support;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

use support::{Fault, Setup, World};

/// Steps in which faults start, about one in four.
const STEPS: usize = 120;
/// Steps without faults in which the replica must get a holder with every right.
const QUIET: usize = 60;

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..3_usize;
    let pair = (0..3_usize, 1..3_usize).prop_map(|(a, d)| (a, (a + d) % 3));
    let steps = 1..24_u32;
    prop_oneof![
        (node.clone(), steps.clone()).prop_map(|(n, s)| Fault::Freeze(n, s)),
        (node.clone(), steps.clone()).prop_map(|(n, s)| Fault::Isolate(n, s)),
        (pair.clone(), steps.clone()).prop_map(|((a, b), s)| Fault::Cut(a, b, s)),
        (pair, steps.clone()).prop_map(|((a, b), s)| Fault::CutOneWay(a, b, s)),
        (node.clone(), 1..5_u32).prop_map(|(n, s)| Fault::Delay(n, s)),
        (node.clone(), steps).prop_map(|(n, s)| Fault::Stick(n, s)),
        node.prop_map(Fault::Restart),
        Just(Fault::EngineRestart),
    ]
}

fn run(checks: bool, plan: &[Option<Fault>]) -> Result<(), TestCaseError> {
    let faults: Vec<_> = plan
        .iter()
        .enumerate()
        .filter(|(_, f)| f.is_some())
        .collect();
    let setup = Setup::new(checks);
    let mut world = World::settled(&setup);
    for fault in plan {
        let result = world.advance(&setup, fault.as_slice());
        prop_assert!(result.is_ok(), "{result:?} after {faults:?}");
    }
    for _ in 0..QUIET {
        let result = world.advance(&setup, &[]);
        prop_assert!(result.is_ok(), "{result:?} after {faults:?}");
    }
    let faults: Vec<_> = plan
        .iter()
        .enumerate()
        .filter(|(_, f)| f.is_some())
        .collect();
    let held = world.holder().is_some();
    prop_assert!(held, "no holder after {faults:?}");
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
        plan in prop::collection::vec(prop::option::weighted(0.25, fault()), STEPS)
    ) {
        run(false, &plan)?;
    }

    #[test]
    fn engine_that_checks(
        plan in prop::collection::vec(prop::option::weighted(0.25, fault()), STEPS)
    ) {
        run(true, &plan)?;
    }
}
