//! When an instance claims the zones that have no holder.

use std::time::{Duration, Instant};

use caraway_gateway::ClaimSchedule;
use caraway_types::{Position, ZoneId};

/// Returns the end of a topic at this offset.
fn end(offset: u64) -> Position {
    Position { era: 0, offset }
}

const DELAY: Duration = Duration::from_millis(90);
const LATER_DELAY: Duration = Duration::from_millis(190);
const TICK: Duration = Duration::from_millis(100);

/// Instances that start at once claim three zones in one topic. The strong instance of a zone,
/// whose claim conflicts with that of another zone, still has to claim before the weak one.
#[test]
fn a_conflict_with_another_zone_causes_no_new_delay() {
    let start = Instant::now();
    let zone: ZoneId = "z3".into();
    let (mut strong, mut weak) = (ClaimSchedule::default(), ClaimSchedule::default());
    assert!(!strong.try_begin(start, &zone, DELAY, Some(end(0))));
    assert!(!weak.try_begin(start, &zone, LATER_DELAY, Some(end(0))));
    assert!(strong.try_begin(start + TICK, &zone, DELAY, Some(end(0))));
    strong.finish(&zone, Some(end(0)));
    assert!(
        !strong.try_begin(start + TICK, &zone, DELAY, Some(end(0))),
        "the conflicting record has not been read yet"
    );
    let read = start + TICK + Duration::from_millis(50);
    assert!(
        strong.try_begin(read, &zone, DELAY, Some(end(1))),
        "it does not wait again"
    );
    assert!(!weak.try_begin(read, &zone, LATER_DELAY, Some(end(1))));
}

/// Store calls are charged, so an instance does not retry at every check during an outage of the
/// store.
#[test]
fn a_claim_waits_again_after_a_store_failure() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    assert!(!claims.try_begin(start, &zone, DELAY, Some(end(4))));
    assert!(claims.try_begin(start + TICK, &zone, DELAY, Some(end(4))));
    assert!(
        !claims.try_begin(start + TICK, &zone, DELAY, Some(end(4))),
        "one claim at a time"
    );
    claims.finish(&zone, None);
    let again = start + TICK + Duration::from_millis(1);
    assert!(!claims.try_begin(again, &zone, DELAY, Some(end(4))));
    assert!(claims.try_begin(again + DELAY, &zone, DELAY, Some(end(4))));
}

/// The holder is reachable again before the claim is due.
#[test]
fn a_zone_with_a_holder_is_not_claimed() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    assert!(!claims.try_begin(start, &zone, DELAY, Some(end(4))));
    claims.remove(&zone);
    let later = start + DELAY;
    assert!(!claims.try_begin(later, &zone, DELAY, Some(end(5))));
    assert!(claims.try_begin(later + DELAY, &zone, DELAY, Some(end(5))));
}

/// After a hand-over, instances that start before the record is appended connect to the former
/// holder.
#[test]
fn a_zone_that_was_handed_over_is_claimed_at_once() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    claims.schedule_now(start, &zone);
    assert!(claims.try_begin(start, &zone, DELAY, Some(end(4))));
    claims.finish(&zone, None);
    let later = start + TICK;
    assert!(
        !claims.try_begin(later, &zone, DELAY, Some(end(4))),
        "it waits after a failed attempt"
    );
}

/// The topic may end where a claim has conflicted with another record, as the store gives offsets out
/// again. The zone would stay without a holder until the topic grows.
#[test]
fn a_conflict_of_an_earlier_era_does_not_prevent_a_claim() {
    let start = Instant::now();
    let zone: ZoneId = "z1".into();
    let mut claims = ClaimSchedule::default();
    claims.schedule_now(start, &zone);
    assert!(claims.try_begin(start, &zone, DELAY, Some(end(4))));
    claims.finish(&zone, Some(end(4)));
    assert!(!claims.try_begin(start + TICK, &zone, DELAY, Some(end(4))));
    let restored = Some(Position { era: 1, offset: 4 });
    assert!(claims.try_begin(start + TICK, &zone, DELAY, restored));
}
