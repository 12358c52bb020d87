//! When an instance claims the zones that have no holder.

use std::time::{Duration, Instant};

use caraway_gateway::ClaimSchedule;
use caraway_types::ZoneId;

const DELAY: Duration = Duration::from_millis(90);
const LATER_DELAY: Duration = Duration::from_millis(190);
const TICK: Duration = Duration::from_millis(100);

/// All instances start at once and claim three zones in one topic: the strong one of a zone loses to
/// another zone's claim, and must still come before the weak one.
#[test]
fn a_claim_that_another_zone_s_came_before_keeps_its_place() {
    let start = Instant::now();
    let zone: ZoneId = "z3".into();
    let (mut strong, mut weak) = (ClaimSchedule::default(), ClaimSchedule::default());
    assert!(!strong.try_begin(start, &zone, DELAY, Some(0)));
    assert!(!weak.try_begin(start, &zone, LATER_DELAY, Some(0)));
    assert!(strong.try_begin(start + TICK, &zone, DELAY, Some(0)));
    strong.finish(&zone, Some(0));
    assert!(
        !strong.try_begin(start + TICK, &zone, DELAY, Some(0)),
        "the topic is not read on yet"
    );
    let read = start + TICK + Duration::from_millis(50);
    assert!(
        strong.try_begin(read, &zone, DELAY, Some(1)),
        "it does not wait anew"
    );
    assert!(!weak.try_begin(read, &zone, LATER_DELAY, Some(1)));
}

/// The store is away: every look would pay for a call.
#[test]
fn a_claim_that_the_store_did_not_take_waits_anew() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    assert!(!claims.try_begin(start, &zone, DELAY, Some(4)));
    assert!(claims.try_begin(start + TICK, &zone, DELAY, Some(4)));
    assert!(
        !claims.try_begin(start + TICK, &zone, DELAY, Some(4)),
        "one claim at a time"
    );
    claims.finish(&zone, None);
    let again = start + TICK + Duration::from_millis(1);
    assert!(!claims.try_begin(again, &zone, DELAY, Some(4)));
    assert!(claims.try_begin(again + DELAY, &zone, DELAY, Some(4)));
}

/// The holder is back before the claim.
#[test]
fn a_zone_that_has_its_holder_is_not_claimed() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    assert!(!claims.try_begin(start, &zone, DELAY, Some(4)));
    claims.remove(&zone);
    let later = start + DELAY;
    assert!(!claims.try_begin(later, &zone, DELAY, Some(5)));
    assert!(claims.try_begin(later + DELAY, &zone, DELAY, Some(5)));
}

/// A zone was handed over: instances that start before its record lies in the store ask the former
/// holder.
#[test]
fn a_zone_that_was_handed_over_is_recorded_at_once() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    claims.schedule_now(start, &zone);
    assert!(claims.try_begin(start, &zone, DELAY, Some(4)));
    claims.finish(&zone, None);
    let later = start + TICK;
    assert!(
        !claims.try_begin(later, &zone, DELAY, Some(4)),
        "not so while the store is away"
    );
}
