//! Long prompts among short ones: they take much memory, and reading one takes as long as a part of the
//! others' goal.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Kind, Request, engine::EngineSpeed};

const SECOND: Duration = Duration::from_secs(1);
/// Engines of the label-printing deployment.
const ENGINE: EngineSpeed = EngineSpeed {
    step_ms: 9.47,
    tokens_per_ms: 19.2,
    event_tokens: 4,
    factor: 1.0,
};
const SLOTS: u32 = 32;

/// As proof-note.
const SHORT: Kind = Kind {
    priority: 0,
    prompt: 646,
    output: 68,
    goal: SECOND,
    timeout: Duration::from_secs(8),
    account: None,
};

/// As job-digest.
const LONG: Kind = Kind {
    priority: 2,
    prompt: 9190,
    output: 52,
    goal: Duration::from_secs(2),
    timeout: Duration::from_secs(8),
    account: None,
};

fn new_fleet(engines: usize, seed: u64) -> Fleet {
    let kinds = vec![SHORT, LONG];
    Fleet::new(&vec![ENGINE; engines], SLOTS, |_| Vec::new(), kinds, seed)
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts are small"))
}

fn part(fleet: &Fleet, kind: usize, is_good: impl Fn(&Request) -> bool) -> f64 {
    let sent = || fleet.of_kind(kind, 2 * SECOND, 14 * SECOND);
    as_f64(sent().filter(|r| is_good(r)).count()) / as_f64(sent().count())
}

/// Guards against an engine that crashes because the requests granted to it exceed its memory.
#[test]
fn requests_at_an_engine_fit_in_its_memory() {
    let capacity = 24_000;
    let mut fleet = new_fleet(2, 1);
    fleet.set_token_capacity(capacity);
    for number in 0..12 {
        fleet.request_at(SECOND + Duration::from_millis(300) * number, 1, 0);
    }
    fleet.run_until(20 * SECOND);
    for engine in fleet.engines.values() {
        assert!(
            engine.most_tokens <= f64::from(capacity),
            "{}",
            engine.most_tokens
        );
    }
    let served = fleet.requests.values().filter(|r| r.ended).count();
    assert_eq!(served, 12);
    fleet.set_token_capacity(LONG.prompt - 1);
    let ticket = fleet.request_at(21 * SECOND, 1, 0);
    fleet.run_until(21 * SECOND);
    assert!(
        fleet.requests[&ticket].refused.is_some(),
        "it can never run"
    );
}

/// Guards against a burst of long prompts that makes short ones late, and against long ones that wait
/// until their deadline because short ones keep arriving.
#[test]
fn short_prompts_are_on_time_during_a_burst_of_long_ones() {
    let run = |long_per_second: f64| {
        let mut fleet = new_fleet(6, 3);
        fleet.schedule(0, 75.0, SECOND, 14 * SECOND, |_| 0);
        if long_per_second > 0.0 {
            fleet.schedule(1, long_per_second, 4 * SECOND, 8 * SECOND, |_| 0);
        }
        fleet.run_until(24 * SECOND);
        fleet
    };
    let (without, with) = (run(0.0), run(8.0));
    let on_time = |fleet: &Fleet| part(fleet, 0, |r| fleet.is_on_time(r));
    let (undisturbed, disturbed) = (on_time(&without), on_time(&with));
    let long = part(&with, 1, |r| r.ended);
    assert!(
        disturbed >= undisturbed - 0.02,
        "{disturbed:.3} of {undisturbed:.3}"
    );
    assert!(long >= 0.95, "{long:.3} of the long prompts");
}

/// Guards against a long prompt that waits until an engine may read it and holds up the short ones
/// behind it, and against short ones that are refused because few of many slots are taken.
#[test]
fn short_prompts_pass_a_more_important_long_one_that_can_not_begin() {
    let long = Kind {
        priority: 0,
        goal: 4 * SECOND,
        ..LONG
    };
    let short = Kind {
        priority: 1,
        ..SHORT
    };
    let mut fleet = Fleet::new(&[ENGINE], SLOTS, |_| Vec::new(), vec![short, long], 4);
    // Most requests are short.
    fleet.schedule(0, 8.0, Duration::ZERO, 18 * SECOND, |_| 0);
    for number in 0..4 {
        fleet.request_at(20 * SECOND + Duration::from_millis(number), 1, 0);
    }
    let at = |n: u64| 20 * SECOND + Duration::from_millis(10 + 100 * n);
    let tickets: Vec<u64> = (0..5).map(|n| fleet.request_at(at(n), 0, 0)).collect();
    fleet.run_until(30 * SECOND);
    let on_time = tickets.iter().map(|ticket| &fleet.requests[ticket]);
    let on_time = on_time.filter(|r| fleet.is_on_time(r)).count();
    assert_eq!(on_time, 5);
}
