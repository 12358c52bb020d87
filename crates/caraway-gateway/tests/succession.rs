//! When another instance follows a zone's holder.

use std::time::Duration;

use caraway_gateway::{HolderState, claim_rank, should_hand_over, weakness};

const LEASE: Duration = Duration::from_secs(3);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All instances are killed at once and start again: nobody who gave orders is left to wait for.
#[test]
fn a_holder_whose_run_is_over_is_followed_at_once() {
    let state = HolderState::Exited(millis(200));
    let wait = state.claim_delay(true, 1.0).expect("it is followed");
    assert!(wait <= millis(300), "claimers only spread");
    assert_eq!(state.first_order_delay(LEASE, false), Duration::ZERO);
}

#[test]
fn a_holder_that_may_still_order_keeps_its_lease() {
    assert_eq!(
        HolderState::Unreachable(millis(500)).claim_delay(true, 0.0),
        None
    );
    let state = HolderState::Unreachable(millis(1500));
    assert!(state.claim_delay(true, 0.0).is_some());
    assert_eq!(state.first_order_delay(LEASE, false), LEASE);
    assert_eq!(HolderState::Reachable.claim_delay(true, 0.0), None);
    assert_eq!(
        HolderState::Reachable.first_order_delay(LEASE, false),
        LEASE
    );
}

/// A zone's holder loses its power: nobody refuses connections there, and for as long as the next
/// holder orders nothing, requests for what is not loaded fail.
#[test]
fn engines_that_refuse_old_tokens_wait_for_no_lease() {
    let state = HolderState::Unreachable(millis(1500));
    let wait = state.first_order_delay(LEASE, true);
    assert!(wait <= millis(500), "{wait:?}");
    assert!(
        wait >= millis(250),
        "the former holder's last order has ended, and it has read the record"
    );
    assert_eq!(state.first_order_delay(millis(100), true), millis(100));
}

#[test]
fn another_zone_s_instances_leave_the_first_claim_to_the_zone() {
    for state in [
        HolderState::None,
        HolderState::Released,
        HolderState::Exited(millis(200)),
    ] {
        let home = state.claim_delay(true, 1.0).expect("it is followed");
        let foreign = state.claim_delay(false, 0.0).expect("it is followed");
        assert!(home < foreign, "{state:?}");
    }
}

/// Half of a zone's instances are killed while configurations come in quick succession: an instance
/// with a link of 10 Mbit/s that speaks for the zone has no room left for its orders.
#[test]
fn strong_instances_claim_before_weak_ones() {
    let strong = claim_rank(weakness(200.0, 0.5), 1.0);
    for (link, cpu) in [(10.0, 0.5), (200.0, 0.06), (10.0, 0.06)] {
        let weak = claim_rank(weakness(link, cpu), 0.2);
        assert!(strong < weak, "{link} Mbit/s, {cpu} cores");
    }
    let ranks = [0.0, 0.5, 1.0].map(|tie_breaker| claim_rank(weakness(1000.0, 0.25), tie_breaker));
    assert!(
        ranks.is_sorted() && ranks[0] < ranks[2],
        "equal ones spread"
    );
}

/// Most instances are killed at once, the strong ones among them, and a weak one claims a zone of 20
/// engines: the zone goes back to a strong one when it is there again.
#[test]
fn a_zone_that_was_left_to_a_weak_instance_goes_back_to_a_strong_one() {
    let strong = weakness(200.0, 0.5);
    for (link, cpu) in [(10.0, 0.5), (10.0, 0.12), (200.0, 0.12)] {
        let weak = weakness(link, cpu);
        assert!(
            should_hand_over(weak, strong, millis(1500)),
            "{link} Mbit/s, {cpu} cores"
        );
        assert!(!should_hand_over(weak, strong, millis(100)), "just started");
        assert!(!should_hand_over(strong, weak, millis(9000)));
    }
    let equal = weakness(1000.0, 0.25);
    assert!(!should_hand_over(equal, equal, millis(9000)));
    assert!(
        !should_hand_over(weakness(90.0, 0.5), equal, millis(9000)),
        "slight differences are not worth a hand-over"
    );
}
