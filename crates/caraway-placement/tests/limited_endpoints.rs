//! Fleets of 8, 60 and 385 instances whose requests go to endpoints with request limits, under
//! faults. Within any 4 s an endpoint may get 1.5 times its limit and 5 requests.

mod limited_fleet;

use std::time::Duration;

use limited_fleet::{Fault, Fleet, FleetSettings, Usage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: Duration = Duration::from_secs(1);
/// Limits, in requests per second, from which each endpoint's is drawn.
const LIMITS: [f64; 6] = [0.2, 1.0, 3.7, 6.8, 20.0, 60.0];
/// Share of the reports of a limit that a holder misses on days with faults.
const REPORT_LOSS: f64 = 0.3;
/// Part of a limit that must be used while demand exceeds it and nothing fails.
const MIN_USED: f64 = 0.9;

fn draw_limits(rng: &mut ChaCha8Rng) -> Vec<f64> {
    (0..3)
        .map(|_| LIMITS[rng.random_range(0..LIMITS.len())])
        .collect()
}

/// Draws two or three faults at random times.
fn draw_faults(rng: &mut ChaCha8Rng) -> Vec<(Duration, Fault)> {
    let count = rng.random_range(2..4);
    let draw = |rng: &mut ChaCha8Rng| {
        let at = SECOND.mul_f64(rng.random_range(2.0..14.0));
        let fault = match rng.random_range(0..5) {
            0 => Fault::HolderKilled(SECOND.mul_f64(rng.random_range(0.4..4.0))),
            1 => Fault::Cut(
                rng.random_range(0.1..0.9),
                SECOND.mul_f64(rng.random_range(2.0..8.0)),
            ),
            2 => Fault::Restart(rng.random_range(0.1..0.9)),
            3 => Fault::Limit(0, None),
            _ => Fault::Limit(1, Some(LIMITS[rng.random_range(0..LIMITS.len())])),
        };
        (at, fault)
    };
    let mut faults: Vec<_> = (0..count).map(|_| draw(rng)).collect();
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Plays a day for each seed and checks that no endpoint gets more than its limit allows.
fn play(instances: usize, seeds: std::ops::Range<u64>, with_faults: bool) -> Vec<Usage> {
    let mut all = Vec::new();
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = FleetSettings {
            instances,
            limits: draw_limits(&mut rng),
            demand: rng.random_range(1.2..4.0),
            end: SECOND * 20,
            faults: if with_faults {
                draw_faults(&mut rng)
            } else {
                Vec::new()
            },
            report_loss: if with_faults { REPORT_LOSS } else { 0.0 },
        };
        let usage = Fleet::new(settings.clone(), seed).run();
        for usage in &usage {
            assert!(usage.peak <= 1.0, "seed {seed}: {usage:?} in {settings:?}");
        }
        all.extend(usage);
    }
    all
}

fn mean_used(all: &[Usage]) -> f64 {
    let count = f64::from(u32::try_from(all.len()).expect("small"));
    all.iter().map(|u| u.used).sum::<f64>() / count
}

// Guards against: instances that together send more than an endpoint's limit.
#[test]
fn eight_instances_keep_limits_under_faults() {
    play(8, 0..500, true);
}

// Guards against: instances that together send more than an endpoint's limit.
#[test]
fn sixty_instances_keep_limits_under_faults() {
    play(60, 1000..1300, true);
}

// Guards against: shares of less than one request per second that are rounded up for each instance.
#[test]
fn hundreds_of_instances_keep_limits_under_faults() {
    play(385, 2000..2200, true);
}

// Guards against: a limit that is kept by not using the endpoint.
#[test]
fn limits_are_used_while_demand_exceeds_them() {
    for instances in [8, 60, 385] {
        let used = mean_used(&play(instances, 3000..3030, false));
        println!("{instances} instances use {used:.3} of the limits");
        assert!(used >= MIN_USED, "{instances} instances use {used}");
    }
}
