//! When an instance claims the zones that have no holder.

use std::time::{Duration, Instant};

use caraway_gateway::Claims;
use caraway_types::ZoneId;

const PLACE: Duration = Duration::from_millis(90);
const LATER_PLACE: Duration = Duration::from_millis(190);
const TICK: Duration = Duration::from_millis(100);

/// All instances start at once and claim three zones in one topic: the strong one of a zone loses to
/// another zone's claim, and must still come before the weak one.
#[test]
fn a_claim_that_another_zone_s_came_before_keeps_its_place() {
    let start = Instant::now();
    let zone: ZoneId = "z3".into();
    let (mut strong, mut weak) = (Claims::default(), Claims::default());
    assert!(!strong.begin(start, &zone, PLACE, Some(0)));
    assert!(!weak.begin(start, &zone, LATER_PLACE, Some(0)));
    assert!(strong.begin(start + TICK, &zone, PLACE, Some(0)));
    strong.end(&zone, Some(0));
    assert!(
        !strong.begin(start + TICK, &zone, PLACE, Some(0)),
        "the topic is not read on yet"
    );
    let read = start + TICK + Duration::from_millis(50);
    assert!(
        strong.begin(read, &zone, PLACE, Some(1)),
        "it does not wait anew"
    );
    assert!(!weak.begin(read, &zone, LATER_PLACE, Some(1)));
}

/// The store is away: every look would pay for a call.
#[test]
fn a_claim_that_the_store_did_not_take_waits_anew() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = Claims::default();
    assert!(!claims.begin(start, &zone, PLACE, Some(4)));
    assert!(claims.begin(start + TICK, &zone, PLACE, Some(4)));
    assert!(
        !claims.begin(start + TICK, &zone, PLACE, Some(4)),
        "one claim at a time"
    );
    claims.end(&zone, None);
    let again = start + TICK + Duration::from_millis(1);
    assert!(!claims.begin(again, &zone, PLACE, Some(4)));
    assert!(claims.begin(again + PLACE, &zone, PLACE, Some(4)));
}

/// The holder is back before the claim.
#[test]
fn a_zone_that_has_its_holder_is_not_claimed() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = Claims::default();
    assert!(!claims.begin(start, &zone, PLACE, Some(4)));
    claims.forget(&zone);
    let later = start + PLACE;
    assert!(!claims.begin(later, &zone, PLACE, Some(5)));
    assert!(claims.begin(later + PLACE, &zone, PLACE, Some(5)));
}

/// A zone was handed over: instances that start before its record lies in the store ask the former
/// holder.
#[test]
fn a_zone_that_was_handed_over_is_recorded_at_once() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = Claims::default();
    claims.hasten(start, &zone);
    assert!(claims.begin(start, &zone, PLACE, Some(4)));
    claims.end(&zone, None);
    let later = start + TICK;
    assert!(
        !claims.begin(later, &zone, PLACE, Some(4)),
        "not so while the store is away"
    );
}
