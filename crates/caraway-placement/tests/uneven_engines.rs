//! Engines of different speed: requests are placed by the speed that the placer learns.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Kind, engine::EngineSpeed};

const SECOND: Duration = Duration::from_secs(1);
const SLOTS: u32 = 16;
/// Short requests that one engine completes per second when all its slots are taken.
const ENGINE_RATE: f64 = 25.6;

/// An engine of the materials registry.
fn engine(factor: f64) -> EngineSpeed {
    EngineSpeed {
        step_ms: 4.43,
        tokens_per_ms: 38.1,
        event_tokens: 8,
        factor,
    }
}

/// A short request, as grade-lookup.
fn short() -> Kind {
    Kind {
        priority: 1,
        prompt: 646,
        output: 72,
        goal: Duration::from_millis(600),
        timeout: 5 * SECOND,
        account: None,
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts are small"))
}

fn new_fleet(factors: &[f64], seed: u64) -> Fleet {
    let speeds: Vec<EngineSpeed> = factors.iter().map(|f| engine(*f)).collect();
    Fleet::new(&speeds, SLOTS, |_| Vec::new(), vec![short()], seed)
}

/// Returns the mean time to the first event in ms of the requests from 4 s on, at this load.
fn mean_first_event(factors: &[f64], load: f64, seed: u64) -> f64 {
    let mut fleet = new_fleet(factors, seed);
    let rate = ENGINE_RATE * factors.iter().sum::<f64>() * load;
    fleet.schedule(0, rate, SECOND, 24 * SECOND, |_| 0);
    fleet.run_until(32 * SECOND);
    let sent = fleet.of_kind(0, 4 * SECOND, 24 * SECOND);
    let times = sent.map(|r| r.first_event.map_or(5.0, |at| (at - r.at).as_secs_f64()));
    let times: Vec<f64> = times.collect();
    times.iter().sum::<f64>() / as_f64(times.len()) * 1000.0
}

/// Guards against slow engines that get as many requests as fast ones, and make them wait.
#[test]
fn uneven_engines_are_as_fast_as_even_ones_of_the_same_sum() {
    let uneven_factors = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
    for load in [0.2, 0.5, 0.8] {
        let (mut even, mut uneven) = (0.0, 0.0);
        for seed in 0..4 {
            even += mean_first_event(&[1.0375; 8], load, seed) / 4.0;
            uneven += mean_first_event(&uneven_factors, load, seed) / 4.0;
        }
        assert!(
            uneven <= even,
            "load {load}: {uneven:.0} ms instead of {even:.0} ms"
        );
    }
}

/// Guards against an engine that becomes eight times as slow and still gets its part of the requests,
/// and against one that is not used again once it has recovered.
#[test]
fn a_very_slow_engine_is_avoided_until_it_has_recovered() {
    let mut fleet = new_fleet(&[1.0; 4], 5);
    fleet.schedule(0, ENGINE_RATE * 4.0 * 0.5, SECOND, 30 * SECOND, |_| 0);
    fleet.set_speed_at(5 * SECOND, 2, 0.125);
    fleet.set_speed_at(15 * SECOND, 2, 1.0);
    fleet.run_until(36 * SECOND);
    let slow = fleet::endpoint_id(2);
    let part = |from: u32, to: u32| {
        let sent = || fleet.of_kind(0, from * SECOND, to * SECOND);
        let there = sent().filter(|r| r.endpoint.as_ref() == Some(&slow));
        as_f64(there.count()) / as_f64(sent().count())
    };
    assert!(part(2, 5) > 0.15, "{:.3} before", part(2, 5));
    assert!(part(7, 15) < 0.02, "{:.3} while it is slow", part(7, 15));
    assert!(part(22, 30) > 0.15, "{:.3} afterwards", part(22, 30));
    let sent = || fleet.of_kind(0, 7 * SECOND, 15 * SECOND);
    let on_time = sent().filter(|r| fleet.is_on_time(r)).count();
    assert!(
        as_f64(on_time) >= as_f64(sent().count()) * 0.97,
        "{on_time}"
    );
}
