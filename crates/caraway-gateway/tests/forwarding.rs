//! When an instance leaves the reading of the store to a holder.

use std::time::{Duration, Instant};

use caraway_gateway::ForwardingStatus;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_prompt_sign_of_life_holds_until_the_next() {
    let start = Instant::now();
    let mut forwarding = ForwardingStatus::default();
    assert!(!forwarding.is_active(start), "nothing was heard yet");
    assert!(!forwarding.on_heartbeat(Some(start), true));
    assert!(forwarding.is_active(start + millis(600)));
    assert!(!forwarding.is_active(start + millis(1200)));
}

/// A holder freezes while configurations come in quick succession, and answers the questions of
/// before whenever it goes on for a moment.
#[test]
fn answers_to_old_questions_do_not_keep_an_instance_from_reading() {
    let start = Instant::now();
    let mut forwarding = ForwardingStatus::default();
    forwarding.on_heartbeat(Some(start), true);
    for thaw in [1500, 3000, 4500] {
        let now = start + millis(thaw);
        forwarding.on_heartbeat(Some(now.checked_sub(millis(1400)).expect("a time")), true);
        assert!(
            !forwarding.is_active(now),
            "the holder was frozen for 1.4 s"
        );
    }
}

/// A holder is killed, and another instance of its zone follows it within two seconds: where the
/// deployment allows it, the zone's instances wait for that.
#[test]
fn a_longer_bound_leaves_time_for_the_next_holder() {
    let start = Instant::now();
    for (in_force, holds, lapsed) in [(2000, 1000, 1200), (3000, 2000, 2200), (4000, 3000, 3200)] {
        let mut forwarding = ForwardingStatus::new(millis(in_force));
        forwarding.on_heartbeat(Some(start), true);
        assert!(forwarding.is_active(start + millis(holds)), "{in_force}");
        assert!(!forwarding.is_active(start + millis(lapsed)), "{in_force}");
    }
}

#[test]
fn a_holder_that_stops_reading_is_replaced_at_once() {
    let start = Instant::now();
    let mut forwarding = ForwardingStatus::default();
    forwarding.on_heartbeat(Some(start), true);
    assert!(
        forwarding.on_heartbeat(None, false),
        "this instance reads now"
    );
    assert!(!forwarding.is_active(start));
    assert!(!forwarding.on_heartbeat(None, false), "it reads already");
}
