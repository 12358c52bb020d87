//! Endpoints that start empty, as after a crash: without a model's weights they can't serve, and
//! the remaining ones take all requests.

mod world;

use std::time::Duration;

use caraway_placement::PlacerSettings;
use world::{Nature, World, adapter, load::Skewed};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_endpoint_that_started_empty_gets_its_weights_and_serves() {
    let nature = Nature {
        endpoints: 1,
        ..Nature::default()
    };
    let mut world = World::new(nature, PlacerSettings::default(), 1);
    world.run_until(SECOND);
    world.restart(0);
    world.ask_at(SECOND, 1, adapter(1), 5 * SECOND);
    world.run_until(8 * SECOND);
    assert_eq!(world.tally.weights.len(), 1, "one load of the weights");
    assert_eq!(world.tally.granted, 1);
    assert!(
        world.tally.waits[0] < 2 * SECOND,
        "the weights take 0.84 s, the adapter 0.25 s"
    );
}

/// Two of three endpoints crash at once under a workload that a single one can't carry.
#[test]
fn endpoints_that_restart_under_load_carry_it_again() {
    for seed in 0..5 {
        let nature = Nature {
            places: 16,
            run: SECOND,
            ..Nature::default()
        };
        let load = Skewed {
            per_second: 60.0,
            adapters: 300,
            skew: 1.3,
            patience: 2 * SECOND,
            shift: 0,
        };
        let mut world = World::new(nature, PlacerSettings::default(), seed);
        load.fill(&mut world, SECOND, 31 * SECOND, 1);
        world.run_until(10 * SECOND);
        world.restart(0);
        world.restart(1);
        world.run_until(15 * SECOND);
        let before = world.tally.clone();
        world.run_until(35 * SECOND);
        let refused = world.tally.refused - before.refused;
        let granted = world.tally.granted - before.granted;
        assert!(
            refused * 10 < granted,
            "seed {seed}: {refused} refused and {granted} granted after the restart"
        );
        assert_eq!(world.tally.crashes, 0, "seed {seed}");
    }
}

#[test]
fn loads_of_weights_keep_to_the_weight_store_s_rate() {
    let nature = Nature {
        endpoints: 12,
        weights_rate: 0.2,
        ..Nature::default()
    };
    let settings = PlacerSettings::default();
    let mut world = World::new(nature, settings.clone(), 1);
    world.run_until(SECOND);
    for number in 0..12 {
        world.restart(number);
    }
    world.run_until(30 * SECOND);
    let begun = &world.tally.weights;
    assert_eq!(begun.len(), 12, "every endpoint gets its weights");
    for first in begun {
        let window = begun
            .iter()
            .filter(|at| **at >= *first && **at < *first + settings.load_window);
        // 0.2 loads per second over 5 s, and a slack of three.
        assert!(window.count() <= 4);
    }
}

#[test]
fn weights_come_also_where_orders_are_carried_out_late() {
    for seed in 0..20 {
        let nature = Nature {
            late: 0.5,
            ..Nature::default()
        };
        let mut world = World::new(nature, PlacerSettings::default(), seed);
        world.run_until(SECOND);
        for number in 0..3 {
            world.restart(number);
        }
        world.run_until(10 * SECOND);
        let now = world.now;
        let with_weights = world.engines.values().filter(|e| e.has_weights(now));
        assert_eq!(with_weights.count(), 3, "seed {seed}");
    }
}
