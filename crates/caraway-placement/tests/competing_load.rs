//! More requests than the engines serve: which of them are served, and what the others are told.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Kind, engine::EngineSpeed};
use rand::Rng;

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);
/// Engines of the label-printing deployment.
const ENGINE: EngineSpeed = EngineSpeed {
    step_ms: 9.47,
    tokens_per_ms: 19.2,
    event_tokens: 4,
    factor: 1.0,
};
const SLOTS: u32 = 32;
/// Short requests that one engine completes per second when all its slots are taken.
const ENGINE_RATE: f64 = 17.9;

/// A short request, as proof-note.
fn short() -> Kind {
    Kind {
        priority: 0,
        prompt: 646,
        output: 68,
        goal: SECOND,
        timeout: 8 * SECOND,
        account: None,
    }
}

fn new_fleet(engines: usize, kinds: Vec<Kind>, seed: u64) -> Fleet {
    let held = |i: usize| (0..=4).map(|k| (i + k) % engines + 1).collect();
    Fleet::new(&vec![ENGINE; engines], SLOTS, held, kinds, seed)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts are small"))
}

/// Guards against serving requests that are late already before those that can be on time, which
/// makes nearly all of them late.
#[test]
fn useful_work_under_overload_is_near_the_capacity() {
    for (overload, seed) in [(1.5, 1), (2.0, 2)] {
        let engines = 6;
        let mut fleet = new_fleet(engines, vec![short()], seed);
        let capacity = ENGINE_RATE * as_f64(engines);
        let pick = move |rng: &mut rand_chacha::ChaCha8Rng| rng.random_range(1..=engines);
        fleet.schedule(0, capacity * overload, SECOND, 13 * SECOND, pick);
        fleet.run_until(22 * SECOND);
        // After the first seconds, in which the queue fills.
        let sent = || fleet.of_kind(0, 3 * SECOND, 13 * SECOND);
        let on_time = sent().filter(|r| fleet.is_on_time(r)).count();
        let part = as_f64(on_time) / (capacity * 10.0);
        assert!(
            part >= 0.95,
            "{overload}: {part:.3} of the capacity, {} sent",
            sent().count()
        );
    }
}

/// Guards against an adapter whose requests take every free slot of an endpoint, while requests for
/// another adapter there are closer to their goal or can still be on time.
#[test]
fn a_free_slot_goes_to_the_most_deserving_request_of_all_adapters() {
    let with_goal = |goal, priority| Kind {
        priority,
        goal,
        ..short()
    };
    let goals = [6 * SECOND, 3 * SECOND, 7 * SECOND, 100 * MS];
    let kinds = [0, 0, 1, 0].iter().zip(goals);
    let kinds: Vec<Kind> = kinds.map(|(p, goal)| with_goal(goal, *p)).collect();
    let mut fleet = Fleet::new(&[ENGINE], 1, |_| vec![1, 2, 3, 4], kinds, 1);
    // One run takes about 0.72 s. The late one arrives first, the most urgent one last.
    let arrivals = [(0, 1), (3, 4), (0, 1), (0, 1), (2, 3), (1, 2)];
    let tickets = (0_u32..).zip(arrivals).map(|(i, (kind, adapter))| {
        let ticket = fleet.request_at(SECOND + 5 * MS * i, kind, adapter);
        (kind, ticket)
    });
    let tickets: Vec<_> = tickets.collect();
    fleet.run_until(9 * SECOND);
    let mut granted: Vec<_> = tickets
        .iter()
        .filter_map(|(kind, ticket)| Some((fleet.requests[ticket].granted?, *kind)))
        .collect();
    granted.sort_unstable();
    let order: Vec<usize> = granted.iter().map(|(_, kind)| *kind).collect();
    assert_eq!(order, [0, 1, 0, 0, 2, 3]);
}

/// Returns a fleet after requests for three times its capacity, some callers of which returned, and the kind
/// of these requests.
fn overloaded_fleet() -> (Fleet, Kind) {
    let kind = Kind {
        timeout: 3 * SECOND,
        ..short()
    };
    let mut fleet = new_fleet(3, vec![kind], 3);
    fleet.are_callers_patient = true;
    let capacity = ENGINE_RATE * 3.0;
    let pick = |rng: &mut rand_chacha::ChaCha8Rng| rng.random_range(1..=3);
    fleet.schedule(0, capacity * 0.5, SECOND, 2 * SECOND, pick);
    fleet.schedule(0, capacity * 3.0, 2 * SECOND, 4 * SECOND, pick);
    fleet.schedule(0, capacity * 0.3, 4 * SECOND, 20 * SECOND, pick);
    fleet.run_until(40 * SECOND);
    (fleet, kind)
}

/// Guards against requests that wait until their deadline although the requests before them take all
/// endpoints until then, and against times to retry at which there is no capacity.
#[test]
fn requests_beyond_the_capacity_are_refused_and_served_when_they_return() {
    let (fleet, _) = overloaded_fleet();
    let all = || fleet.requests.values();
    let refusals = all().filter(|r| r.refused.is_some()).count();
    assert!(refusals > 50, "no overload: {refusals} refused");
    let expired = all().filter(|r| !r.ended && r.refused.is_none()).count();
    assert!(expired * 100 <= all().count(), "{expired} expired");
    let returned = fleet.returned.iter().map(|ticket| &fleet.requests[ticket]);
    let on_time = returned.filter(|r| fleet.is_on_time(r)).count();
    assert!(
        on_time * 20 >= fleet.returned.len() * 19,
        "{on_time} of {} on time when they return",
        fleet.returned.len()
    );
}

/// Guards against requests that are held and refused later, when their callers have no time left for another attempt.
#[test]
fn requests_beyond_the_capacity_are_refused_at_once() {
    let (fleet, kind) = overloaded_fleet();
    let refused = fleet.requests.values();
    let refused: Vec<_> = refused.filter_map(|r| Some(r.refused?.0 - r.at)).collect();
    let at_once = refused.iter().filter(|w| **w <= kind.goal / 8).count();
    assert_eq!(at_once, refused.len(), "refused at once, of all refused");
}

/// Guards against refusals while slots are free and nothing waits, whatever the sizes.
#[test]
fn nothing_is_refused_while_slots_are_free() {
    let kinds = [(0, 0), (u32::MAX, u32::MAX), (646, 0)].map(|(prompt, output)| Kind {
        prompt,
        output,
        ..short()
    });
    let mut fleet = new_fleet(3, kinds.to_vec(), 4);
    for round in 0..40_u32 {
        let kind = usize::try_from(round % 3).expect("small");
        fleet.request_at(SECOND + 20 * MS * round, kind, 1 + kind);
    }
    fleet.run_until(20 * SECOND);
    let granted = fleet.requests.values().filter(|r| r.granted.is_some());
    assert_eq!(granted.count(), 40);
}

/// Guards against a check of the deadlines that every new request postpones, so that under load no
/// waiting request is refused before its deadline.
#[test]
fn new_requests_do_not_postpone_the_check_of_deadlines() {
    let mut fleet = Fleet::new(&[ENGINE], 1, |_| vec![1], vec![short()], 1);
    fleet.request_at(SECOND, 0, 1);
    fleet.request_at(SECOND + 3 * MS, 0, 1);
    fleet.run_until(SECOND + 4 * MS);
    let due = fleet.placer.next_wake(fleet.now).expect("a request waits");
    fleet.request_at(SECOND + 7 * MS, 0, 1);
    fleet.run_until(SECOND + 8 * MS);
    let still_due = fleet.placer.next_wake(fleet.now).expect("two wait");
    assert!(still_due <= due);
}
