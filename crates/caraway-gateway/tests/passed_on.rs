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

#[test]
fn a_holder_that_stops_reading_is_replaced_at_once() {
    let start = Instant::now();
    let mut passed_on = PassedOn::default();
    passed_on.on_sign(Some(start), true);
    assert!(passed_on.on_sign(None, false), "this instance reads now");
    assert!(!passed_on.holds(start));
    assert!(!passed_on.on_sign(None, false), "it reads already");
}
