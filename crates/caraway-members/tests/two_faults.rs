//! Two faults together.

mod support;

use support::{Fault, Setup, World};

/// Runs `steps` steps and returns how many of them had an instance with every right.
fn run(world: &mut World, setup: &Setup, steps: u32) -> u32 {
    let mut held = 0;
    for _ in 0..steps {
        world.advance(setup, &[]).expect("no violation");
        held += u32::from(world.holder().is_some());
    }
    held
}

#[test]
fn holder_paused_while_the_list_lags() {
    let setup = Setup::new(false);
    let mut world = World::settled(&setup);
    let holder = world.holder().expect("a holder");
    let faults = [Fault::ListOut, Fault::Freeze(holder, 30)];
    world.advance(&setup, &faults).expect("no violation");
    // The lease runs out, and nobody may evict while the holder is neither heard nor dropped.
    run(&mut world, &setup, 8);
    assert_eq!(run(&mut world, &setup, 16), 0);
    assert_eq!(world.serving(), 1, "a peer serves and fills");
    run(&mut world, &setup, 30);
    assert!(world.holder().is_some(), "all hear each other again");
}

#[test]
fn holder_paused_while_the_list_lags_before_an_engine_that_checks() {
    let setup = Setup::new(true);
    let mut world = World::settled(&setup);
    let holder = world.holder().expect("a holder");
    let faults = [Fault::ListOut, Fault::Freeze(holder, 30)];
    world.advance(&setup, &faults).expect("no violation");
    run(&mut world, &setup, 12);
    assert_eq!(run(&mut world, &setup, 12), 12, "the engine settles rivals");
    assert_ne!(world.holder(), Some(holder));
}

#[test]
fn zone_cut_from_the_platform_keeps_its_holder() {
    let setup = Setup::new(false);
    let mut world = World::settled(&setup);
    let holder = world.holder();
    world
        .advance(&setup, &[Fault::ListOut])
        .expect("no violation");
    assert_eq!(run(&mut world, &setup, 60), 60);
    assert_eq!(world.holder(), holder);
}

#[test]
fn zone_cut_inside_during_an_outage_of_the_list() {
    let setup = Setup::new(false);
    let mut world = World::settled(&setup);
    let faults = [Fault::ListOut, Fault::Isolate(0, 40)];
    world.advance(&setup, &faults).expect("no violation");
    run(&mut world, &setup, 12);
    assert_eq!(run(&mut world, &setup, 20), 0, "nobody evicts");
    assert_eq!(world.serving(), 2, "both sides of the cut serve and fill");
    run(&mut world, &setup, 40);
    assert_eq!(world.serving(), 1);
    assert!(world.holder().is_some());
}

#[test]
fn engine_restarts_during_a_hand_over() {
    for checks in [false, true] {
        let setup = Setup::new(checks);
        let mut world = World::settled(&setup);
        let holder = world.holder().expect("a holder");
        world
            .advance(&setup, &[Fault::Leave(holder)])
            .expect("no violation");
        world
            .advance(&setup, &[Fault::EngineRestart])
            .expect("no violation");
        run(&mut world, &setup, 20);
        assert!(world.holder().is_some_and(|n| n != holder));
    }
}

#[test]
fn woken_holder_gets_its_replica_back() {
    for checks in [false, true] {
        let setup = Setup::new(checks);
        let mut world = World::settled(&setup);
        let holder = world.holder().expect("a holder");
        let faults = [Fault::Freeze(holder, 24)];
        world.advance(&setup, &faults).expect("no violation");
        run(&mut world, &setup, 22);
        assert_ne!(world.holder(), Some(holder), "taken over, checks: {checks}");
        run(&mut world, &setup, 40);
        assert_eq!(world.holder(), Some(holder), "given back, checks: {checks}");
    }
}
