//! When an instance leaves the reading of the store to a holder.

use std::time::{Duration, Instant};

use caraway_gateway::PassedOn;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_prompt_sign_of_life_holds_until_the_next() {
    let start = Instant::now();
    let mut passed_on = PassedOn::default();
    assert!(!passed_on.holds(start), "nothing was heard yet");
    assert!(!passed_on.on_sign(Some(start), true));
    assert!(passed_on.holds(start + millis(600)));
    assert!(!passed_on.holds(start + millis(1200)));
}

/// A holder freezes while configurations come in quick succession, and answers the questions of
/// before whenever it goes on for a moment.
#[test]
fn answers_to_old_questions_do_not_keep_an_instance_from_reading() {
    let start = Instant::now();
    let mut passed_on = PassedOn::default();
    passed_on.on_sign(Some(start), true);
    for thaw in [1500, 3000, 4500] {
        let now = start + millis(thaw);
        passed_on.on_sign(Some(now.checked_sub(millis(1400)).expect("a time")), true);
        assert!(!passed_on.holds(now), "the holder was frozen for 1.4 s");
    }
}

/// A holder is killed, and another instance of its zone follows it within two seconds: where the
/// deployment allows it, the zone's instances wait for that.
#[test]
fn a_longer_bound_leaves_time_for_the_next_holder() {
    let start = Instant::now();
    for (bound, holds, lapsed) in [(2000, 1000, 1200), (3000, 2000, 2200), (4000, 3000, 3200)] {
        let mut passed_on = PassedOn::new(millis(bound));
        passed_on.on_sign(Some(start), true);
        assert!(passed_on.holds(start + millis(holds)), "{bound}");
        assert!(!passed_on.holds(start + millis(lapsed)), "{bound}");
    }
}

#[test]
fn a_holder_that_stops_reading_is_replaced_at_once() {
    let start = Instant::now();
    let mut passed_on = PassedOn::default();
    passed_on.on_sign(Some(start), true);
    assert!(passed_on.on_sign(None, false), "this instance reads now");
    assert!(!passed_on.holds(start));
    assert!(!passed_on.on_sign(None, false), "it reads already");
}
