//! An instance that is short of processor time refuses as many requests as it can't serve in time.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use caraway_gateway::LoadShedder;
use caraway_routes::Route;

/// Goals of the routes: half of the shortest is the limit of the lateness.
const PLAIN_GOAL: Duration = Duration::from_millis(120);
const STREAM_GOAL: Duration = Duration::from_millis(600);
/// Interval between timers, and the time until an engine sends its first event, in microseconds.
const TIMER_INTERVAL: u64 = 100_000;
const ENGINE_TIME: u64 = 80_000;
/// Time of a core for each part of a request, in microseconds.
const START_COST: u64 = 2_000;
const EVENT_COST: u64 = 500;
const EVENTS: u64 = 6;
const REFUSAL_COST: u64 = 350;

/// A task of the instance, with the time at which it became ready.
enum Task {
    Timer,
    /// A request arrives.
    Start,
    /// An event of the stream that arrived at this time; the first one answers it.
    Event(u64, bool),
}

#[derive(Debug, Default)]
struct Results {
    offered: u32,
    on_time: u32,
    refused: u32,
    /// Longest wait until a request was refused, in microseconds.
    longest_refusal: u64,
}

fn routes() -> [Route; 2] {
    let route = |streaming, latency_goal| Route {
        streaming,
        latency_goal,
        ..Route::default()
    };
    [route(false, PLAIN_GOAL), route(true, STREAM_GOAL)]
}

/// Serves streams on a tenth of a core; `rate` returns the requests per second at a second.
fn serve(seconds: u64, is_shedding: bool, rate: impl Fn(u64) -> f64) -> Vec<Results> {
    let mut shedder = LoadShedder::default();
    shedder.set_routes(&routes());
    let mut results: Vec<Results> = (0..seconds).map(|_| Results::default()).collect();
    // The tasks that become ready later, by time and number.
    let mut later = BTreeMap::from([((TIMER_INTERVAL, 0), Task::Timer)]);
    let mut number = 1;
    for second in 0..seconds {
        let mut at = 0.0;
        while at < 1.0 {
            let micros =
                second * 1_000_000 + u64::from(Duration::from_secs_f64(at).subsec_micros());
            later.insert((micros, number), Task::Start);
            number += 1;
            at += 1.0 / rate(second);
        }
    }
    let (mut now, mut in_flight, mut draw) = (0_u64, 0_usize, 0.0_f64);
    let mut ready = VecDeque::new();
    while now < seconds * 1_000_000 {
        while let Some(next) = later.first_entry().filter(|e| e.key().0 <= now) {
            let ((at, _), task) = next.remove_entry();
            ready.push_back((at, task));
        }
        let Some((at, task)) = ready.pop_front() else {
            now = later.first_key_value().map_or(u64::MAX, |(key, _)| key.0);
            continue;
        };
        number += 1;
        let result = |results: &mut Vec<Results>, at: u64, update: fn(&mut Results)| {
            update(&mut results[usize::try_from(at / 1_000_000).expect("a second")]);
        };
        let cost = match task {
            Task::Timer => {
                shedder.on_timer(Duration::from_micros(now - at));
                later.insert((now + TIMER_INTERVAL, number), Task::Timer);
                50
            }
            Task::Start => {
                result(&mut results, at, |r| r.offered += 1);
                // A sequence that fills the interval evenly.
                draw = (draw + 0.618_034).fract();
                if is_shedding && shedder.refuses(in_flight, draw) {
                    let second = &mut results[usize::try_from(at / 1_000_000).expect("a second")];
                    second.refused += 1;
                    second.longest_refusal = second.longest_refusal.max(now - at);
                    REFUSAL_COST
                } else {
                    in_flight += 1;
                    later.insert((now + ENGINE_TIME, number), Task::Event(at, true));
                    START_COST
                }
            }
            Task::Event(arrived_at, is_first) => {
                if is_first {
                    let goal = u64::try_from(STREAM_GOAL.as_micros()).expect("a short time");
                    if now - arrived_at <= goal {
                        result(&mut results, arrived_at, |r| r.on_time += 1);
                    }
                    for event in 1..EVENTS {
                        let task = Task::Event(arrived_at, false);
                        later.insert((now + event * 40_000, number + event), task);
                    }
                    number += EVENTS;
                    in_flight -= 1;
                }
                EVENT_COST
            }
        };
        // A tenth of a core.
        now += cost * 10;
    }
    results
}

/// Requests per second that a tenth of a core serves.
const CAPACITY: f64 = 20.0;

fn sum(results: &[Results], count: impl Fn(&Results) -> u32) -> u32 {
    results.iter().map(count).sum()
}

// Guards against: requests wait unread at an instance that is short of processor time until their
// callers give up.
#[test]
fn overloaded_instance_serves_what_it_can_on_time_and_refuses_the_rest_early() {
    for factor in [1.3, 1.6, 2.0, 3.0] {
        let rate = |second| CAPACITY * if second < 4 { 0.5 } else { factor };
        let without = serve(16, false, rate);
        let late = sum(&without[8..15], |r| r.offered - r.on_time);
        assert!(late > 100, "the load of {factor} makes requests late");
        let results = serve(16, true, rate);
        // Refusals take a part of the processor time.
        let refusal = f64::from(u32::try_from(REFUSAL_COST * 10).expect("it is short")) / 1e6;
        let served = (1.0 - refusal * CAPACITY * factor) / (1.0 / CAPACITY - refusal);
        let on_time = f64::from(sum(&results[7..15], |r| r.on_time));
        assert!(
            on_time >= 0.85 * 8.0 * served,
            "{factor}: {on_time} of {}: {results:?}",
            8.0 * served
        );
        let longest = results[7..15].iter().map(|r| r.longest_refusal).max();
        assert!(longest < Some(300_000), "{factor}: {results:?}");
    }
}

// Guards against: an instance refuses requests that it could serve, or goes on to do so after a wave.
#[test]
fn instance_with_enough_processor_time_refuses_nothing() {
    let results = serve(20, true, |_| CAPACITY * 0.85);
    assert_eq!(sum(&results, |r| r.refused), 0, "{results:?}");
    let wave = |second| CAPACITY * if (4..8).contains(&second) { 2.0 } else { 0.7 };
    let results = serve(20, true, wave);
    assert!(sum(&results[4..8], |r| r.refused) > 0);
    assert_eq!(sum(&results[11..], |r| r.refused), 0, "{results:?}");
}

// Guards against: a process that was stopped for a while, or has few requests, refuses some.
#[test]
fn single_late_timer_and_few_requests_are_no_shortage() {
    let mut shedder = LoadShedder::default();
    shedder.set_routes(&routes());
    let (stop, none) = (Duration::from_secs(3), Duration::ZERO);
    assert_eq!(shedder.on_timer(none), None);
    assert_eq!(shedder.on_timer(stop), None);
    assert_eq!(shedder.on_timer(none), None);
    assert!(!shedder.refuses(100, 0.0));
    assert_eq!(shedder.on_timer(PLAIN_GOAL / 2), None);
    assert_eq!(shedder.on_timer(stop), None, "the limit is half of a goal");
    assert_eq!(shedder.on_timer(stop), Some(true));
    assert!(shedder.refuses(100, 0.0) && !shedder.refuses(2, 0.0));
    while shedder.on_timer(none) != Some(false) {}
    assert!(!shedder.refuses(100, 0.0));
}
