//! Combinations of two faults.

mod support;

use support::{Fault, Setup, World};

/// Runs `steps` steps and returns in how many of them an instance had full permission.
fn run(world: &mut World, setup: &Setup, steps: u32) -> u32 {
    let mut steps_with_holder = 0;
    for _ in 0..steps {
        world.advance(setup, &[]).expect("no violation");
        steps_with_holder += u32::from(world.holder().is_some());
    }
    steps_with_holder
}

#[test]
fn holder_paused_during_a_list_outage() {
    let setup = Setup::new(false);
    let mut world = World::with_holder(&setup);
    let holder = world.holder().expect("a holder");
    let faults = [Fault::ListOutage, Fault::Pause(holder, 30)];
    world.advance(&setup, &faults).expect("no violation");
    // After the lease expires, no instance may evict while the holder is neither reachable nor
    // dropped from the list.
    run(&mut world, &setup, 8);
    assert_eq!(run(&mut world, &setup, 16), 0);
    assert_eq!(world.serving(), 1, "a peer serves and loads");
    run(&mut world, &setup, 30);
    assert!(
        world.holder().is_some(),
        "all instances are reachable again"
    );
}

#[test]
fn holder_paused_during_a_list_outage_with_an_engine_that_checks() {
    let setup = Setup::new(true);
    let mut world = World::with_holder(&setup);
    let holder = world.holder().expect("a holder");
    let faults = [Fault::ListOutage, Fault::Pause(holder, 30)];
    world.advance(&setup, &faults).expect("no violation");
    run(&mut world, &setup, 12);
    assert_eq!(
        run(&mut world, &setup, 12),
        12,
        "the engine refuses the old holder"
    );
    assert_ne!(world.holder(), Some(holder));
}

#[test]
fn zone_without_the_list_keeps_its_holder() {
    let setup = Setup::new(false);
    let mut world = World::with_holder(&setup);
    let holder = world.holder();
    world
        .advance(&setup, &[Fault::ListOutage])
        .expect("no violation");
    assert_eq!(run(&mut world, &setup, 60), 60);
    assert_eq!(world.holder(), holder);
}

#[test]
fn zone_partitioned_during_a_list_outage() {
    let setup = Setup::new(false);
    let mut world = World::with_holder(&setup);
    let faults = [Fault::ListOutage, Fault::Isolate(0, 40)];
    world.advance(&setup, &faults).expect("no violation");
    run(&mut world, &setup, 12);
    assert_eq!(run(&mut world, &setup, 20), 0, "no instance may evict");
    assert_eq!(
        world.serving(),
        2,
        "both sides of the partition serve and load"
    );
    run(&mut world, &setup, 40);
    assert_eq!(world.serving(), 1);
    assert!(world.holder().is_some());
}

#[test]
fn engine_restarts_during_a_hand_over() {
    for checks_fencing in [false, true] {
        let setup = Setup::new(checks_fencing);
        let mut world = World::with_holder(&setup);
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
fn resumed_holder_reacquires_its_replica() {
    for checks_fencing in [false, true] {
        let setup = Setup::new(checks_fencing);
        let mut world = World::with_holder(&setup);
        let holder = world.holder().expect("a holder");
        let faults = [Fault::Pause(holder, 24)];
        world.advance(&setup, &faults).expect("no violation");
        run(&mut world, &setup, 22);
        assert_ne!(
            world.holder(),
            Some(holder),
            "taken over, checks_fencing: {checks_fencing}"
        );
        run(&mut world, &setup, 40);
        assert_eq!(
            world.holder(),
            Some(holder),
            "reacquired, checks_fencing: {checks_fencing}"
        );
    }
}
