//! Engines that limit the requests of all instances together: the load that exceeds a limit moves to
//! other engines, or is refused at once.

mod simulation;

use std::time::{Duration, Instant};

use caraway_placement::PlacerSettings;
use caraway_routes::RequestRate;
use simulation::{SimSettings, Simulation, endpoint_id, workload::SkewedWorkload};

const SECOND: Duration = Duration::from_secs(1);
const GOAL: Duration = Duration::from_millis(500);
/// Limit of an engine, in requests per second.
const LIMIT: f64 = 5.0;
/// Requests that an engine with this limit may get in 4 s.
const ALLOWED: usize = 35;
/// Part of the limits that must be used while demand exceeds them.
const MIN_USED: f64 = 0.9;
const START: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(14);
const SEEDS: u64 = 10;

fn new_simulation(seed: u64) -> Simulation {
    let settings = SimSettings {
        endpoints: 3,
        adapter_slots: 16,
        ..SimSettings::default()
    };
    Simulation::new(settings, PlacerSettings::default(), seed)
}

/// Requests for few popular and many rare adapters, as on a busy day of one zone.
fn schedule(sim: &mut Simulation, per_second: f64) -> u64 {
    let workload = SkewedWorkload {
        per_second,
        adapters: 300,
        skew: 1.2,
        timeout: 4 * SECOND,
        shift: 0,
    };
    workload.schedule(sim, Duration::from_millis(100), END, 1)
}

fn set_limit(sim: &mut Simulation, endpoint: usize, per_second: Option<f64>) {
    let limit = per_second.map(|p| RequestRate::clamped(p).expect("a rate"));
    sim.act(|placer, now| placer.set_limit(now, &endpoint_id(endpoint), limit));
}

/// Returns when runs started at an endpoint from `from` on.
fn starts(sim: &Simulation, endpoint: usize, from: Duration) -> Vec<Instant> {
    let id = endpoint_id(endpoint);
    let all = sim.counters.starts.iter();
    all.filter(|(at, e, _)| *e == id && *at >= sim.start + from)
        .map(|(at, ..)| *at)
        .collect()
}

/// Returns the largest number of these times within 4 s.
fn peak(times: &[Instant]) -> usize {
    let window = 4 * SECOND;
    let count = |(first, at): (usize, &Instant)| {
        times[first..].partition_point(|other| *other < *at + window)
    };
    times.iter().enumerate().map(count).max().unwrap_or(0)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts are small"))
}

// Guards against: a holder that grants an engine more requests than its limit, or hardly any.
#[test]
fn load_beyond_the_limit_of_one_engine_moves_to_the_others() {
    for seed in 0..SEEDS {
        let mut sim = new_simulation(seed);
        schedule(&mut sim, 60.0);
        sim.run_until(START);
        set_limit(&mut sim, 0, Some(LIMIT));
        sim.run_until(END + 4 * SECOND);
        let limited = starts(&sim, 0, START);
        assert!(peak(&limited) <= ALLOWED, "seed {seed}: {}", peak(&limited));
        let possible = LIMIT * END.saturating_sub(START).as_secs_f64();
        assert!(
            as_f64(limited.len()) >= possible * MIN_USED,
            "seed {seed}: {} of {possible}",
            limited.len()
        );
        let counters = &sim.counters;
        let on_time = counters.waits.iter().filter(|w| **w <= GOAL).count();
        assert!(
            as_f64(on_time) >= as_f64(counters.requested) * 0.9,
            "seed {seed}: {on_time} of {} on time",
            counters.requested
        );
        assert_eq!(sim.open_requests(), 0, "seed {seed}");
    }
}

// Guards against: requests that wait until their deadline for engines that all have a limit, and
// refused callers that come back all at once.
#[test]
fn requests_beyond_the_limits_of_all_engines_are_refused_at_once_and_return_in_turns() {
    for seed in 0..SEEDS {
        let mut sim = new_simulation(seed);
        let count = schedule(&mut sim, 60.0);
        for ticket in 1..=count {
            sim.priorities
                .insert(ticket, if ticket % 4 == 0 { 0 } else { 2 });
        }
        sim.run_until(START);
        for endpoint in 0..3 {
            set_limit(&mut sim, endpoint, Some(LIMIT));
        }
        sim.run_until(END + 4 * SECOND);
        let mut used = 0;
        for endpoint in 0..3 {
            let limited = starts(&sim, endpoint, START);
            assert!(peak(&limited) <= ALLOWED, "seed {seed}: {}", peak(&limited));
            used += limited.len();
        }
        let possible = 3.0 * LIMIT * END.saturating_sub(START).as_secs_f64();
        assert!(
            as_f64(used) >= possible * MIN_USED,
            "seed {seed}: {used} of {possible}"
        );
        let counters = &sim.counters;
        let late = counters
            .refuse_waits
            .iter()
            .filter(|w| **w > 2 * SECOND)
            .count();
        assert!(counters.refused > 100, "seed {seed}: no overload");
        assert!(
            late * 10 <= counters.refused,
            "seed {seed}: {late} of {} refused late",
            counters.refused
        );
        let delays = &counters.retry_delays;
        assert!(delays.iter().all(|(_, d)| !d.is_zero()), "seed {seed}");
        assert_eq!(sim.open_requests(), 0, "seed {seed}");
        assert_most_important_first(&sim, seed);
    }
}

/// Asserts that requests of priority 0, a quarter of all, were served four times as often as the
/// others.
fn assert_most_important_first(sim: &Simulation, seed: u64) {
    let from = sim.start + START + 4 * SECOND;
    let served = sim.counters.starts.iter().filter(|(at, ..)| *at >= from);
    let (important, others): (Vec<_>, Vec<_>) =
        served.partition(|(_, _, ticket)| sim.priorities[ticket] == 0);
    assert!(
        important.len() * 3 >= others.len() * 4,
        "seed {seed}: {} and {}",
        important.len(),
        others.len()
    );
}

/// Sends requests that have four seconds until their deadline and this time until their goal, while
/// all engines have a limit of one request per second. Returns how many were refused within a
/// second, and how many started.
fn refused_and_started(goal: Duration) -> (usize, usize) {
    let mut sim = new_simulation(3);
    sim.goal = goal;
    for endpoint in 0..3 {
        set_limit(&mut sim, endpoint, Some(1.0));
    }
    for ticket in 0..8 {
        let at = START + Duration::from_millis(20 * ticket);
        sim.request_at(at, ticket, simulation::adapter(1), 4 * SECOND);
    }
    sim.run_until(START + SECOND);
    let refused = sim.counters.refused;
    sim.run_until(START + 5 * SECOND);
    (refused, sim.counters.starts.len())
}

// Guards against: requests that wait for a zone's limits while another zone has room.
#[test]
fn request_that_can_not_be_on_time_is_refused_at_once_so_that_other_zones_can_take_it() {
    let (refused, _) = refused_and_started(GOAL);
    assert!(refused >= 5, "{refused} of 8 refused at once");
}

// Guards against: requests that are refused although they could be served late.
#[test]
fn request_that_may_be_late_waits_for_a_permit() {
    let (refused, started) = refused_and_started(4 * SECOND);
    assert!(
        refused <= 4 && started >= 4,
        "{refused} refused, {started} started"
    );
}

// Guards against: a limit that stays in force at the placer after the endpoint has lifted it.
#[test]
fn engine_is_used_fully_once_its_limit_is_lifted() {
    let mut sim = new_simulation(7);
    schedule(&mut sim, 60.0);
    sim.run_until(START);
    set_limit(&mut sim, 0, Some(1.0));
    sim.run_until(START + 4 * SECOND);
    set_limit(&mut sim, 0, None);
    sim.run_until(END);
    let before = starts(&sim, 0, START).len() - starts(&sim, 0, START + 4 * SECOND).len();
    let after = starts(&sim, 0, START + 4 * SECOND).len();
    assert!(before <= 11, "{before}");
    assert!(after > 8 * 10, "{after} in 8 s");
}

// Guards against: a new holder that starts with a burst.
#[test]
fn limit_holds_across_a_change_of_the_holder() {
    for seed in 0..SEEDS {
        let mut sim = new_simulation(seed);
        schedule(&mut sim, 60.0);
        sim.run_until(START);
        set_limit(&mut sim, 0, Some(LIMIT));
        for change in 1..5 {
            sim.run_until(START + SECOND * change);
            sim.replace_placer();
            set_limit(&mut sim, 0, Some(LIMIT));
        }
        sim.run_until(END);
        let limited = starts(&sim, 0, START);
        assert!(peak(&limited) <= ALLOWED, "seed {seed}: {}", peak(&limited));
    }
}
