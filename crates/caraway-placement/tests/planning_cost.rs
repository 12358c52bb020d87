//! Cost of decisions while many requests wait for adapters that no endpoint has room for.

mod simulation;

use std::time::Duration;

use caraway_placement::PlacerSettings;
use simulation::{SimSettings, Simulation, workload::SkewedWorkload};

const SECOND: Duration = Duration::from_secs(1);

/// Returns the time per request that a zone takes under `per_second` requests for rare adapters.
fn time_per_request(per_second: f64) -> Duration {
    let settings = SimSettings {
        endpoints: 24,
        slots: 16,
        adapter_slots: 8,
        full_speed_loads: 37,
        cached_adapters: 61,
        run_time: Duration::from_millis(900),
        ..SimSettings::default()
    };
    let workload = SkewedWorkload {
        per_second,
        adapters: 10_000,
        skew: 0.9,
        timeout: 5 * SECOND,
        shift: 0,
    };
    let mut sim = Simulation::new(settings, PlacerSettings::default(), 1);
    let requests = workload.schedule(&mut sim, SECOND, 7 * SECOND, 1);
    let start = std::time::Instant::now();
    sim.run_until(9 * SECOND);
    start.elapsed() / u32::try_from(requests).expect("small")
}

/// A holder with half a processor core falls behind under a burst if the time for each decision grows with the
/// number of waiting requests; all requests of its zone then wait until their callers give up.
#[test]
fn decisions_take_no_longer_while_many_requests_wait() {
    let calm = time_per_request(60.0);
    let busy = time_per_request(900.0);
    println!("calm {calm:?}, busy {busy:?}");
    assert!(busy < calm * 3, "{busy:?} under overload, {calm:?} before");
}
