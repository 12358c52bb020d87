//! Endpoints that start empty, as after a crash: without a model's weights they can't serve, and
//! the remaining ones take all requests.

mod simulation;

use std::time::Duration;

use caraway_placement::PlacerSettings;
use simulation::{SimSettings, Simulation, adapter, workload::SkewedWorkload};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_empty_endpoint_loads_its_weights_and_serves() {
    let sim_settings = SimSettings {
        endpoints: 1,
        ..SimSettings::default()
    };
    let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), 1);
    sim.run_until(SECOND);
    sim.restart(0);
    sim.request_at(SECOND, 1, adapter(1), 5 * SECOND);
    sim.run_until(8 * SECOND);
    assert_eq!(
        sim.counters.weight_loads.len(),
        1,
        "one load of the weights"
    );
    assert_eq!(sim.counters.granted, 1);
    assert!(
        sim.counters.waits[0] < 2 * SECOND,
        "the weights take 0.84 s, the adapter 0.25 s"
    );
}

/// Two of three endpoints crash at once under a workload that a single one can't carry.
#[test]
fn endpoints_restarted_under_load_serve_again() {
    for seed in 0..5 {
        let sim_settings = SimSettings {
            adapter_slots: 16,
            run_time: SECOND,
            ..SimSettings::default()
        };
        let workload = SkewedWorkload {
            per_second: 60.0,
            adapters: 300,
            skew: 1.3,
            timeout: 2 * SECOND,
            shift: 0,
        };
        let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), seed);
        workload.schedule(&mut sim, SECOND, 31 * SECOND, 1);
        sim.run_until(10 * SECOND);
        sim.restart(0);
        sim.restart(1);
        sim.run_until(15 * SECOND);
        let before = sim.counters.clone();
        sim.run_until(35 * SECOND);
        let refused = sim.counters.refused - before.refused;
        let granted = sim.counters.granted - before.granted;
        assert!(
            refused * 10 < granted,
            "seed {seed}: {refused} refused and {granted} granted after the restart"
        );
        assert_eq!(sim.counters.crashes, 0, "seed {seed}");
    }
}

#[test]
fn weight_loads_stay_within_the_store_rate() {
    let sim_settings = SimSettings {
        endpoints: 12,
        weights_rate: 0.2,
        ..SimSettings::default()
    };
    let settings = PlacerSettings::default();
    let mut sim = Simulation::new(sim_settings, settings.clone(), 1);
    sim.run_until(SECOND);
    for number in 0..12 {
        sim.restart(number);
    }
    sim.run_until(30 * SECOND);
    let started = &sim.counters.weight_loads;
    assert_eq!(started.len(), 12, "every endpoint gets its weights");
    for first in started {
        let window = started
            .iter()
            .filter(|at| **at >= *first && **at < *first + settings.load_window);
        // 0.2 loads per second over 5 s, and a slack of three.
        assert!(window.count() <= 4);
    }
}

#[test]
fn weights_are_loaded_despite_late_orders() {
    for seed in 0..20 {
        let sim_settings = SimSettings {
            late_share: 0.5,
            ..SimSettings::default()
        };
        let mut sim = Simulation::new(sim_settings, PlacerSettings::default(), seed);
        sim.run_until(SECOND);
        for number in 0..3 {
            sim.restart(number);
        }
        sim.run_until(10 * SECOND);
        let now = sim.now;
        let with_weights = sim.engines.values().filter(|e| e.has_weights(now));
        assert_eq!(with_weights.count(), 3, "seed {seed}");
    }
}
