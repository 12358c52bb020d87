//! Invariants of the placer under any workload and with lost or late orders.

mod world;

use std::time::Duration;

use caraway_placement::PlacerSettings;
use world::{Nature, World, adapter, load::Skewed};

const SECOND: Duration = Duration::from_secs(1);

fn skewed(per_second: f64) -> Skewed {
    Skewed {
        per_second,
        adapters: 60,
        skew: 1.0,
        patience: 5 * SECOND,
        shift: 0,
    }
}

/// Runs a skewed workload and checks that no endpoint is overloaded, no adapter is unloaded during
/// a run, and no request is lost.
fn check(nature: Nature, load: Skewed, seed: u64) -> world::Tally {
    let mut world = World::new(nature, PlacerSettings::default(), seed);
    load.fill(&mut world, SECOND, 21 * SECOND, 1);
    world.run_until(40 * SECOND);
    let tally = world.tally.clone();
    assert_eq!(
        tally.crashes, 0,
        "seed {seed}: an endpoint was loaded beyond its places"
    );
    assert_eq!(world.open(), 0, "seed {seed}: requests were forgotten");
    let under_run: usize = world.engines.values().map(|e| e.unloads_under_run).sum();
    assert_eq!(
        under_run, 0,
        "seed {seed}: an adapter was unloaded under a run"
    );
    tally
}

#[test]
fn no_endpoint_is_loaded_beyond_its_places() {
    for seed in 0..20 {
        check(Nature::default(), skewed(20.0), seed);
    }
}

#[test]
fn late_orders_neither_overload_nor_stop_an_endpoint() {
    for seed in 0..20 {
        let nature = Nature {
            late: 0.3,
            ..Nature::default()
        };
        let tally = check(nature, skewed(20.0), seed);
        let calm = check(Nature::default(), skewed(20.0), seed);
        let (served, of) = (tally.granted, calm.granted);
        // Three in ten orders are lost; at most the same share of requests may be.
        assert!(
            served * 10 >= of * 7,
            "seed {seed}: {served} ran instead of {of}"
        );
    }
}

#[test]
fn an_endpoint_takes_orders_again_after_an_unload_without_answer() {
    // A full endpoint whose unloads get no response at first must not wait for a slot forever.
    let nature = Nature {
        endpoints: 1,
        places: 2,
        late: 1.0,
        ..Nature::default()
    };
    let mut world = World::new(nature, PlacerSettings::default(), 1);
    world.nature.late = 0.0;
    world.ask_at(SECOND, 1, adapter(1), SECOND);
    world.ask_at(SECOND, 2, adapter(2), SECOND);
    world.run_until(3 * SECOND);
    world.nature.late = 1.0;
    world.ask_at(4 * SECOND, 3, adapter(3), 2 * SECOND);
    world.run_until(6 * SECOND);
    world.nature.late = 0.0;
    world.ask_at(20 * SECOND, 4, adapter(4), 2 * SECOND);
    world.run_until(30 * SECOND);
    assert_eq!(world.tally.crashes, 0);
    assert_eq!(world.tally.granted, 3, "the first two and the last");
}

#[test]
fn versions_replace_each_other_within_the_places() {
    for seed in 0..20 {
        let mut world = World::new(Nature::default(), PlacerSettings::default(), seed);
        skewed(20.0).fill(&mut world, SECOND, 21 * SECOND, 1);
        for step in 2..20 {
            world.run_until(step * SECOND);
            for number in 1..6 {
                world.announce(&adapter(number), u64::from(step));
            }
        }
        world.run_until(40 * SECOND);
        assert_eq!(world.tally.crashes, 0, "seed {seed}");
        assert_eq!(world.open(), 0, "seed {seed}");
    }
}

/// Engines learn of a version at once, the placer half a second later: its polls of loads in
/// progress must not start further loads.
#[test]
fn a_version_that_comes_during_a_load_overloads_no_endpoint() {
    for seed in 0..4 {
        let mut world = World::new(Nature::default(), PlacerSettings::default(), seed);
        skewed(20.0).fill(&mut world, SECOND, 21 * SECOND, 1);
        for step in 5..120_u32 {
            world.run_until(step * SECOND / 10);
            let number = usize::try_from(step % 30).expect("small") + 1;
            let version = u64::from(step / 30) + 2;
            world.set_version(&adapter(number), version);
            if step % 30 >= 5 {
                let earlier = number - 5;
                world.announce(&adapter(earlier), version);
            }
        }
        world.run_until(40 * SECOND);
        assert_eq!(world.tally.crashes, 0, "seed {seed}");
    }
}

/// The placer loses the connection to an instance for a moment, while that instance's requests run
/// on and new versions are announced.
#[test]
fn runs_that_the_placer_lost_sight_of_overload_no_endpoint() {
    for seed in 0..20 {
        let nature = Nature {
            run: 3 * SECOND,
            ..Nature::default()
        };
        let mut world = World::new(nature, PlacerSettings::default(), seed);
        skewed(12.0).fill(&mut world, SECOND, 21 * SECOND, 1);
        for step in 2..20 {
            world.run_until(step * SECOND);
            world.lose_touch(SECOND / 5);
            for number in 1..8 {
                world.announce(&adapter(number), u64::from(step));
            }
        }
        world.run_until(40 * SECOND);
        assert_eq!(world.tally.crashes, 0, "seed {seed}");
    }
}

#[test]
fn a_hopeless_request_is_refused_at_once() {
    let nature = Nature {
        endpoints: 1,
        places: 1,
        ..Nature::default()
    };
    let mut world = World::new(nature, PlacerSettings::default(), 1);
    for ticket in 1..40 {
        let number = usize::try_from(ticket).expect("small");
        world.ask_at(SECOND, ticket, adapter(number), SECOND);
    }
    world.run_until(5 * SECOND);
    assert!(world.tally.refused > 20, "most can't be there in time");
    let waits = &world.tally.refuse_waits;
    let at_once = waits.iter().filter(|w| w.is_zero()).count();
    assert!(
        at_once * 2 > waits.len(),
        "{at_once} of {} at once",
        waits.len()
    );
}

#[test]
fn a_version_of_unknown_age_lets_no_older_one_serve() {
    // A new holder learns of an announcement that may have been made long before.
    let mut world = World::new(Nature::default(), PlacerSettings::default(), 1);
    world.ask_at(SECOND, 1, adapter(1), SECOND);
    world.run_until(3 * SECOND);
    world.set_version(&adapter(1), 2);
    world.act(|p, now| p.on_version(now, &adapter(1), 2, None));
    world.ask_at(4 * SECOND, 2, adapter(1), SECOND);
    world.run_until(6 * SECOND);
    assert_eq!(world.tally.granted, 2);
    let versions: Vec<u64> = world
        .engines
        .values()
        .flat_map(world::engine::Engine::versions_run)
        .collect();
    assert_eq!(versions, [1, 2], "the second run is on the new version");
}
