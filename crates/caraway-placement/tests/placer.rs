//! Invariants of the placer under any workload and with lost or late orders.

mod simulation;

use std::time::Duration;

use caraway_placement::PlacerSettings;
use simulation::{SimSettings, Simulation, adapter, workload::SkewedWorkload};

const SECOND: Duration = Duration::from_secs(1);

fn skewed(per_second: f64) -> SkewedWorkload {
    SkewedWorkload {
        per_second,
        adapters: 60,
        skew: 1.0,
        timeout: 5 * SECOND,
        shift: 0,
    }
}

/// Runs a skewed workload and checks that no endpoint is overloaded, no adapter is unloaded during
/// a run, and no request is lost.
fn run_and_check(
    sim_settings: SimSettings,
    workload: SkewedWorkload,
    seed: u64,
) -> simulation::Counters {
    let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), seed);
    workload.schedule(&mut sim, SECOND, 21 * SECOND, 1);
    sim.run_until(40 * SECOND);
    let counters = sim.counters.clone();
    assert_eq!(
        counters.crashes, 0,
        "seed {seed}: an endpoint was loaded beyond its adapter slots"
    );
    assert_eq!(sim.open_requests(), 0, "seed {seed}: requests were lost");
    let during_run: usize = sim.engines.values().map(|e| e.unloads_during_run).sum();
    assert_eq!(
        during_run, 0,
        "seed {seed}: an adapter was unloaded during a run"
    );
    counters
}

#[test]
fn loads_stay_within_the_adapter_slots() {
    for seed in 0..20 {
        run_and_check(SimSettings::default(), skewed(20.0), seed);
    }
}

#[test]
fn late_orders_neither_overload_nor_block_an_endpoint() {
    for seed in 0..20 {
        let sim_settings = SimSettings {
            late_share: 0.3,
            ..SimSettings::default()
        };
        let counters = run_and_check(sim_settings, skewed(20.0), seed);
        let baseline = run_and_check(SimSettings::default(), skewed(20.0), seed);
        let (served, expected) = (counters.granted, baseline.granted);
        // Three in ten orders are lost; at most the same share of requests may be.
        assert!(
            served * 10 >= expected * 7,
            "seed {seed}: {served} granted instead of {expected}"
        );
    }
}

#[test]
fn an_endpoint_accepts_orders_after_an_unload_without_response() {
    // A full endpoint whose unloads get no response at first must not wait for a slot forever.
    let sim_settings = SimSettings {
        endpoints: 1,
        adapter_slots: 2,
        late_share: 1.0,
        ..SimSettings::default()
    };
    let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), 1);
    sim.settings.late_share = 0.0;
    sim.request_at(SECOND, 1, adapter(1), SECOND);
    sim.request_at(SECOND, 2, adapter(2), SECOND);
    sim.run_until(3 * SECOND);
    sim.settings.late_share = 1.0;
    sim.request_at(4 * SECOND, 3, adapter(3), 2 * SECOND);
    sim.run_until(6 * SECOND);
    sim.settings.late_share = 0.0;
    sim.request_at(20 * SECOND, 4, adapter(4), 2 * SECOND);
    sim.run_until(30 * SECOND);
    assert_eq!(sim.counters.crashes, 0);
    assert_eq!(sim.counters.granted, 3, "the first two and the last");
}

#[test]
fn versions_replace_each_other_within_the_adapter_slots() {
    for seed in 0..20 {
        let mut sim = Simulation::new(SimSettings::default(), PlacerSettings::default(), seed);
        skewed(20.0).schedule(&mut sim, SECOND, 21 * SECOND, 1);
        for step in 2..20 {
            sim.run_until(step * SECOND);
            for number in 1..6 {
                sim.announce(&adapter(number), u64::from(step));
            }
        }
        sim.run_until(40 * SECOND);
        assert_eq!(sim.counters.crashes, 0, "seed {seed}");
        assert_eq!(sim.open_requests(), 0, "seed {seed}");
    }
}

/// Engines learn of a version at once, the placer half a second later: its polls of loads in
/// progress must not start further loads.
#[test]
fn a_version_that_comes_during_a_load_overloads_no_endpoint() {
    for seed in 0..4 {
        let mut sim = Simulation::new(SimSettings::default(), PlacerSettings::default(), seed);
        skewed(20.0).schedule(&mut sim, SECOND, 21 * SECOND, 1);
        for step in 5..120_u32 {
            sim.run_until(step * SECOND / 10);
            let number = usize::try_from(step % 30).expect("small") + 1;
            let version = u64::from(step / 30) + 2;
            sim.set_version(&adapter(number), version);
            if step % 30 >= 5 {
                let earlier = number - 5;
                sim.announce(&adapter(earlier), version);
            }
        }
        sim.run_until(40 * SECOND);
        assert_eq!(sim.counters.crashes, 0, "seed {seed}");
    }
}

/// The placer loses the connection to an instance for a moment, while that instance's requests run
/// on and new versions are announced.
#[test]
fn runs_that_the_placer_lost_sight_of_overload_no_endpoint() {
    for seed in 0..20 {
        let sim_settings = SimSettings {
            run_time: 3 * SECOND,
            ..SimSettings::default()
        };
        let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), seed);
        skewed(12.0).schedule(&mut sim, SECOND, 21 * SECOND, 1);
        for step in 2..20 {
            sim.run_until(step * SECOND);
            sim.disconnect(SECOND / 5);
            for number in 1..8 {
                sim.announce(&adapter(number), u64::from(step));
            }
        }
        sim.run_until(40 * SECOND);
        assert_eq!(sim.counters.crashes, 0, "seed {seed}");
    }
}

#[test]
fn requests_that_would_be_late_are_refused_at_once() {
    let sim_settings = SimSettings {
        endpoints: 1,
        adapter_slots: 1,
        ..SimSettings::default()
    };
    let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), 1);
    for ticket in 1..40 {
        let number = usize::try_from(ticket).expect("small");
        sim.request_at(SECOND, ticket, adapter(number), SECOND);
    }
    sim.run_until(5 * SECOND);
    assert!(sim.counters.refused > 20, "most can't be loaded in time");
    let waits = &sim.counters.refuse_waits;
    let at_once = waits.iter().filter(|w| w.is_zero()).count();
    assert!(
        at_once * 2 > waits.len(),
        "{at_once} of {} refused at once",
        waits.len()
    );
}

#[test]
fn a_version_of_unknown_age_stops_older_ones_from_serving() {
    // A new holder learns of an announcement that may have been made long before.
    let mut sim = Simulation::new(SimSettings::default(), PlacerSettings::default(), 1);
    sim.request_at(SECOND, 1, adapter(1), SECOND);
    sim.run_until(3 * SECOND);
    sim.set_version(&adapter(1), 2);
    sim.act(|p, now| p.on_version(now, &adapter(1), 2, None));
    sim.request_at(4 * SECOND, 2, adapter(1), SECOND);
    sim.run_until(6 * SECOND);
    assert_eq!(sim.counters.granted, 2);
    let versions: Vec<u64> = sim
        .engines
        .values()
        .flat_map(simulation::engine::Engine::run_versions)
        .collect();
    assert_eq!(versions, [1, 2], "the second run is on the new version");
}
