//! When another instance succeeds a zone's holder.

use std::time::Duration;

use caraway_gateway::{HolderState, claim_rank, should_hand_over, weakness};

const LEASE: Duration = Duration::from_secs(3);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All instances are killed at once and start again: no earlier holder is left that could give
/// orders.
#[test]
fn a_holder_whose_process_exited_is_succeeded_at_once() {
    let state = HolderState::Exited(millis(200));
    let wait = state.claim_delay(true, 1.0).expect("the zone is claimed");
    assert!(wait <= millis(300), "the claims are only spread");
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

/// The machine of a zone's holder loses power, so that nothing refuses connections. Until the next
/// holder's first order, requests for adapters that are not loaded fail.
#[test]
fn engines_that_check_fencing_need_not_wait_for_the_lease() {
    let state = HolderState::Unreachable(millis(1500));
    let wait = state.first_order_delay(LEASE, true);
    assert!(wait <= millis(500), "{wait:?}");
    assert!(
        wait >= millis(250),
        "by then the former holder has read the record and its last order has ended"
    );
    assert_eq!(state.first_order_delay(millis(100), true), millis(100));
}

#[test]
fn instances_of_the_zone_claim_before_those_of_other_zones() {
    for state in [
        HolderState::None,
        HolderState::Released,
        HolderState::Exited(millis(200)),
    ] {
        let own_zone = state.claim_delay(true, 1.0).expect("the zone is claimed");
        let other_zone = state.claim_delay(false, 0.0).expect("the zone is claimed");
        assert!(own_zone < other_zone, "{state:?}");
    }
}

/// Half of a zone's instances are killed while configurations follow each other quickly: a holder
/// with a link of 10 Mbit/s would have no capacity left for its orders.
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
        "equally strong instances are spread"
    );
}

/// Most instances are killed at once, all strong ones among them, and a weak one claims a zone of
/// 20 engines: it hands the zone over when a strong one is available again.
#[test]
fn a_weak_holder_hands_over_to_a_strong_instance() {
    let strong = weakness(200.0, 0.5);
    for (link, cpu) in [(10.0, 0.5), (10.0, 0.12), (200.0, 0.12)] {
        let weak = weakness(link, cpu);
        assert!(
            should_hand_over(weak, strong, millis(1500)),
            "{link} Mbit/s, {cpu} cores"
        );
        assert!(
            !should_hand_over(weak, strong, millis(100)),
            "just connected"
        );
        assert!(!should_hand_over(strong, weak, millis(9000)));
    }
    let equal = weakness(1000.0, 0.25);
    assert!(!should_hand_over(equal, equal, millis(9000)));
    assert!(
        !should_hand_over(weakness(90.0, 0.5), equal, millis(9000)),
        "a slight difference is not worth a hand-over"
    );
}
